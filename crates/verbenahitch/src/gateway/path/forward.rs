//! One attempt of a request at one upstream, and its outcome.

use std::time::Duration;

use reqwest::{Client, Method, Response};

use crate::adapter::error_chain;
use crate::domain::Millis;

use super::answer::{Answer, UnknownCause};
use super::header::{DEADLINE, LEAVING, NOT_RUN, REQUEST_ID, passes_to_caller};

/// A request as every attempt sends it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Request ID that the upstream repeats in its answer.
    pub id: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Limits of an upstream's answer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub size: u64,
    /// Longest time without progress within the body.
    pub idle_timeout: Duration,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream ran the request; its complete answer.
    Answered(Answer),
    /// The upstream refused the request and has not run it.
    Refused,
    /// No connection could be made; the request was not sent.
    NotSent(String),
    /// The request may have run.
    Unknown(UnknownCause, String),
}

/// Outcome of an attempt, and whether the upstream announced that it is leaving.
#[derive(Debug)]
pub struct AttemptResult {
    /// Outcome.
    pub outcome: AttemptOutcome,
    /// Whether the upstream announced that it is leaving.
    pub leaving: bool,
}

/// Sends `outgoing` to `address` and reads the complete answer within `remaining_ms`.
pub async fn send(
    client: &Client,
    address: &str,
    outgoing: &Outgoing,
    remaining_ms: Millis,
    limits: Limits,
) -> AttemptResult {
    let deadline = Duration::from_millis(remaining_ms);
    let exchange = exchange(client, address, outgoing, remaining_ms, limits);
    match tokio::time::timeout(deadline, exchange).await {
        Ok(result) => result,
        Err(_) => unknown(UnknownCause::Deadline, "no answer before the deadline"),
    }
}

async fn exchange(
    client: &Client,
    address: &str,
    outgoing: &Outgoing,
    remaining_ms: Millis,
    limits: Limits,
) -> AttemptResult {
    let url = format!("http://{address}{}", outgoing.target);
    let mut request = client
        .request(outgoing.method.clone(), url)
        .header(REQUEST_ID, &outgoing.id)
        .header(DEADLINE, remaining_ms);
    for (name, value) in &outgoing.headers {
        request = request.header(name, value);
    }
    if !outgoing.body.is_empty() {
        request = request.body(outgoing.body.clone());
    }
    match request.send().await {
        Ok(response) => receive(response, outgoing, limits).await,
        Err(error) if error.is_connect() || error.is_builder() => AttemptResult {
            outcome: AttemptOutcome::NotSent(error_chain(&error)),
            leaving: false,
        },
        Err(error) => unknown(UnknownCause::Broken, &error_chain(&error)),
    }
}

async fn receive(mut response: Response, outgoing: &Outgoing, limits: Limits) -> AttemptResult {
    if header(&response, REQUEST_ID) != Some(outgoing.id.as_str()) {
        return unknown(
            UnknownCause::Crossed,
            "the answer belongs to another request",
        );
    }
    let leaving = header(&response, LEAVING) == Some("true");
    let refused = response.status().as_u16() == 503 && header(&response, NOT_RUN) == Some("true");
    let outcome = match refused {
        true => AttemptOutcome::Refused,
        false => match read(&mut response, outgoing, limits).await {
            Ok(body) => AttemptOutcome::Answered(answer(&response, body)),
            Err((cause, reason)) => AttemptOutcome::Unknown(cause, reason),
        },
    };
    AttemptResult { outcome, leaving }
}

async fn read(
    response: &mut Response,
    outgoing: &Outgoing,
    limits: Limits,
) -> Result<Vec<u8>, (UnknownCause, String)> {
    if !is_delimited(response, &outgoing.method) {
        let reason = "the answer's end cannot be known".to_owned();
        return Err((UnknownCause::Truncated, reason));
    }
    let length = match outgoing.method {
        Method::HEAD => 0,
        _ => response.content_length().unwrap_or(0),
    };
    let too_large = || {
        let reason = format!("the answer is above the limit of {} bytes", limits.size);
        Err((UnknownCause::AnswerTooLarge, reason))
    };
    if length > limits.size {
        return too_large();
    }
    let mut body = Vec::with_capacity(usize::try_from(length).unwrap_or(0));
    loop {
        match tokio::time::timeout(limits.idle_timeout, response.chunk()).await {
            Err(_) => {
                return Err((
                    UnknownCause::Truncated,
                    "the answer stopped midway".to_owned(),
                ));
            }
            Ok(Err(error)) => return Err((UnknownCause::Truncated, error_chain(&error))),
            Ok(Ok(None)) => return Ok(body),
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
        }
        if body.len() as u64 > limits.size {
            return too_large();
        }
    }
}

/// Whether the answer's framing distinguishes a complete body from a truncated one.
fn is_delimited(response: &Response, method: &Method) -> bool {
    let bodiless = matches!(response.status().as_u16(), 204 | 304) || *method == Method::HEAD;
    let framed = header(response, "content-length").is_some()
        || header(response, "transfer-encoding").is_some();
    bodiless || framed
}

fn answer(response: &Response, body: Vec<u8>) -> Answer {
    let text = |value: &reqwest::header::HeaderValue| value.to_str().map(str::to_owned).ok();
    let connection: Vec<&str> = response
        .headers()
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .collect();
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| passes_to_caller(name.as_str(), &connection))
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), text(value)?)))
        .collect();
    Answer {
        status: response.status().as_u16(),
        headers,
        body,
    }
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn unknown(cause: UnknownCause, reason: &str) -> AttemptResult {
    AttemptResult {
        outcome: AttemptOutcome::Unknown(cause, reason.to_owned()),
        leaving: false,
    }
}
