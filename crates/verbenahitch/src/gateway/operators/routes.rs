//! Routes of the interface.

use std::sync::Arc;

use rand::Rng;
use rocket::http::Status;
use rocket::serde::json::{Json, Value, serde_json};
use rocket::{Catcher, Request as Call, Route, State};
use serde::Deserialize;
use serde_json::json;

use super::confirm::{self, Confirmed};
use super::context::ApiContext;
use super::error::ApiError;
use super::jobs;
use super::principal::{Operator, Principal};
use crate::config::change::{self, Author, ChangeError};
use crate::config::{self, Declarations, ZoneState};
use crate::domain::{JobSpec, TaskId};
use crate::event::{Entry, Kind};
use crate::http::{Body, BodyError};
use crate::scheduler::{Answer, Request};
use crate::settings::{SettingsError, parse_declarations};

type Reply<T> = Result<Json<T>, ApiError>;

/// Serde writes the name of this type into the text of a refusal, which must not change.
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

/// Catcher of calls that no route answers.
pub(super) fn catchers() -> Vec<Catcher> {
    rocket::catchers![refused]
}

#[rocket::catch(default)]
fn refused(status: Status, _: &Call<'_>) -> ApiError {
    let reason = match status {
        Status::Unauthorized => "the call shows no valid bearer token",
        Status::Forbidden => "the token does not allow this call",
        Status::NotFound => "there is no such path",
        other => other.reason_lossy(),
    };
    ApiError::new(status, reason)
}

#[rocket::get("/declarations")]
fn declarations(_operator: Operator, context: &State<Arc<ApiContext>>) -> Json<Declarations> {
    Json((*context.current.load()).clone())
}

#[rocket::put("/declarations?<from>")]
async fn apply(
    operator: Operator,
    from: Option<u64>,
    context: &State<Arc<ApiContext>>,
    body: Body,
) -> Reply<Confirmed> {
    let missing = || {
        let reason = "the query must give the revision that the change was made from, as ?from=";
        ApiError::new(Status::BadRequest, reason)
    };
    let from = from.ok_or_else(missing)?;
    let text = read_body(context, body).await?;
    let document = parse_declarations("declarations", &text).map_err(invalid_declarations)?;
    let author = author(operator);
    let change = change::apply(&context.store, document, from, &author);
    let confirmed = apply_change(context, &author, "declarations", change).await;
    Ok(Json(confirmed?))
}

#[rocket::post("/zones/<zone>")]
async fn set_zone(
    operator: Operator,
    zone: &str,
    context: &State<Arc<ApiContext>>,
    body: Body,
) -> Reply<Confirmed> {
    let request: Order = parse(&read_body(context, body).await?)?;
    let author = author(operator);
    let what = match request.state {
        ZoneState::In => format!("zone {zone} in"),
        ZoneState::Out => format!("zone {zone} out"),
    };
    let change = change::set_zone(&context.store, zone, request.state, &author);
    let confirmed = apply_change(context, &author, &what, change).await;
    Ok(Json(confirmed?))
}

#[rocket::get("/status")]
fn status(_operator: Operator, context: &State<Arc<ApiContext>>) -> Json<Value> {
    let members = context.handle.members();
    let live = members.iter().filter(|member| context.is_live(member));
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
    let revision = context.current.load().revision;
    Json(json!({ "revision": revision, "members": *members, "shards": shards }))
}

#[rocket::get("/shards/<shard>")]
async fn shard(_operator: Operator, shard: &str, context: &State<Arc<ApiContext>>) -> Reply<Value> {
    let answer = context.handle.ask(shard, Request::Shard).await;
    reply(jobs::into_result(answer)?)
}

#[rocket::get("/explain/<id>/<index>")]
async fn explain(
    principal: Principal,
    id: &str,
    index: u32,
    context: &State<Arc<ApiContext>>,
) -> Reply<Value> {
    let job = jobs::job_id(&principal, id)?;
    let request = Request::Explain(TaskId {
        job: job.clone(),
        index,
    });
    reply(jobs::ask(context, &job, request).await?)
}

#[rocket::post("/jobs")]
async fn submit(
    principal: Principal,
    context: &State<Arc<ApiContext>>,
    body: Body,
) -> Reply<Value> {
    let Submission { key, spec } = parse(&read_body(context, body).await?)?;
    let id = jobs::submission_id(&principal, &key)?;
    let declarations = context.current.load();
    let profile = declarations.profiles.get(&spec.profile);
    if profile.is_some_and(|profile| !principal.may_handle(&profile.team)) {
        let reason = format!("profile {:?} belongs to another team", spec.profile);
        return Err(ApiError::new(Status::Forbidden, reason));
    }
    let pick = |count| rand::rng().random_range(0..count);
    let shard = jobs::reserve(context, &id, pick).await?;
    let request = Request::Submit { id, spec };
    reply(jobs::into_result(
        context.handle.ask(&shard, request).await,
    )?)
}

#[rocket::get("/jobs/<id>")]
async fn job(principal: Principal, id: &str, context: &State<Arc<ApiContext>>) -> Reply<Value> {
    let job = jobs::job_id(&principal, id)?;
    reply(jobs::ask(context, &job, Request::Job(job.clone())).await?)
}

#[rocket::delete("/jobs/<id>")]
async fn cancel(principal: Principal, id: &str, context: &State<Arc<ApiContext>>) -> Reply<Value> {
    let job = jobs::job_id(&principal, id)?;
    reply(jobs::ask(context, &job, Request::Cancel(job.clone())).await?)
}

/// Applies a change, logs it, and waits for its confirmations.
async fn apply_change(
    context: &ApiContext,
    author: &Author,
    what: &str,
    change: impl Future<Output = Result<Declarations, ChangeError>>,
) -> Result<Confirmed, ApiError> {
    let sent = context.now();
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
    config::adopt(&context.current, accepted, "operator");
    context.handle.set_store_contact(sent);
    Ok(confirm::wait(context, revision, context.now()).await)
}

fn author(operator: Operator) -> Author {
    let number: u128 = rand::rng().random();
    Author {
        write_id: format!("{number:032x}"),
        operator: operator.0,
    }
}

async fn read_body(context: &ApiContext, body: Body) -> Result<String, ApiError> {
    let limit = context.settings.gateway.body_limit;
    let text = body.read(limit).await.map_err(|error| match error {
        BodyError::TooLarge { .. } => ApiError::new(Status::PayloadTooLarge, error),
        BodyError::Evicted => ApiError::new(Status::ServiceUnavailable, error),
        BodyError::Broken { .. } => ApiError::new(Status::BadRequest, error),
    })?;
    String::from_utf8(text).map_err(|error| ApiError::new(Status::BadRequest, error))
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, ApiError> {
    serde_json::from_str(text).map_err(|error| ApiError::new(Status::BadRequest, error))
}

fn invalid_declarations(error: SettingsError) -> ApiError {
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
    ApiError::new(Status::BadRequest, &error).with("faults", faults)
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
