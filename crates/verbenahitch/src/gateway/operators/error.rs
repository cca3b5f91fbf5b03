//! Errors of the interface, answered as JSON with an HTTP status.

use rocket::Request;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response, Result};
use serde::Serialize;
use serde_json::{Value, json};

use crate::config::change::ChangeError;
use crate::domain::Millis;
use crate::scheduler::SubmitError;

/// Delay after which a caller may retry, in milliseconds.
const RETRY_MS: Millis = 1_000;

/// A call that was refused, or whose outcome is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    status: Status,
    body: Value,
    retry_ms: Option<Millis>,
}

impl ApiError {
    /// Creates a refusal.
    pub fn new(status: Status, reason: impl ToString) -> Self {
        Self {
            status,
            body: json!({ "error": reason.to_string() }),
            retry_ms: None,
        }
    }

    /// Creates a refusal of a call that may be retried.
    pub fn unavailable(reason: impl ToString, retry_ms: Millis) -> Self {
        let refusal = Self::new(Status::ServiceUnavailable, reason);
        let refusal = refusal.with("retry-ms", retry_ms);
        Self {
            retry_ms: Some(retry_ms),
            ..refusal
        }
    }

    /// Creates an error for an unknown outcome; repeating the call is safe.
    pub fn unclear(reason: impl ToString) -> Self {
        Self::unavailable(reason, RETRY_MS).with("outcome", "unknown")
    }

    /// Adds a field to the JSON body.
    pub fn with(mut self, key: &str, value: impl Serialize) -> Self {
        self.body[key] = json!(value);
        self
    }
}

impl From<ChangeError> for ApiError {
    fn from(error: ChangeError) -> Self {
        match &error {
            ChangeError::Faulty { faults } => {
                let faults = faults
                    .iter()
                    .map(|fault| json!({ "path": fault.path, "reason": fault.reason }));
                let faults: Vec<Value> = faults.collect();
                Self::new(Status::BadRequest, &error).with("faults", faults)
            }
            ChangeError::Stale { newer, .. } => Self::new(Status::Conflict, &error)
                .with("revision", newer.revision)
                .with("declarations", newer),
            ChangeError::UnknownZone { .. } => Self::new(Status::NotFound, &error),
            ChangeError::Unavailable { .. } => Self::unavailable(&error, RETRY_MS),
            ChangeError::UnknownOutcome { .. } => Self::unclear(&error),
        }
    }
}

impl From<SubmitError> for ApiError {
    fn from(error: SubmitError) -> Self {
        match &error {
            SubmitError::UnknownProfile { .. } | SubmitError::NeverFits { .. } => {
                Self::new(Status::BadRequest, &error)
            }
            SubmitError::UnknownJob { .. } => Self::new(Status::NotFound, &error),
            SubmitError::Mismatch { .. } => Self::new(Status::Conflict, &error),
            SubmitError::Unavailable { retry_ms, .. } => Self::unavailable(&error, *retry_ms),
            SubmitError::Unclear { .. } => Self::unclear(&error),
        }
    }
}

impl<'r> Responder<'r, 'static> for ApiError {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let body = self.body.to_string();
        let mut response = Response::build();
        response
            .status(self.status)
            .header(ContentType::JSON)
            .sized_body(body.len(), std::io::Cursor::new(body));
        if let Some(retry_ms) = self.retry_ms {
            let seconds = retry_ms.div_ceil(1_000).to_string();
            response.header(Header::new("Retry-After", seconds));
        }
        response.ok()
    }
}
