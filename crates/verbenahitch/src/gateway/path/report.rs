//! Log entries and metrics of the request path.

use std::time::Duration;

use metrics::{counter, histogram};

use crate::event::{Entry, Kind};

use super::serve::{Call, RequestOutcome};
use crate::gateway::route::{Choice, Upstream};

/// Logs the choice of an upstream for the attempt with the zero-based number `attempt`.
pub fn chosen(call: &Call, attempt: usize, choice: &Choice) {
    let kind = match attempt {
        0 => Kind::Routed,
        _ => Kind::Retried,
    };
    if attempt > 0 {
        counter!("verbenahitch_retries_total", "kind" => call.kind.clone()).increment(1);
    }
    if !is_logged(kind) {
        return;
    }
    let runner_up = choice.runner_up.as_ref().map(|other| other.name.as_str());
    Entry::new(kind)
        .with("request", &call.outgoing.id)
        .with("kind", &call.kind)
        .with("profile", &call.profile)
        .with("chosen", &choice.slot.upstream().name)
        .with("runner-up", runner_up)
        .with("reason", choice.reason.name())
        .emit();
}

/// Logs and counts the outcome of a request.
pub fn ended(id: &str, kind: &str, result: &RequestOutcome, took: Duration) {
    let (event, outcome) = match result {
        RequestOutcome::Answered(_) => (Kind::Answered, "answered"),
        RequestOutcome::Refused(refusal) => (Kind::Refused, refusal.cause.name()),
        RequestOutcome::Unknown(cause, _) => (Kind::OutcomeUnknown, cause.name()),
    };
    counter!("verbenahitch_requests_total", "kind" => kind.to_owned(), "outcome" => outcome)
        .increment(1);
    if matches!(result, RequestOutcome::Answered(_)) {
        histogram!("verbenahitch_request_seconds", "kind" => kind.to_owned())
            .record(took.as_secs_f64());
    }
    if !is_logged(event) {
        return;
    }
    let entry = Entry::new(event)
        .with("request", id)
        .with("kind", kind)
        .with("took-ms", took.as_secs_f64() * 1_000.0);
    match result {
        RequestOutcome::Answered(answer) => entry.with("status", answer.status).emit(),
        RequestOutcome::Refused(refusal) => entry
            .with("cause", refusal.cause.name())
            .with("reason", &refusal.reason)
            .emit(),
        RequestOutcome::Unknown(cause, reason) => entry
            .with("doubt", cause.name())
            .with("reason", reason)
            .emit(),
    }
}

/// Logs that an upstream gets requests again.
pub fn returned(upstream: &Upstream) {
    Entry::new(Kind::UpstreamReturned)
        .with("upstream", &upstream.name)
        .emit();
}

/// Whether entries of this kind are logged at the current level.
fn is_logged(kind: Kind) -> bool {
    log::log_enabled!(target: "event", kind.level())
}
