//! Names of header fields, and which of them are not forwarded.

/// Caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Milliseconds within which the sender needs the answer, counted from receipt.
pub const DEADLINE: &str = "x-deadline-ms";
/// ID of a request; an upstream repeats it in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Set by an upstream that accepts no new requests.
pub const LEAVING: &str = "x-leaving";
/// Set on a refusal: the request has not run and will not.
pub const NOT_RUN: &str = "verbenahitch-not-run";
/// Set when the request may have run: `already-sent` if its idempotency key was claimed for
/// an earlier request, else `unknown`.
pub const OUTCOME: &str = "verbenahitch-outcome";

/// Prefix of the gateway's own fields; not forwarded in either direction.
const RESERVED_PREFIX: &str = "verbenahitch-";

const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "http2-settings",
];

/// Request fields that the gateway sets itself or removes.
const REQUEST_REPLACED: [&str; 5] = ["host", "content-length", "expect", REQUEST_ID, DEADLINE];

/// Answer fields that the gateway sets itself or removes.
const ANSWER_REPLACED: [&str; 3] = ["content-length", REQUEST_ID, LEAVING];

/// Whether a request's field `name` is forwarded.
///
/// `connection`: values of the message's `Connection` fields.
pub fn passes_upstream(name: &str, connection: &[&str]) -> bool {
    is_end_to_end(name, connection) && !contains(&REQUEST_REPLACED, name)
}

/// Whether an answer's field `name` is forwarded.
///
/// `connection`: values of the message's `Connection` fields.
pub fn passes_to_caller(name: &str, connection: &[&str]) -> bool {
    is_end_to_end(name, connection) && !contains(&ANSWER_REPLACED, name)
}

/// Whether `name` is neither a hop-by-hop field nor one of the gateway's own.
fn is_end_to_end(name: &str, connection: &[&str]) -> bool {
    let reserved = name
        .get(..RESERVED_PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(RESERVED_PREFIX));
    let named = || {
        connection
            .iter()
            .flat_map(|value| value.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case(name))
    };
    !reserved && !contains(&HOP_BY_HOP, name) && !named()
}

fn contains(names: &[&str], name: &str) -> bool {
    names.iter().any(|known| known.eq_ignore_ascii_case(name))
}
