//! Quarantine of workers.
//!
//! Load pattern: a worker that fails every run looks idle and would be given more
//! and more tasks; a faulty job fails on every worker. Failures of different jobs
//! in a row indicate a faulty worker.
//!
//! Inputs: ended, stalled and slow runs, as old as the last poll, and refused orders.

use super::job::JobId;
use super::worker::Worker;
use crate::domain::{Millis, Monotonic};

/// Failures of different jobs in a row after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 2;

/// Quarantine of a worker that fails its runs, in milliseconds. Shorter than such
/// faults last, so that the recovery of the worker is noticed soon.
const FAILING_QUARANTINE_MS: Millis = 3_000;

/// Quarantine of a worker that refused an order or did not get it, in milliseconds.
const REFUSAL_QUARANTINE_MS: Millis = 700;

/// Quarantine of a worker with a stalled run, in milliseconds.
const STALL_QUARANTINE_MS: Millis = 4_000;

/// Quarantine of a worker on which runs of several jobs are slow, in milliseconds.
const SLOW_QUARANTINE_MS: Millis = 2_500;

/// Time within which slow runs of two jobs indicate a slow worker, in milliseconds.
const SLOW_WINDOW_MS: Millis = 4_000;

/// Time without progress after which a run counts as stalled, in milliseconds. A run
/// that is slowed down eightfold still progresses by one percent in this time.
pub(super) const STALL_MS: Millis = 1_500;

/// Records a failed run; returns whether the worker is quarantined for it.
pub(super) fn run_failed(worker: &mut Worker, job: JobId, now: Monotonic) -> bool {
    if worker.failed_job != Some(job) {
        worker.failures += 1;
        worker.failed_job = Some(job);
    }
    let is_faulty = worker.failures >= QUARANTINE_FAILURES;
    if is_faulty {
        quarantine(worker, now + FAILING_QUARANTINE_MS);
    }
    is_faulty
}

/// Records a completed run.
pub(super) fn run_done(worker: &mut Worker) {
    worker.failures = 0;
    worker.failed_job = None;
}

/// Records an order that the worker refused or did not get.
pub(super) fn order_refused(worker: &mut Worker, now: Monotonic) {
    quarantine(worker, now + REFUSAL_QUARANTINE_MS);
}

/// Records a stalled run.
pub(super) fn run_stalled(worker: &mut Worker, now: Monotonic) {
    quarantine(worker, now + STALL_QUARANTINE_MS);
}

/// Records a run that was far slower than its peers.
pub(super) fn run_slow(worker: &mut Worker, job: JobId, now: Monotonic) {
    let is_other_job = worker.slow_job != Some(job);
    worker.slow_job = Some(job);
    let is_recent = now.since(worker.slow_at) < SLOW_WINDOW_MS;
    if is_other_job && is_recent && worker.slow_at != Monotonic::default() {
        quarantine(worker, now + SLOW_QUARANTINE_MS);
    }
    worker.slow_at = now;
}

fn quarantine(worker: &mut Worker, until: Monotonic) {
    worker.quarantined_until = worker.quarantined_until.max(until);
}
