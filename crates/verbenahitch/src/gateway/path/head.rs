//! Checks a request's head before its body is read.

use rocket::Request;

use crate::domain::Millis;
use crate::settings::GatewaySettings;

use super::answer::{Cause, Refusal};
use super::header::{DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID, passes_upstream};

/// Longest request ID that is kept from a caller, in bytes; a longer one is replaced.
const ID_LIMIT: usize = 128;
/// Largest integer that every JSON library represents exactly.
const NUMBER_LIMIT: u64 = 1 << 53;

/// A checked head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Method.
    pub method: reqwest::Method,
    /// Path and query.
    pub target: String,
    /// Path without query.
    pub path: String,
    /// Header fields that are forwarded.
    pub headers: Vec<(String, String)>,
    /// Request ID given by the caller.
    pub id: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time that the caller allows for the answer, in milliseconds.
    pub deadline_ms: Option<Millis>,
    /// Declared length of the body.
    pub length: Option<u64>,
}

impl Head {
    /// Checks the head of `request`.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn check(request: &Request<'_>, settings: &GatewaySettings) -> Result<Self, Refusal> {
        let target = request.uri().to_string();
        check_size(request, &target, settings.head_limit)?;
        check_host(request)?;
        let length = check_framing(request, settings.body_limit)?;
        let method = request.method().as_str();
        let method = reqwest::Method::from_bytes(method.as_bytes())
            .map_err(|_| malformed(format!("method {method:?} is not known")))?;
        Ok(Self {
            method,
            path: request.uri().path().to_string(),
            headers: forwarded_fields(request),
            id: single_field(request, REQUEST_ID)?
                .filter(|id| is_visible_ascii(id, ID_LIMIT))
                .map(str::to_owned),
            key: check_key(request, settings.key_limit)?,
            deadline_ms: check_deadline(request)?,
            length,
            target,
        })
    }
}

fn check_size(request: &Request<'_>, target: &str, limit: u32) -> Result<(), Refusal> {
    // 4: colon, space and line end of a field; 12: spaces, version and line end of the first line.
    let fields = request.headers().iter();
    let fields: usize = fields.map(|f| f.name().len() + f.value().len() + 4).sum();
    let size = request.method().as_str().len() + target.len() + 12 + fields;
    if size <= limit as usize {
        return Ok(());
    }
    let reason = format!("the head has {size} bytes, the limit is {limit}");
    Err(Refusal::new(Cause::HeadTooLarge, reason))
}

fn check_host(request: &Request<'_>) -> Result<(), Refusal> {
    match single_field(request, "host")? {
        None => Err(malformed("the Host field is missing")),
        Some(_) if request.host().is_none() => Err(malformed("the Host field is not a host")),
        Some(_) => Ok(()),
    }
}

fn check_framing(request: &Request<'_>, limit: u64) -> Result<Option<u64>, Refusal> {
    // The HTTP library drops a Content-Length that comes with a
    // Transfer-Encoding, which leaves the framing ambiguous, so only a
    // Content-Length is accepted.
    if request.headers().contains("transfer-encoding") {
        return Err(malformed(
            "Transfer-Encoding is not taken, send a Content-Length",
        ));
    }
    let Some(length) = single_field(request, "content-length")? else {
        return Ok(None);
    };
    let length = parse_number("Content-Length", length)?;
    if length <= limit {
        return Ok(Some(length));
    }
    let reason = format!("the body has {length} bytes, the limit is {limit}");
    Err(Refusal::new(Cause::BodyTooLarge, reason))
}

fn check_key(request: &Request<'_>, limit: usize) -> Result<Option<String>, Refusal> {
    let Some(key) = single_field(request, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if is_visible_ascii(key, limit) {
        return Ok(Some(key.to_owned()));
    }
    Err(malformed(format!(
        "an idempotency key has 1 to {limit} visible ASCII characters, found {} bytes",
        key.len()
    )))
}

fn check_deadline(request: &Request<'_>) -> Result<Option<Millis>, Refusal> {
    let Some(value) = single_field(request, DEADLINE)? else {
        return Ok(None);
    };
    match parse_number(DEADLINE, value)? {
        0 => Err(malformed(format!("{DEADLINE} must be above zero"))),
        millis => Ok(Some(millis)),
    }
}

fn forwarded_fields(request: &Request<'_>) -> Vec<(String, String)> {
    let connection: Vec<&str> = request.headers().get("connection").collect();
    let fields = request.headers().iter();
    fields
        .filter(|field| passes_upstream(field.name().as_str(), &connection))
        .map(|field| (field.name().to_string(), field.value().to_owned()))
        .collect()
}

fn single_field<'a>(request: &'a Request<'_>, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = request.headers().get(name);
    let first = values.next();
    match values.next() {
        Some(_) => Err(malformed(format!("{name} is given more than once"))),
        None => Ok(first),
    }
}

fn parse_number(name: &str, value: &str) -> Result<u64, Refusal> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let parsed = value.parse().ok().filter(|_| digits);
    parsed
        .filter(|number| *number <= NUMBER_LIMIT)
        .ok_or_else(|| {
            malformed(format!(
                "{name} is a whole number up to 2^53, found {value:?}"
            ))
        })
}

fn is_visible_ascii(text: &str, limit: usize) -> bool {
    (1..=limit).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn malformed(reason: impl Into<String>) -> Refusal {
    Refusal::new(Cause::Malformed, reason)
}
