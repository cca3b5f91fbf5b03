//! Routes of the interface.

use std::sync::Arc;

use rand::Rng;
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::serde::json::{Json, Value, serde_json};
use rocket::{Catcher, Request as Call, Route, State};
use serde::Deserialize;
use serde_json::json;

use super::confirm::{self, Confirmed};
use super::error::Failure;
use super::jobs;
use super::office::Office;
use super::principal::{Operator, Principal};
use crate::config::change::{self, Author, ChangeError};
use crate::config::{self, Declarations, ZoneState};
use crate::domain::{JobSpec, TaskId};
use crate::event::{Entry, Kind};
use crate::scheduler::{Answer, Request};
use crate::settings::{SettingsError, parse_declarations};

type Reply<T> = Result<Json<T>, Failure>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    state: ZoneState,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    key: String,
    spec: JobSpec,
}

/// All routes.
pub(super) fn routes() -> Vec<Route> {
    rocket::routes![
        declarations,
        apply,
        set_zone,
        status,
        shard,
        explain,
        submit,
        job,
        cancel
    ]
}

/// Answers to calls that reach no route.
pub(super) fn catchers() -> Vec<Catcher> {
    rocket::catchers![refused]
}

#[rocket::catch(default)]
fn refused(status: Status, _: &Call<'_>) -> Failure {
    let reason = match status {
        Status::Unauthorized => "the call shows no valid bearer token",
        Status::Forbidden => "the token does not allow this call",
        Status::NotFound => "there is no such path",
        other => other.reason_lossy(),
    };
    Failure::new(status, reason)
}

#[rocket::get("/declarations")]
fn declarations(_operator: Operator, office: &State<Arc<Office>>) -> Json<Declarations> {
    Json((*office.current.load()).clone())
}

#[rocket::put("/declarations?<from>", data = "<body>")]
async fn apply(
    operator: Operator,
    from: Option<u64>,
    office: &State<Arc<Office>>,
    body: Data<'_>,
) -> Reply<Confirmed> {
    let missing = || {
        let reason = "the query must give the revision that the change was made from, as ?from=";
        Failure::new(Status::BadRequest, reason)
    };
    let from = from.ok_or_else(missing)?;
    let text = read(office, body).await?;
    let document = parse_declarations("declarations", &text).map_err(faulty)?;
    let author = author(operator);
    let change = change::apply(&office.store, document, from, &author);
    let confirmed = enforce(office, &author, "declarations", change).await;
    Ok(Json(confirmed?))
}

#[rocket::post("/zones/<zone>", data = "<body>")]
async fn set_zone(
    operator: Operator,
    zone: &str,
    office: &State<Arc<Office>>,
    body: Data<'_>,
) -> Reply<Confirmed> {
    let order: Order = parse(&read(office, body).await?)?;
    let author = author(operator);
    let what = match order.state {
        ZoneState::In => format!("zone {zone} in"),
        ZoneState::Out => format!("zone {zone} out"),
    };
    let change = change::set_zone(&office.store, zone, order.state, &author);
    let confirmed = enforce(office, &author, &what, change).await;
    Ok(Json(confirmed?))
}

#[rocket::get("/status")]
fn status(_operator: Operator, office: &State<Arc<Office>>) -> Json<Value> {
    let members = office.handle.members();
    let live = members.iter().filter(|member| office.is_live(member));
    let shards = live.flat_map(|member| {
        let owned = member.shards.iter();
        owned.map(|owned| {
            json!({
                "shard": owned.shard,
                "owner": member.name,
                "epoch": owned.epoch,
                "queued": owned.queued,
                "running": owned.running,
            })
        })
    });
    let shards: Vec<Value> = shards.collect();
    let revision = office.current.load().revision;
    Json(json!({ "revision": revision, "members": *members, "shards": shards }))
}

#[rocket::get("/shards/<shard>")]
async fn shard(_operator: Operator, shard: &str, office: &State<Arc<Office>>) -> Reply<Value> {
    let answer = office.handle.ask(shard, Request::Shard).await;
    reply(jobs::answered(answer)?)
}

#[rocket::get("/explain/<id>/<index>")]
async fn explain(
    principal: Principal,
    id: &str,
    index: u32,
    office: &State<Arc<Office>>,
) -> Reply<Value> {
    let job = jobs::named(&principal, id)?;
    let request = Request::Explain(TaskId {
        job: job.clone(),
        index,
    });
    reply(jobs::ask(office, &job, request).await?)
}

#[rocket::post("/jobs", data = "<body>")]
async fn submit(principal: Principal, office: &State<Arc<Office>>, body: Data<'_>) -> Reply<Value> {
    let Submission { key, spec } = parse(&read(office, body).await?)?;
    let id = jobs::submitted(&principal, &key)?;
    let declarations = office.current.load();
    let profile = declarations.profiles.get(&spec.profile);
    if profile.is_some_and(|profile| !principal.may_handle(&profile.team)) {
        let reason = format!("profile {:?} belongs to another team", spec.profile);
        return Err(Failure::new(Status::Forbidden, reason));
    }
    let pick = |count| rand::rng().random_range(0..count);
    let shard = jobs::reserve(office, &id, pick).await?;
    let request = Request::Submit { id, spec };
    reply(jobs::answered(office.handle.ask(&shard, request).await)?)
}

#[rocket::get("/jobs/<id>")]
async fn job(principal: Principal, id: &str, office: &State<Arc<Office>>) -> Reply<Value> {
    let job = jobs::named(&principal, id)?;
    reply(jobs::ask(office, &job, Request::Job(job.clone())).await?)
}

#[rocket::delete("/jobs/<id>")]
async fn cancel(principal: Principal, id: &str, office: &State<Arc<Office>>) -> Reply<Value> {
    let job = jobs::named(&principal, id)?;
    reply(jobs::ask(office, &job, Request::Cancel(job.clone())).await?)
}

/// Carries a change out, logs it, and waits for its confirmations.
async fn enforce(
    office: &Office,
    author: &Author,
    what: &str,
    change: impl Future<Output = Result<Declarations, ChangeError>>,
) -> Result<Confirmed, Failure> {
    let sent = office.now();
    let entry = |kind| {
        let entry = Entry::new(kind).with("operator", &author.operator);
        entry.with("change", what)
    };
    let accepted = change.await.inspect_err(|error| {
        let entry = entry(Kind::DeclarationsRefused);
        entry.with_text("reason", error).emit();
    })?;
    let revision = accepted.revision;
    if accepted.write_id == author.write_id {
        let entry = entry(Kind::DeclarationsChanged);
        entry.with("from", revision - 1).with("to", revision).emit();
    }
    config::adopt(&office.current, accepted, "operator");
    office.handle.set_store_contact(sent);
    Ok(confirm::wait(office, revision, office.now()).await)
}

fn author(operator: Operator) -> Author {
    let number: u128 = rand::rng().random();
    Author {
        write_id: format!("{number:032x}"),
        operator: operator.0,
    }
}

async fn read(office: &Office, body: Data<'_>) -> Result<String, Failure> {
    let limit = office.settings.gateway.body_limit;
    let text = body.open(limit.bytes()).into_string().await;
    let malformed = |error: std::io::Error| Failure::new(Status::BadRequest, error);
    let text = text.map_err(malformed)?;
    if !text.is_complete() {
        let reason = format!("the body is longer than {limit} bytes");
        return Err(Failure::new(Status::PayloadTooLarge, reason));
    }
    Ok(text.into_inner())
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text).map_err(|error| Failure::new(Status::BadRequest, error))
}

fn faulty(error: SettingsError) -> Failure {
    let faults: Vec<Value> = match &error {
        SettingsError::Faulty { faults, .. } => {
            let faults = faults.iter().map(|fault| {
                json!({
                    "line": fault.line,
                    "column": fault.column,
                    "path": fault.path,
                    "reason": fault.reason,
                })
            });
            faults.collect()
        }
        _ => Vec::new(),
    };
    Failure::new(Status::BadRequest, &error).with("faults", faults)
}

fn reply(answer: Answer) -> Reply<Value> {
    let value = match answer {
        Answer::Accepted(status) | Answer::Job(status) => json!(status),
        Answer::Shard(status) => json!(status),
        Answer::Explained(text) => json!({ "explained": text }),
        Answer::Refused(error) => return Err(error.into()),
    };
    Ok(Json(value))
}
