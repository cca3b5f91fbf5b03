//! Fillers that start although standing tasks may need what they take.
//!
//! Harm is expected by what was learned, of which an owner inherits a part, and which stays as it is
//! as long as nothing is placed; memory is left for tasks that may never come. A filler that is kept
//! from all workers by such expectations could wait for ever beside idle CPU. While less than half of
//! a pool is committed, a job of which nothing has run for [`IDLE_MAX_MS`] therefore gets one run where
//! it harms least, at the lowest pace, which rises as the tails allow it.

use super::{
    AssignPass, Dispatcher, Entry, Kind, Millis, MisfitCounts, PoolUse, Waiting, cheapest,
};
use crate::dispatch::interference::MIN_PACE;
use crate::dispatch::place::AssignmentRequest;
use crate::dispatch::worker::WorkerKey;

/// Time without a run after which a job is owed one, in milliseconds. The users' rules allow 3 s; its
/// step may be skipped for [`super::SKIP_MAX_MS`] of these as well.
const IDLE_MAX_MS: Millis = 1_000;

/// Fraction of a pool's CPU below which it owes each job a run, by the users' rules.
const COMMITTED_DIVISOR: u64 = 2;

/// Marks the steps that may take what standing tasks are expected to need.
pub(super) fn mark(waiting: &mut [Waiting], pools: &[PoolUse]) {
    for step in waiting {
        let pool = &pools[step.pool];
        let is_free = pool.committed_milli < pool.capacity_milli / COMMITTED_DIVISOR;
        step.owed = step.filler && is_free && step.idle_ms >= IDLE_MAX_MS;
    }
}

impl Dispatcher {
    /// Starts a task of a step that only expectations keep from workers; false if it has no place
    /// even so.
    pub(super) fn start_owed(
        &mut self,
        step: &Waiting,
        index: u32,
        avoid: Option<WorkerKey>,
        request: &mut AssignmentRequest<'_>,
        pass: &mut AssignPass,
        misfits: MisfitCounts,
    ) -> bool {
        if !self.has_cap_room(step.job, request.step) {
            return false;
        }
        request.set_owed();
        let (mut candidates, _) = self.candidates(step, request, pass);
        let Some(worker) = cheapest(&mut candidates, avoid) else {
            return false;
        };
        let task = step.task(index);
        let Some(run) = self.assign_task(task, worker, pass.now) else {
            return false;
        };
        let run = &mut self.runs[run];
        run.is_owed = true;
        run.wanted_pace = MIN_PACE;
        pass.update_room(worker, &self.workers[worker]);
        let pool = &pass.pools[step.pool];
        Entry::new(Kind::OwedStarted)
            .with_text("task", task)
            .with("worker", &self.workers[worker].info.name)
            .with("idle-ms", step.idle_ms)
            .with("harm", misfits.harm)
            .with("no-memory", misfits.memory)
            .with("busy", misfits.busy)
            .with("committed-milli", pool.committed_milli)
            .with("cpu-milli", pool.capacity_milli)
            .emit();
        true
    }
}
