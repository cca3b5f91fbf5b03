//! Log entries and metrics of the request path.

use std::time::Duration;

use metrics::{counter, histogram};

use crate::event::{Entry, Kind};

use super::serve::{Call, End};
use crate::gateway::route::{Choice, Upstream};

/// Logs the choice of an upstream for attempt number `attempt`, from zero.
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

/// Logs and counts what became of a request.
pub fn ended(id: &str, kind: &str, end: &End, took: Duration) {
    let (event, outcome) = match end {
        End::Answered(_) => (Kind::Answered, "answered"),
        End::Refused(refusal) => (Kind::Refused, refusal.cause.name()),
        End::Unknown(doubt, _) => (Kind::OutcomeUnknown, doubt.name()),
    };
    counter!("verbenahitch_requests_total", "kind" => kind.to_owned(), "outcome" => outcome)
        .increment(1);
    if matches!(end, End::Answered(_)) {
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
    match end {
        End::Answered(answer) => entry.with("status", answer.status).emit(),
        End::Refused(refusal) => entry
            .with("cause", refusal.cause.name())
            .with("reason", &refusal.reason)
            .emit(),
        End::Unknown(doubt, reason) => entry
            .with("doubt", doubt.name())
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

/// Whether an entry is worth building.
fn is_logged(kind: Kind) -> bool {
    log::log_enabled!(target: "event", kind.level())
}
