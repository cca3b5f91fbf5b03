//! Routes of the key-value interface.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Header, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::serde::json::Json;
use rocket::{Build, Data, Request, Rocket, State, delete, get, put, routes};
use serde::{Deserialize, Serialize};
use verbenahitch::domain::Millis;

use super::calls::CallKind;
use super::handle::{Inner, Rejection};
use super::state::Kv;
use super::txn::{self, WireOp};

/// Maximum wait of a watch, in milliseconds.
const MAX_WAIT_MS: Millis = 600_000;

/// Wait of a watch without a valid `wait` parameter, in milliseconds.
const DEFAULT_WAIT_MS: Millis = 300_000;

pub(super) fn mount(rocket: Rocket<Build>, inner: Arc<Inner>) -> Rocket<Build> {
    let routes = routes![
        read,
        write,
        remove,
        transact,
        create_session,
        renew_session,
        destroy_session
    ];
    rocket.manage(inner).mount("/v1", routes)
}

/// Answer with a status, an index and a body.
struct Reply {
    status: Status,
    index: Option<u64>,
    body: Vec<u8>,
}

impl Reply {
    fn json(status: Status, body: &impl Serialize) -> Self {
        Self {
            status,
            index: None,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    fn text(status: Status, body: &str) -> Self {
        Self {
            status,
            index: None,
            body: body.as_bytes().to_vec(),
        }
    }
}

impl From<Rejection> for Reply {
    fn from(reason: Rejection) -> Self {
        match reason {
            Rejection::Down => Self::text(Status::InternalServerError, "No cluster leader"),
            Rejection::Limited => Self::text(Status::TooManyRequests, "rate limit exceeded"),
        }
    }
}

impl<'r> rocket::response::Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = rocket::Response::build();
        response.status(self.status);
        response.header(ContentType::JSON);
        if let Some(index) = self.index {
            response.header(Header::new("X-Consul-Index", index.to_string()));
        }
        let length = self.body.len();
        response.sized_body(length, std::io::Cursor::new(self.body));
        response.ok()
    }
}

/// Key from the request path, including a trailing slash.
struct Key(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Key {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let path = request.uri().path();
        let decoded = path.percent_decode_lossy();
        let key = decoded.strip_prefix("/v1/kv/").unwrap_or_default();
        Outcome::Success(Self(key.to_owned()))
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    key: String,
    value: Option<String>,
    flags: u64,
    create_index: u64,
    modify_index: u64,
    lock_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

impl WireEntry {
    fn new(key: &str, kv: &Kv) -> Self {
        Self {
            key: key.to_owned(),
            value: Some(BASE64.encode(&kv.value)),
            flags: 0,
            create_index: kv.create_index,
            modify_index: kv.modify_index,
            lock_index: kv.lock_index,
            session: kv.session.clone(),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSession {
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Serialize)]
struct WireSessionId {
    #[serde(rename = "ID")]
    id: String,
}

#[get("/kv/<_..>?<recurse>&<index>&<wait>")]
async fn read(
    key: Key,
    recurse: Option<&str>,
    index: Option<u64>,
    wait: Option<&str>,
    store: &State<Arc<Inner>>,
) -> Reply {
    let after = index.unwrap_or(0);
    let kind = if after > 0 {
        CallKind::Watch
    } else {
        CallKind::Read
    };
    if let Err(reason) = store.admit(kind) {
        return reason.into();
    }
    let wait_ms = wait.and_then(parse_millis).unwrap_or(DEFAULT_WAIT_MS);
    let limit = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
    let is_recursive = recurse.is_some();
    if after > 0 {
        let _elapsed =
            tokio::time::timeout(limit, wait_for_change(store, &key.0, is_recursive, after)).await;
    }
    entries(store, &key.0, is_recursive)
}

async fn wait_for_change(store: &Inner, key: &str, is_recursive: bool, after: u64) {
    let mut changes = store.subscribe();
    loop {
        changes.borrow_and_update();
        if newest_index(store, key, is_recursive) > after {
            return;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn newest_index(store: &Inner, key: &str, is_recursive: bool) -> u64 {
    store.with_state(|state, _| {
        if is_recursive {
            state.prefix_index(key)
        } else {
            state.key_index(key)
        }
    })
}

fn entries(store: &Inner, key: &str, is_recursive: bool) -> Reply {
    let (index, entries) = store.with_state(|state, _| {
        if is_recursive {
            let entries = state.with_prefix(key);
            let entries: Vec<WireEntry> =
                entries.map(|(key, kv)| WireEntry::new(key, kv)).collect();
            return (state.prefix_index(key), entries);
        }
        let entry = state.key(key).map(|kv| WireEntry::new(key, kv));
        (state.key_index(key), entry.into_iter().collect())
    });
    let mut reply = if entries.is_empty() {
        Reply::text(Status::NotFound, "")
    } else {
        Reply::json(Status::Ok, &entries)
    };
    reply.index = Some(index);
    reply
}

#[put("/kv/<_..>?<cas>&<acquire>&<release>", data = "<data>")]
async fn write(
    key: Key,
    cas: Option<u64>,
    acquire: Option<&str>,
    release: Option<&str>,
    data: Data<'_>,
    store: &State<Arc<Inner>>,
) -> Reply {
    let key = key.0;
    let limit = store.settings.value_limit;
    let value = match data.open(limit.bytes()).into_bytes().await {
        Ok(value) if value.is_complete() => value.into_inner(),
        Ok(_) => return too_large(limit),
        // A truncated body must not be written.
        Err(_) => return Reply::text(Status::BadRequest, "incomplete body"),
    };
    if let Err(reason) = store.admit(CallKind::Write) {
        return reason.into();
    }
    let result = store.with_state(|state, _| {
        if let Some(index) = cas {
            let is_current = state.matches_index(&key, index);
            if is_current {
                state.set(&key, value);
            }
            return Some(is_current);
        }
        if let Some(session) = acquire {
            let exists = state.has_session(session);
            return exists.then(|| state.acquire(&key, value, session));
        }
        if let Some(session) = release {
            return Some(state.release(&key, value, session));
        }
        state.set(&key, value);
        Some(true)
    });
    match result {
        Some(done) => Reply::json(Status::Ok, &done),
        None => Reply::text(Status::InternalServerError, "invalid session"),
    }
}

#[delete("/kv/<_..>?<recurse>&<cas>")]
fn remove(key: Key, recurse: Option<&str>, cas: Option<u64>, store: &State<Arc<Inner>>) -> Reply {
    if let Err(reason) = store.admit(CallKind::Write) {
        return reason.into();
    }
    let key = key.0;
    let done = store.with_state(|state, _| {
        if recurse.is_some() {
            state.delete_tree(&key);
            return true;
        }
        let is_current = cas.is_none_or(|index| state.matches_index(&key, index));
        if is_current {
            state.delete(&key);
        }
        is_current
    });
    Reply::json(Status::Ok, &done)
}

#[put("/txn", data = "<data>")]
async fn transact(data: Data<'_>, store: &State<Arc<Inner>>) -> Reply {
    let settings = &store.settings;
    let limit = settings.value_limit * settings.txn_limit * 2;
    let body = match data.open(limit.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        _ => return Reply::text(Status::BadRequest, "incomplete body"),
    };
    let ops: Vec<WireOp> = match serde_json::from_slice(&body) {
        Ok(ops) => ops,
        Err(error) => return Reply::text(Status::BadRequest, &error.to_string()),
    };
    if ops.len() > settings.txn_limit {
        let reason = format!(
            "too many operations ({} > {})",
            ops.len(),
            settings.txn_limit
        );
        return Reply::text(Status::PayloadTooLarge, &reason);
    }
    if ops.iter().any(|op| op.value_len() > settings.value_limit) {
        return too_large(settings.value_limit);
    }
    if let Err(reason) = store.admit(CallKind::Txn) {
        return reason.into();
    }
    let answer = store.with_state(|state, _| txn::apply(state, &ops));
    let status = if answer.is_committed() {
        Status::Ok
    } else {
        Status::Conflict
    };
    Reply::json(status, &answer)
}

#[put("/session/create", data = "<body>")]
fn create_session(body: Json<WireSession>, store: &State<Arc<Inner>>) -> Reply {
    if let Err(reason) = store.admit(CallKind::Session) {
        return reason.into();
    }
    let ttl_ms = parse_millis(&body.ttl).unwrap_or(0);
    let id = store.with_state(|state, now| state.create_session(ttl_ms, now));
    Reply::json(Status::Ok, &WireSessionId { id })
}

#[put("/session/renew/<id>")]
fn renew_session(id: &str, store: &State<Arc<Inner>>) -> Reply {
    if let Err(reason) = store.admit(CallKind::Session) {
        return reason.into();
    }
    if !store.with_state(|state, now| state.renew_session(id, now)) {
        return Reply::text(Status::NotFound, "session not found");
    }
    let id = id.to_owned();
    Reply::json(Status::Ok, &[WireSessionId { id }])
}

#[put("/session/destroy/<id>")]
fn destroy_session(id: &str, store: &State<Arc<Inner>>) -> Reply {
    if let Err(reason) = store.admit(CallKind::Session) {
        return reason.into();
    }
    store.with_state(|state, _| state.end_session(id));
    Reply::json(Status::Ok, &true)
}

fn too_large(limit: usize) -> Reply {
    let reason = format!("value exceeds {limit} bytes");
    Reply::text(Status::PayloadTooLarge, &reason)
}

/// Parses a duration such as `5000ms`, `10s` or `5m` into milliseconds.
fn parse_millis(text: &str) -> Option<Millis> {
    let (number, factor) = if let Some(number) = text.strip_suffix("ms") {
        (number, 1)
    } else if let Some(number) = text.strip_suffix('s') {
        (number, 1_000)
    } else {
        (text.strip_suffix('m')?, 60_000)
    };
    number.parse::<Millis>().ok()?.checked_mul(factor)
}
