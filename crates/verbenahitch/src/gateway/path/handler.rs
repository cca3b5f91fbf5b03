//! Rocket handlers that answer callers' requests.

use std::io::Cursor;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use rocket::catcher::{self, Catcher};
use rocket::data::Data;
use rocket::http::{Method, Status};
use rocket::outcome::Outcome;
use rocket::route::{self, Route};
use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};
use rocket::{Request, Response};

use super::answer::{Answer, Cause, Refusal};
use super::body;
use super::forward::Outgoing;
use super::head::Head;
use super::header::REQUEST_ID;
use super::report;
use super::serve::{self, Call, RequestOutcome};
use super::shared::{ActiveRequest, Shared};
use crate::http::Body;

/// Maximum size of a chunk of an answer's body, in bytes.
const CHUNK_SIZE: usize = 64 << 10;

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

#[derive(Clone)]
struct RequestHandler {
    shared: Arc<Shared>,
}

#[derive(Clone)]
struct ErrorCatcher;

/// Body of an answer; its request counts as in progress until the body has been sent or
/// dropped.
struct AnswerBody {
    body: Cursor<Vec<u8>>,
    _active: Option<ActiveRequest>,
}

/// Routes of the callers' interface.
pub fn routes(shared: &Arc<Shared>) -> Vec<Route> {
    let handler = RequestHandler {
        shared: Arc::clone(shared),
    };
    METHODS
        .into_iter()
        .map(|method| Route::new(method, "/<path..>", handler.clone()))
        .collect()
}

/// Catcher of requests that Rocket itself rejects.
pub fn catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, ErrorCatcher)]
}

#[rocket::async_trait]
impl route::Handler for RequestHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> route::Outcome<'r> {
        let active = self.shared.begin_request();
        let started = Instant::now();
        let given = request.headers().get_one(REQUEST_ID).unwrap_or_default();
        let (id, kind, outcome) = match prepare(&self.shared, request, Body::take(request)).await {
            Ok(call) => {
                let outcome = serve::serve(&self.shared, &call).await;
                (call.outgoing.id, call.kind, outcome)
            }
            Err(refusal) => (
                given.to_owned(),
                String::new(),
                RequestOutcome::Refused(refusal),
            ),
        };
        report::ended(&id, &kind, &outcome, started.elapsed());
        // After a malformed request, the framing of what follows on the connection is uncertain.
        let malformed =
            matches!(&outcome, RequestOutcome::Refused(r) if r.cause == Cause::Malformed);
        let close = malformed || self.shared.is_stopping();
        let mut answer = match outcome {
            RequestOutcome::Answered(answer) => answer,
            RequestOutcome::Refused(refusal) => Answer::refused(&refusal),
            RequestOutcome::Unknown(cause, reason) => Answer::unknown(cause, &reason),
        };
        answer.headers.push((REQUEST_ID.to_owned(), id));
        Outcome::Success(respond(answer, Some(active), close))
    }
}

#[rocket::async_trait]
impl catcher::Handler for ErrorCatcher {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        let reason = status.reason_lossy();
        let refusal = Refusal::new(Cause::Malformed, reason);
        let answer = Answer {
            status: status.code,
            ..Answer::refused(&refusal)
        };
        Ok(respond(answer, None, true))
    }
}

async fn prepare(shared: &Shared, request: &Request<'_>, body: Body) -> Result<Call, Refusal> {
    if shared.is_stopping() {
        return Err(Refusal::new(Cause::Stopping, "this gateway is stopping"));
    }
    let settings = &shared.settings.gateway;
    // The count includes this request.
    if shared.in_flight() > settings.concurrency {
        let reason = "too many requests are in progress";
        return Err(Refusal::new(Cause::Overloaded, reason));
    }
    let started = shared.now();
    let head = Head::check(request, settings)?;
    let declarations = Arc::clone(&shared.table.load().declarations);
    let unknown_kind = || Refusal::new(Cause::UnknownKind, "no request kind has this path");
    let (name, kind) = declarations.kind_of(&head.path).ok_or_else(unknown_kind)?;
    // Checked declarations contain the profile of each kind; a missing one is answered alike.
    let profile = declarations
        .profiles
        .get(&kind.profile)
        .ok_or_else(unknown_kind)?;
    let allowed = head.deadline_ms.unwrap_or(profile.deadline_ms);
    let allowed = allowed.min(profile.deadline_ms);
    let limits = body::Limits {
        size: settings.body_limit,
        idle_timeout: Duration::from_millis(settings.silence_ms),
        total: Duration::from_millis(allowed),
    };
    let body = body::read(body, &head, limits).await?;
    check_method_override(request, &body)?;
    let id = head.id.unwrap_or_else(|| shared.new_id());
    let outgoing = Outgoing {
        method: head.method,
        target: head.target,
        headers: head.headers,
        id,
        body,
    };
    Ok(Call {
        kind: name.to_owned(),
        profile: kind.profile.clone(),
        worth: profile.worth,
        // A call may go without progress for the silence limit or the target latency, whichever
        // is longer, but at most for half of the profile's deadline.
        stall_ms: settings
            .silence_ms
            .max(profile.target_ms)
            .min(profile.deadline_ms / 2),
        idempotent: profile.idempotent,
        key: head.key,
        deadline: started + allowed,
        outgoing,
    })
}

/// Refuses forms whose `_method` field web frameworks, such as an upstream's, may take for the
/// method.
fn check_method_override(request: &Request<'_>, body: &[u8]) -> Result<(), Refusal> {
    let is_form = request
        .content_type()
        .is_some_and(|content_type| content_type.is_form());
    if is_form && body.starts_with(b"_method=") {
        let reason = "a form must not start with the field _method";
        return Err(Refusal::new(Cause::Malformed, reason));
    }
    Ok(())
}

fn respond(answer: Answer, active: Option<ActiveRequest>, close: bool) -> Response<'static> {
    let size = answer.body.len();
    let mut response = Response::build();
    response.status(Status::new(answer.status));
    for (name, value) in answer.headers {
        response.raw_header_adjoin(name, value);
    }
    if close {
        response.raw_header("connection", "close");
    }
    let body = AnswerBody {
        body: Cursor::new(answer.body),
        _active: active,
    };
    response.sized_body(size, body);
    response.max_chunk_size(CHUNK_SIZE);
    response.finalize()
}

impl AsyncRead for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl AsyncSeek for AnswerBody {
    fn start_seek(mut self: Pin<&mut Self>, position: std::io::SeekFrom) -> std::io::Result<()> {
        Pin::new(&mut self.body).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<u64>> {
        Pin::new(&mut self.body).poll_complete(cx)
    }
}
