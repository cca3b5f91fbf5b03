//! Assigns jobs to shards and sends requests about a job to the owner of its shard.

use rocket::http::Status;

use super::context::ApiContext;
use super::error::ApiError;
use super::principal::Principal;
use crate::domain::{JobId, Millis};
use crate::membership::{Member, OwnedShard};
use crate::port::StoreError;
use crate::scheduler::{Answer, Request, keys};

/// Delay after which a caller may retry when no shard accepts jobs, in milliseconds.
const RETRY_MS: Millis = 1_000;

/// Longest submission key in bytes.
const KEY_LIMIT: usize = 128;

/// ID of the job that the calling team submits under `key`.
pub(super) fn submission_id(principal: &Principal, key: &str) -> Result<JobId, ApiError> {
    let Principal::Team(team) = principal else {
        let reason = "jobs are submitted with a team's token";
        return Err(ApiError::new(Status::Forbidden, reason));
    };
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if key.is_empty() || key.len() > KEY_LIMIT || !key.bytes().all(is_allowed) {
        let reason = format!(
            "found key {key:?}, allowed are 1 to {KEY_LIMIT} letters, digits, dashes and underscores"
        );
        return Err(ApiError::new(Status::BadRequest, reason));
    }
    Ok(JobId::new(team, key))
}

/// Checks that `id` is the ID of a job that the caller may read and cancel.
pub(super) fn job_id(principal: &Principal, id: &str) -> Result<JobId, ApiError> {
    let team = id.rsplit_once('.').map(|(team, _)| team);
    let Some(team) = team else {
        let reason = format!("found job {id:?}, a job is named team.key");
        return Err(ApiError::new(Status::BadRequest, reason));
    };
    if !principal.may_handle(team) {
        let reason = format!("job {id} belongs to another team");
        return Err(ApiError::new(Status::Forbidden, reason));
    }
    Ok(JobId::from(id.to_owned()))
}

/// Shard that holds the job, if the store has an entry for it.
pub(super) async fn shard_of(context: &ApiContext, id: &JobId) -> Result<Option<String>, ApiError> {
    let entry = context.store.get(&keys::name(id)).await;
    let entry = entry.map_err(|error| ApiError::unavailable(error, RETRY_MS))?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()))
}

/// Shard of the job `id`, the same for every repeat of its submission.
///
/// The choice is stored before the job is sent to the shard, so that repeats
/// through different gateways reach the same shard.
pub(super) async fn reserve(
    context: &ApiContext,
    id: &JobId,
    pick: impl Fn(usize) -> usize,
) -> Result<String, ApiError> {
    if let Some(shard) = shard_of(context, id).await? {
        return Ok(shard);
    }
    let shard = choose(context, pick)?;
    let value = shard.clone().into_bytes();
    match context.store.cas(&keys::name(id), value, 0).await {
        Ok(true) => Ok(shard),
        Ok(false) | Err(StoreError::Unanswered { .. }) => {
            let lost = || ApiError::unclear(format!("job {id} has no shard yet"));
            shard_of(context, id).await?.ok_or_else(lost)
        }
        Err(error) => Err(ApiError::unavailable(error, RETRY_MS)),
    }
}

/// Sends `request` to the shard that holds the job; if the store does not
/// answer, sends it to all shards, of which at most one holds the job.
pub(super) async fn ask(
    context: &ApiContext,
    id: &JobId,
    request: Request,
) -> Result<Answer, ApiError> {
    let shard = match shard_of(context, id).await {
        Ok(shard) => shard,
        Err(error) => return ask_all(context, request).await.ok_or(error),
    };
    let unknown = || ApiError::new(Status::NotFound, format!("job {id} is not known"));
    let shard = shard.ok_or_else(unknown)?;
    into_result(context.handle.ask(&shard, request).await)
}

/// Answer of the shard that holds the job, if any.
async fn ask_all(context: &ApiContext, request: Request) -> Option<Answer> {
    let members = context.handle.members();
    let live = members.iter().filter(|member| context.is_live(member));
    let owned = live.flat_map(|member| &member.shards);
    let asked = owned.map(|owned| context.handle.ask(&owned.shard, request.clone()));
    let answers = futures::future::join_all(asked).await;
    let knows = |answer: &Answer| !matches!(answer, Answer::Refused(_));
    answers.into_iter().find(knows)
}

/// Turns a refusal into an error.
pub(super) fn into_result(answer: Answer) -> Result<Answer, ApiError> {
    match answer {
        Answer::Refused(error) => Err(error.into()),
        answer => Ok(answer),
    }
}

/// Shard of a new job: of two random shards in service, the one with the shorter queue.
///
/// Queue lengths are known with a delay, so always taking the shortest queue
/// would send all jobs of a burst to one shard.
fn choose(context: &ApiContext, pick: impl Fn(usize) -> usize) -> Result<String, ApiError> {
    let declarations = context.current.load();
    let members = context.handle.members();
    let live = members
        .iter()
        .filter(|member| context.is_live(member) && !member.leaving);
    let owned: Vec<&OwnedShard> = live.flat_map(|member: &Member| &member.shards).collect();
    let in_service = |owned: &&OwnedShard| {
        let zone = owned.shard.rsplit_once('-').map_or("", |(zone, _)| zone);
        declarations.is_in_service(zone)
    };
    let owned: Vec<&OwnedShard> = owned.into_iter().filter(in_service).collect();
    if owned.is_empty() {
        let reason = "no shard in service has an owner";
        return Err(ApiError::unavailable(reason, RETRY_MS));
    }
    let pair = [owned[pick(owned.len())], owned[pick(owned.len())]];
    let shorter = pair
        .iter()
        .min_by_key(|owned| (owned.queued, owned.running));
    Ok(shorter.expect("two are compared").shard.clone())
}
