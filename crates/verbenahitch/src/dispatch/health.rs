//! Workers to keep away from.
//!
//! Load pattern: a worker that fails all it starts looks idle and would be given
//! more and more; a job that can never be done fails on every worker. Failures
//! of different jobs in a row tell the first from the second.
//!
//! Inputs: ends, as old as the last look.

use super::job::JobId;
use super::worker::Worker;
use crate::domain::{Millis, Monotonic};

/// Failures of different jobs in a row after which a worker is shunned.
const FAILURES: u32 = 2;

/// How long a worker that fails is shunned, in milliseconds. Short of the time
/// that such troubles last, so that its return is noticed.
const SHUN_FAILING_MS: Millis = 3_000;

/// How long a worker that refused or lost an order is shunned, in milliseconds.
const SHUN_REFUSING_MS: Millis = 700;

/// How long a worker on which tasks stand still is shunned, in milliseconds.
const SHUN_HANGING_MS: Millis = 4_000;

/// How long a worker that slows tasks of several jobs is shunned, in milliseconds.
const SHUN_SLOW_MS: Millis = 2_500;

/// Time within which slow tasks of two jobs tell of a slow worker, in milliseconds.
const SLOW_MEMORY_MS: Millis = 4_000;

/// Time without progress after which a run hangs, in milliseconds. A run that is
/// slowed eight times still moves by a percent in this time.
pub(super) const HANG_MS: Millis = 1_500;

/// Notes a run that failed; whether the worker is shunned for it.
pub(super) fn failed(worker: &mut Worker, job: JobId, now: Monotonic) -> bool {
    if worker.last_failure != Some(job) {
        worker.failures += 1;
        worker.last_failure = Some(job);
    }
    let is_sick = worker.failures >= FAILURES;
    if is_sick {
        shun(worker, now + SHUN_FAILING_MS);
    }
    is_sick
}

/// Notes a run that was done.
pub(super) fn done(worker: &mut Worker) {
    worker.failures = 0;
    worker.last_failure = None;
}

/// Notes an order that the worker refused or did not get.
pub(super) fn refused(worker: &mut Worker, now: Monotonic) {
    shun(worker, now + SHUN_REFUSING_MS);
}

/// Notes a run that made no progress.
pub(super) fn hung(worker: &mut Worker, now: Monotonic) {
    shun(worker, now + SHUN_HANGING_MS);
}

/// Notes a run that was far slower than its peers.
pub(super) fn slow(worker: &mut Worker, job: JobId, now: Monotonic) {
    let is_new = worker.last_slow != Some(job);
    worker.last_slow = Some(job);
    let is_lasting = now.since(worker.slow_at) < SLOW_MEMORY_MS;
    if is_new && is_lasting && worker.slow_at != Monotonic::default() {
        shun(worker, now + SHUN_SLOW_MS);
    }
    worker.slow_at = now;
}

fn shun(worker: &mut Worker, until: Monotonic) {
    worker.shunned_until = worker.shunned_until.max(until);
}
