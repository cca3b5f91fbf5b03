//! Reads a request's body within limits of size and time.

use std::time::Duration;

use super::answer::{Cause, Refusal};
use super::head::Head;
use crate::http::{Body, BodyError, Buffer};

/// Limits of a request's body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest size in bytes.
    pub size: u64,
    /// Maximum time between two reads that return data.
    pub idle_timeout: Duration,
    /// Longest time for the whole body.
    pub total: Duration,
}

/// Reads the whole body.
///
/// # Errors
///
/// Fails if the body is too large, arrives too slowly or ends before its declared length.
pub async fn read(body: Body, head: &Head, limits: Limits) -> Result<Vec<u8>, Refusal> {
    let read = tokio::time::timeout(limits.total, read_all(body, head, limits));
    match read.await {
        Ok(body) => body,
        Err(_) => Err(slow_sender()),
    }
}

async fn read_all(mut body: Body, head: &Head, limits: Limits) -> Result<Vec<u8>, Refusal> {
    let mut buffer = Buffer::default();
    loop {
        let part = match tokio::time::timeout(limits.idle_timeout, body.next()).await {
            Err(_) => return Err(slow_sender()),
            Ok(Err(error)) => return Err(unread(&error)),
            Ok(Ok(None)) => break,
            Ok(Ok(Some(part))) => part,
        };
        if (buffer.len() + part.len()) as u64 > limits.size {
            return Err(unread(&BodyError::TooLarge { limit: limits.size }));
        }
        buffer.append(&part);
    }
    if head
        .length
        .is_some_and(|length| length != buffer.len() as u64)
    {
        return Err(Refusal::new(Cause::Malformed, "the body ended early"));
    }
    Ok(buffer.into_vec())
}

fn unread(error: &BodyError) -> Refusal {
    let cause = match error {
        BodyError::TooLarge { .. } => Cause::BodyTooLarge,
        BodyError::Evicted => Cause::Overloaded,
        BodyError::Broken { .. } => Cause::Malformed,
    };
    Refusal::new(cause, error.to_string())
}

fn slow_sender() -> Refusal {
    Refusal::new(Cause::SlowSender, "the body did not arrive in time")
}
