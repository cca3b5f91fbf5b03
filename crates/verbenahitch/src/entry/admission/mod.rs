//! Which jobs an entry host refuses, and when their callers may return.
//!
//! Load pattern: batch work beyond what gets done, for so long that the work ahead of a new
//! job outlasts the job's value. Whatever the order, one more job then leaves some job
//! without value, so its caller is told at once. A job with tasks larger than any worker is
//! refused as well.
//!
//! In doubt a job is accepted: without a digest, with one that is old, from the future or of
//! another owner, for a queue without a forecast, and up to twice the standard error of the
//! wait. Jobs with standing tasks or a schedule are never refused for a wait, as they have
//! a value whenever they run.
//!
//! Inputs: the owner's [`Digest`], up to three seconds old. The work ahead is taken to shrink
//! while the digest ages.

mod return_time;

pub use return_time::return_ms;

use serde::Serialize;

use crate::dispatch::step_order::{self, longest_path};
use crate::dispatch::{Digest, JobRecord};
use crate::domain::{Millis, Monotonic};

/// Age up to which a digest counts, in milliseconds. A host hears from the owner with each
/// job that it accepts and each state that it asks for, mostly several times a second.
const MAX_AGE_MS: Millis = 3_000;

/// Multiple of the wait's standard error that is taken off before a job is refused; a wait
/// as long as that is then almost certain.
const ERROR_FACTOR: Millis = 2;

/// Expected time until a larger worker may have joined, in milliseconds.
const LARGER_WORKER_MS: Millis = 60_000;

/// A digest as a host holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownDigest {
    /// Content.
    pub digest: Digest,
    /// Fencing token of the owner that made it.
    pub fence: u64,
    /// Its time by this host's clock.
    pub measured_at: Monotonic,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It would end too late to have a value, or make another one do so.
    NoValue,
    /// Its tasks are larger than any worker of the pool.
    TooLarge,
}

impl Cause {
    /// Whether hosts refuse for it. Late work with a value left gets done when the load falls,
    /// so that callers lose more by refusals for a wait than others gain; these are only
    /// recorded. See `docs/design/admission.md`.
    pub fn is_enforced(self) -> bool {
        match self {
            Self::NoValue => false,
            Self::TooLarge => true,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoValue => "no-value",
            Self::TooLarge => "too-large",
        }
    }
}

/// Decision to refuse a job, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause.
    pub cause: Cause,
    /// Time until a job like it can be expected to be accepted, in milliseconds.
    pub room_ms: Millis,
    /// Earliest end that is likely, in milliseconds from now; none for a job that cannot run.
    pub end_ms: Option<Millis>,
    /// End of its value, in milliseconds from now.
    pub limit_ms: Millis,
    /// Age of the digest in milliseconds.
    pub age_ms: Millis,
}

/// Decides on a new job; none if it is accepted. `fence` is that of the owner which the
/// host knows.
pub fn decide(
    record: &JobRecord,
    known: Option<&KnownDigest>,
    fence: Option<u64>,
    now: Monotonic,
) -> Option<Refusal> {
    let known = known?;
    let is_current = fence == Some(known.fence) && known.measured_at <= now;
    let age_ms = now.since(known.measured_at);
    if !is_current || age_ms > MAX_AGE_MS {
        return None;
    }
    let (queue, spec) = (&record.queue, &record.spec);
    let longest = longest_path(spec);
    let row = known.digest.queue(&queue.name);
    let actual_ms = row.map_or(longest, |row| row.actual_ms(longest));
    let limit_ms = step_order::value_end(queue.objective_ms(actual_ms));
    let refusal = Refusal {
        cause: Cause::TooLarge,
        room_ms: LARGER_WORKER_MS,
        end_ms: None,
        limit_ms,
        age_ms,
    };
    let mut steps = spec.steps.iter();
    if steps.any(|step| known.digest.exceeds_workers(&queue.pool, step)) {
        return Some(refusal);
    }
    let row = row?;
    if spec.repeat.is_some() || spec.steps.iter().any(|step| step.standing) {
        return None;
    }
    let margin_ms = row
        .error_ms
        .saturating_mul(ERROR_FACTOR)
        .saturating_add(age_ms);
    let end_ms = row.end_ms(spec, longest).saturating_sub(margin_ms);
    (end_ms > limit_ms).then(|| Refusal {
        cause: Cause::NoValue,
        room_ms: end_ms - limit_ms,
        end_ms: Some(end_ms),
        ..refusal
    })
}
