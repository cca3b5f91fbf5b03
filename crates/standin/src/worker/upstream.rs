//! Routes of the upstream: a fixed number of slots with a short queue. A request
//! that finds both full is refused with a header that states that it has not run.

use std::sync::Arc;
use std::time::Duration;

use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Header, Status};
use rocket::response::Responder;
use rocket::{Build, Data, Request, Response, Rocket, State};
use rocket::{delete, get, post, put, request, routes};
use serde::{Deserialize, Serialize};

use super::handle::Inner;

/// Header with the call ID. The caller assigns a new ID to each call, also to a repeated one.
///
/// Nothing between the caller and the upstream interprets the header, so it arrives unchanged.
pub const CALL_ID: &str = "x-call-id";

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;

pub(super) fn mount(rocket: Rocket<Build>, inner: Arc<Inner>) -> Rocket<Build> {
    let routes = routes![on_get, on_post, on_put, on_delete];
    rocket.manage(inner).mount("/", routes)
}

/// Answer of the upstream, as its callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Receipt {
    /// Value of the request's `x-request-id`, empty if absent.
    pub request_id: String,
    /// Value of the request's `x-call-id`, empty if absent.
    pub call_id: String,
    /// Name of the worker that ran the request.
    pub worker: String,
    /// First segment of the request path.
    pub kind: String,
    /// Body of the request.
    pub echo: String,
}

/// Head of a request, as far as the upstream uses it.
pub(super) struct Head {
    pub(super) kind: String,
    pub(super) request_id: String,
    pub(super) call_id: String,
    pub(super) key: Option<String>,
}

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Head {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, ()> {
        let header = |name| request.headers().get_one(name).map(str::to_owned);
        let kind = request.uri().path().segments().get(0).unwrap_or_default();
        request::Outcome::Success(Self {
            kind: kind.to_owned(),
            request_id: header("x-request-id").unwrap_or_default(),
            call_id: header(CALL_ID).unwrap_or_default(),
            key: header("idempotency-key"),
        })
    }
}

enum Answer {
    Full { request_id: String, leaving: bool },
    Incomplete,
    Done { receipt: Receipt, leaving: bool },
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        let leaving = match self {
            Self::Incomplete => return Err(Status::BadRequest),
            Self::Full {
                request_id,
                leaving,
            } => {
                response.header(Header::new("x-request-id", request_id));
                response.status(Status::ServiceUnavailable);
                response.header(Header::new("verbenahitch-not-run", "true"));
                leaving
            }
            Self::Done { receipt, leaving } => {
                let body = serde_json::to_vec(&receipt).unwrap_or_default();
                response.header(ContentType::JSON);
                response.header(Header::new("x-request-id", receipt.request_id));
                response.sized_body(body.len(), std::io::Cursor::new(body));
                leaving
            }
        };
        if leaving {
            response.header(Header::new("x-leaving", "true"));
        }
        response.ok()
    }
}

#[get("/<_..>")]
async fn on_get(head: Head, worker: &State<Arc<Inner>>) -> Answer {
    serve(head, String::new(), worker).await
}

#[post("/<_..>", data = "<data>")]
async fn on_post(head: Head, data: Data<'_>, worker: &State<Arc<Inner>>) -> Answer {
    serve_with_body(head, data, worker).await
}

#[put("/<_..>", data = "<data>")]
async fn on_put(head: Head, data: Data<'_>, worker: &State<Arc<Inner>>) -> Answer {
    serve_with_body(head, data, worker).await
}

#[delete("/<_..>")]
async fn on_delete(head: Head, worker: &State<Arc<Inner>>) -> Answer {
    serve(head, String::new(), worker).await
}

async fn serve_with_body(head: Head, data: Data<'_>, worker: &Inner) -> Answer {
    match data.open(MAX_BODY_BYTES.bytes()).into_string().await {
        Ok(body) if body.is_complete() => serve(head, body.into_inner(), worker).await,
        _ => Answer::Incomplete,
    }
}

async fn serve(head: Head, body: String, worker: &Inner) -> Answer {
    let leaving = worker.is_leaving();
    let Some(slot) = worker.slots.acquire().await else {
        let request_id = head.request_id;
        return Answer::Full {
            request_id,
            leaving,
        };
    };
    let kind = head.kind.clone();
    let request_id = head.request_id.clone();
    let call_id = head.call_id.clone();
    let request = worker.begin_request(head);
    tokio::time::sleep(worker.service_time(&kind)).await;
    worker.finish_request(request);
    drop(slot);
    let receipt = Receipt {
        request_id,
        call_id,
        worker: worker.settings.name.clone(),
        kind,
        echo: body,
    };
    Answer::Done {
        receipt,
        leaving: worker.is_leaving(),
    }
}

/// Slots for requests, with a short queue.
pub(super) struct Slots {
    serving: tokio::sync::Semaphore,
    /// Permits for the requests in slots and in the queue.
    admitted: tokio::sync::Semaphore,
}

/// One slot; freed when dropped.
pub(super) struct Slot<'a> {
    _serving: tokio::sync::SemaphorePermit<'a>,
    _admitted: tokio::sync::SemaphorePermit<'a>,
}

impl Slots {
    pub(super) fn new(slots: u32, queue: u32) -> Self {
        let count = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
        Self {
            serving: tokio::sync::Semaphore::new(count(slots)),
            admitted: tokio::sync::Semaphore::new(count(slots.saturating_add(queue))),
        }
    }

    async fn acquire(&self) -> Option<Slot<'_>> {
        let admitted = self.admitted.try_acquire().ok()?;
        let serving = self.serving.acquire().await.ok()?;
        Some(Slot {
            _serving: serving,
            _admitted: admitted,
        })
    }
}

pub(super) fn from_micros(micros: f64) -> Duration {
    Duration::from_secs_f64((micros / 1e6).clamp(0.0, 3_600.0))
}
