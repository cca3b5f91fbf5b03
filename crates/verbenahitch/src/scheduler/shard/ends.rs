//! Ends of runs, reported by workers or implied by lapsed leases.

use super::Shard;
use super::job::Phase;
use crate::domain::{Checkpoint, Millis, Monotonic, TaskKey, TaskOutcome, WorkerKey};
use crate::event::{Entry, Kind};
use crate::port::EndKind;

/// Number of failed runs after which an idempotent task has failed.
const MAX_FAILURES: u32 = 5;
const MIN_RETRY_MS: Millis = 1_000;
const MAX_RETRY_MS: Millis = 60_000;
/// A job that failed on this many workers without a success is taken for the cause of its failures.
const SUSPECT_WORKERS: usize = 2;

/// What happens to a task after the end of a run.
enum Disposition {
    Final(TaskOutcome),
    /// Starts again, at this time at the earliest.
    Retry(Monotonic),
}

impl Shard {
    /// Handles the end of a run that this owner started or recovered.
    pub(super) fn on_known_end(
        &mut self,
        run: u64,
        kind: EndKind,
        checkpoint_ms: Millis,
        now: Monotonic,
    ) {
        let Some(removed) = self.remove_run(run) else {
            return;
        };
        self.set_phase(removed.task, None);
        let progress_ms = checkpoint_ms.max(removed.checkpoint_ms);
        self.end_run(removed.task, removed.worker, run, kind, progress_ms, now);
    }

    pub(super) fn end_run(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: u64,
        kind: EndKind,
        progress_ms: Millis,
        now: Monotonic,
    ) {
        let disposition = self.disposition(task, worker, kind, now);
        self.update_health(task, worker, kind, now);
        let host = self.workers[worker].host.name.clone();
        let entry = Entry::new(Kind::TaskEnded)
            .with_text("task", self.jobs[task.job].task_id(task.index))
            .with("run", run)
            .with("worker", host)
            .with("kind", kind)
            .with("checkpoint-ms", progress_ms);
        self.log(entry);
        match disposition {
            Disposition::Final(outcome) => self.end_task(task, outcome),
            Disposition::Retry(from) => self.begin_requeue(task, run, progress_ms, from),
        }
        self.ack_when_durable(task, worker, run);
        self.schedule_pass(now);
    }

    /// Acknowledges the end of a run to its worker once the record's changes are durable.
    pub(super) fn ack_when_durable(&mut self, task: TaskKey, worker: WorkerKey, run: u64) {
        self.workers[worker].uncommitted_ends.insert(run);
        self.jobs[task.job].pending.acks.push((worker, run));
        self.queue_write(task.job, false);
    }

    fn disposition(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        kind: EndKind,
        now: Monotonic,
    ) -> Disposition {
        let job = &mut self.jobs[task.job];
        let idempotent = job.is_idempotent();
        match kind {
            EndKind::Done => Disposition::Final(TaskOutcome::Done),
            _ if job.record.cancelled => Disposition::Final(TaskOutcome::Cancelled),
            EndKind::Evicted | EndKind::Lapsed => Disposition::Retry(now),
            EndKind::Stopped if idempotent => Disposition::Retry(now),
            EndKind::Stopped => Disposition::Final(TaskOutcome::Unknown),
            EndKind::Failed => {
                let attempts = job.attempts.entry(task.index).or_default();
                attempts.failures += 1;
                attempts.avoid = Some(worker);
                if !idempotent || attempts.failures >= MAX_FAILURES {
                    return Disposition::Final(TaskOutcome::Failed);
                }
                let doubled = MIN_RETRY_MS << (attempts.failures - 1);
                Disposition::Retry(now + doubled.min(MAX_RETRY_MS))
            }
        }
    }

    pub(super) fn end_task(&mut self, task: TaskKey, outcome: TaskOutcome) {
        let job = &mut self.jobs[task.job];
        if outcome == TaskOutcome::Unknown {
            let entry = Entry::new(Kind::TaskUnknown).with_text("task", job.task_id(task.index));
            job.end(task.index, outcome);
            self.log(entry);
        } else {
            job.end(task.index, outcome);
        }
        self.making_room.remove(&task);
        self.queue_write(task.job, false);
        self.update_queue(task.job);
    }

    /// Removes a task's mark; it is requeued once that is durable.
    fn begin_requeue(&mut self, task: TaskKey, run: u64, progress_ms: Millis, from: Monotonic) {
        let job = &mut self.jobs[task.job];
        let recorded = job.record.checkpoints.entry(task.index).or_default();
        *recorded = Checkpoint {
            run: recorded.run.max(run),
            progress_ms: recorded.progress_ms.max(progress_ms),
        };
        job.record.marked.remove(task.index);
        job.pending.requeues.push((task.index, from));
        let entry = Entry::new(Kind::TaskRequeued)
            .with_text("task", job.task_id(task.index))
            .with("checkpoint-ms", recorded_progress(job, task.index));
        self.set_phase(task, Some(Phase::Requeueing(run)));
        self.queue_write(task.job, true);
        self.log(entry);
    }

    /// Requeues a task, now that the end of its last run is durable.
    pub(super) fn requeue(&mut self, task: TaskKey, from: Monotonic, now: Monotonic) {
        if !matches!(self.phase(task), Some(Phase::Requeueing(_))) {
            return;
        }
        if self.jobs[task.job].record.cancelled {
            self.set_phase(task, None);
            return self.end_task(task, TaskOutcome::Cancelled);
        }
        if from > now {
            self.set_phase(task, Some(Phase::Delayed));
            self.delayed.insert((from, task));
            return;
        }
        self.jobs[task.job].requeued.insert(task.index);
        self.set_phase(task, None);
        self.schedule_pass(now);
    }

    pub(super) fn wake_delayed(&mut self, now: Monotonic) {
        while let Some((at, task)) = self.delayed.first().copied().filter(|(at, _)| *at <= now) {
            self.delayed.remove(&(at, task));
            if self.phase(task) == Some(Phase::Delayed) {
                self.jobs[task.job].requeued.insert(task.index);
                self.set_phase(task, None);
                self.schedule_pass(now);
            }
        }
    }

    /// Handles a run that is missing from its worker's report.
    pub(super) fn on_missing(&mut self, run: u64, seq: u64, life: u64, now: Monotonic) {
        let found = &self.runs[&run];
        match found.start_seq {
            None => {}
            // The start was in an earlier sync, which the same life of the worker would now refuse:
            // it can no longer take effect. An earlier life may have carried it out.
            Some(start) if start < seq && !found.seen && found.life == life && life > 0 => {
                self.withdraw(run, now);
            }
            Some(_) => self.lose_run(run, now),
        }
    }

    /// Handles a run that is over and whose outcome no worker reported.
    pub(super) fn lose_run(&mut self, run: u64, now: Monotonic) {
        let Some(removed) = self.remove_run(run) else {
            return;
        };
        self.set_phase(removed.task, None);
        self.schedule_pass(now);
        let job = &self.jobs[removed.task.job];
        if !job.is_idempotent() {
            self.end_task(removed.task, TaskOutcome::Unknown);
        } else if job.record.cancelled {
            self.end_task(removed.task, TaskOutcome::Cancelled);
        } else {
            self.begin_requeue(removed.task, run, removed.checkpoint_ms, now);
        }
    }

    /// Ends the runs of a worker that does not answer, once all their leases have lapsed.
    pub(super) fn lose_lapsed_runs(&mut self, key: WorkerKey, now: Monotonic) {
        let worker = &self.workers[key];
        if now < worker.lapses_at + self.params.lease_margin_ms() {
            return;
        }
        let runs: Vec<u64> = worker.runs.iter().copied().collect();
        for run in runs {
            match self.runs[&run].start_seq {
                Some(_) => self.lose_run(run, now),
                None => self.withdraw(run, now),
            }
        }
    }

    fn update_health(&mut self, task: TaskKey, worker: WorkerKey, kind: EndKind, now: Monotonic) {
        let job = &mut self.jobs[task.job];
        let host = &mut self.workers[worker];
        let changed = match kind {
            EndKind::Done => {
                job.succeeded = true;
                host.health.record_success().then_some(Kind::WorkerRestored)
            }
            EndKind::Failed => {
                job.failed_on.insert(worker);
                // A job that fails on every worker says nothing about this one.
                let suspect = !job.succeeded && job.failed_on.len() >= SUSPECT_WORKERS;
                let quarantined = !suspect && host.health.record_failure(task.job, now);
                quarantined.then_some(Kind::WorkerQuarantined)
            }
            EndKind::Evicted | EndKind::Stopped | EndKind::Lapsed => None,
        };
        if let Some(kind) = changed {
            let entry = Entry::new(kind).with("worker", &host.host.name);
            self.log(entry);
        }
        self.refresh_worker(worker, now);
    }
}

fn recorded_progress(job: &super::Job, index: u32) -> Millis {
    job.record
        .checkpoints
        .get(&index)
        .map_or(0, |checkpoint| checkpoint.progress_ms)
}
