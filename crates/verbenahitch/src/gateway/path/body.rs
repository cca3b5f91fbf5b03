//! Reads a request's body within limits of size and time.

use std::io;
use std::time::Duration;

use rocket::data::{Data, ToByteUnit};
use rocket::tokio::io::AsyncReadExt;

use super::answer::{Cause, Refusal};
use super::head::Head;

/// Size of one read in bytes.
const READ_SIZE: usize = 64 << 10;

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
pub async fn read(data: Data<'_>, head: &Head, limits: Limits) -> Result<Vec<u8>, Refusal> {
    let read = rocket::tokio::time::timeout(limits.total, read_all(data, head, limits));
    match read.await {
        Ok(body) => body,
        Err(_) => Err(slow_sender()),
    }
}

async fn read_all(data: Data<'_>, head: &Head, limits: Limits) -> Result<Vec<u8>, Refusal> {
    let mut stream = data.open((limits.size + 1).bytes());
    let expected = usize::try_from(head.length.unwrap_or(0)).unwrap_or(0);
    let mut body = Vec::with_capacity(expected.min(READ_SIZE));
    loop {
        body.reserve(expected.saturating_sub(body.len()).clamp(512, READ_SIZE));
        let read = rocket::tokio::time::timeout(limits.idle_timeout, stream.read_buf(&mut body));
        match read.await {
            Err(_) => return Err(slow_sender()),
            Ok(Err(error)) => return Err(ended_early(&error)),
            Ok(Ok(0)) => break,
            Ok(Ok(_)) if body.len() as u64 > limits.size => {
                let reason = format!("the body is above the limit of {} bytes", limits.size);
                return Err(Refusal::new(Cause::BodyTooLarge, reason));
            }
            Ok(Ok(_)) => {}
        }
    }
    if head
        .length
        .is_some_and(|length| length != body.len() as u64)
    {
        return Err(Refusal::new(Cause::Malformed, "the body ended early"));
    }
    Ok(body)
}

fn ended_early(error: &io::Error) -> Refusal {
    Refusal::new(Cause::Malformed, format!("the body ended early: {error}"))
}

fn slow_sender() -> Refusal {
    Refusal::new(Cause::SlowSender, "the body did not arrive in time")
}
