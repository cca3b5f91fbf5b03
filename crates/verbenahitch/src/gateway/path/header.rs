//! Names of header fields, and which of them end at this hop.

/// Caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Remaining time for the answer in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Identity of a request; an upstream repeats it in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Set by an upstream that takes nothing new from now on.
pub const LEAVING: &str = "x-leaving";
/// Set on a refusal: the request has not run and will not.
pub const NOT_RUN: &str = "verbenahitch-not-run";
/// Set when the request may have run, with what is known about it.
pub const OUTCOME: &str = "verbenahitch-outcome";

/// Prefix of the fields that only the gateway itself sets.
const OWN_PREFIX: &str = "verbenahitch-";

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

/// Fields that the gateway sets itself on the way to an upstream.
const REPLACED: [&str; 5] = ["host", "content-length", "expect", REQUEST_ID, DEADLINE];

/// Fields that the gateway sets itself on the way to a caller.
const ANSWER_REPLACED: [&str; 3] = ["content-length", REQUEST_ID, LEAVING];

/// Whether a request's field `name` is passed on, given the values of its `Connection` fields.
pub fn passes_upstream(name: &str, connection: &[&str]) -> bool {
    passes(name, connection) && !listed(&REPLACED, name)
}

/// Whether an answer's field `name` is passed on, given the values of its `Connection` fields.
pub fn passes_to_caller(name: &str, connection: &[&str]) -> bool {
    passes(name, connection) && !listed(&ANSWER_REPLACED, name)
}

fn passes(name: &str, connection: &[&str]) -> bool {
    let own = name
        .get(..OWN_PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(OWN_PREFIX));
    let named = || {
        connection
            .iter()
            .flat_map(|value| value.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case(name))
    };
    !own && !listed(&HOP_BY_HOP, name) && !named()
}

fn listed(names: &[&str], name: &str) -> bool {
    names.iter().any(|known| known.eq_ignore_ascii_case(name))
}
