//! Which shard holds a job, and asking its owner.

use rocket::http::Status;

use super::error::Failure;
use super::office::Office;
use super::principal::Principal;
use crate::domain::{JobId, Millis};
use crate::membership::{Member, OwnedShard};
use crate::port::StoreError;
use crate::scheduler::{Answer, Request, keys};

/// Time after which a caller may come back when no shard takes jobs, in milliseconds.
const RETRY_MS: Millis = 1_000;

/// Longest key of a submission, in bytes.
const KEY_LIMIT: usize = 128;

/// Identity of the submission `key` of the team that makes the call.
pub(super) fn submitted(principal: &Principal, key: &str) -> Result<JobId, Failure> {
    let Principal::Team(team) = principal else {
        let reason = "jobs are submitted with a team's token";
        return Err(Failure::new(Status::Forbidden, reason));
    };
    let fine = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if key.is_empty() || key.len() > KEY_LIMIT || !key.bytes().all(fine) {
        let reason = format!(
            "found key {key:?}, allowed are 1 to {KEY_LIMIT} letters, digits, dashes and underscores"
        );
        return Err(Failure::new(Status::BadRequest, reason));
    }
    Ok(JobId::new(team, key))
}

/// Identity `id` of a job that the caller may read and cancel.
pub(super) fn named(principal: &Principal, id: &str) -> Result<JobId, Failure> {
    let team = id.rsplit_once('.').map(|(team, _)| team);
    let Some(team) = team else {
        let reason = format!("found job {id:?}, a job is named team.key");
        return Err(Failure::new(Status::BadRequest, reason));
    };
    if !principal.may_handle(team) {
        let reason = format!("job {id} belongs to another team");
        return Err(Failure::new(Status::Forbidden, reason));
    }
    Ok(JobId::from(id.to_owned()))
}

/// Shard that holds the job, if the store knows it.
pub(super) async fn holder(office: &Office, id: &JobId) -> Result<Option<String>, Failure> {
    let entry = office.store.get(&keys::name(id)).await;
    let entry = entry.map_err(|error| Failure::unavailable(error, RETRY_MS))?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()))
}

/// Shard for the job `id`, the same for every repeat of its submission.
///
/// The name is written before a shard is asked, so that two repeats through two
/// gateways never reach two shards.
pub(super) async fn reserve(
    office: &Office,
    id: &JobId,
    pick: impl Fn(usize) -> usize,
) -> Result<String, Failure> {
    if let Some(shard) = holder(office, id).await? {
        return Ok(shard);
    }
    let shard = choose(office, pick)?;
    let value = shard.clone().into_bytes();
    match office.store.cas(&keys::name(id), value, 0).await {
        Ok(true) => Ok(shard),
        Ok(false) | Err(StoreError::Unanswered { .. }) => {
            let lost = || Failure::unclear(format!("job {id} has no shard yet"));
            holder(office, id).await?.ok_or_else(lost)
        }
        Err(error) => Err(Failure::unavailable(error, RETRY_MS)),
    }
}

/// Asks the shard that holds a job about it; while the store gives no answer,
/// asks all shards, of which at most one holds it.
pub(super) async fn ask(office: &Office, id: &JobId, request: Request) -> Result<Answer, Failure> {
    let shard = match holder(office, id).await {
        Ok(shard) => shard,
        Err(failure) => return ask_all(office, request).await.ok_or(failure),
    };
    let unknown = || Failure::new(Status::NotFound, format!("job {id} is not known"));
    let shard = shard.ok_or_else(unknown)?;
    answered(office.handle.ask(&shard, request).await)
}

/// Answer of the shard that knows the job, if one does.
async fn ask_all(office: &Office, request: Request) -> Option<Answer> {
    let members = office.handle.members();
    let live = members.iter().filter(|member| office.is_live(member));
    let owned = live.flat_map(|member| &member.shards);
    let asked = owned.map(|owned| office.handle.ask(&owned.shard, request.clone()));
    let answers = futures::future::join_all(asked).await;
    let knows = |answer: &Answer| !matches!(answer, Answer::Refused(_));
    answers.into_iter().find(knows)
}

/// Turns a refusal into a failure.
pub(super) fn answered(answer: Answer) -> Result<Answer, Failure> {
    match answer {
        Answer::Refused(error) => Err(error.into()),
        answer => Ok(answer),
    }
}

/// Shard for a new job: the shorter queue of two random shards in service.
///
/// Queues are known with a delay, so that always taking the shortest one would
/// send all jobs of a burst to the same shard.
fn choose(office: &Office, pick: impl Fn(usize) -> usize) -> Result<String, Failure> {
    let declarations = office.current.load();
    let members = office.handle.members();
    let live = members
        .iter()
        .filter(|member| office.is_live(member) && !member.leaving);
    let owned: Vec<&OwnedShard> = live.flat_map(|member: &Member| &member.shards).collect();
    let in_service = |owned: &&OwnedShard| {
        let zone = owned.shard.rsplit_once('-').map_or("", |(zone, _)| zone);
        declarations.is_in(zone)
    };
    let owned: Vec<&OwnedShard> = owned.into_iter().filter(in_service).collect();
    if owned.is_empty() {
        let reason = "no shard in service has an owner";
        return Err(Failure::unavailable(reason, RETRY_MS));
    }
    let pair = [owned[pick(owned.len())], owned[pick(owned.len())]];
    let shorter = pair
        .iter()
        .min_by_key(|owned| (owned.queued, owned.running));
    Ok(shorter.expect("two are compared").shard.clone())
}
