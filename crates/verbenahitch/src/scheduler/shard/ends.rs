//! Ends of runs, as workers report them or as lapsed leases imply them.

use super::Shard;
use super::job::Phase;
use crate::domain::{Checkpoint, Millis, Monotonic, TaskKey, TaskOutcome, WorkerKey};
use crate::event::{Entry, Kind};
use crate::port::EndKind;

/// Most failed runs of an idempotent task.
const MAX_FAILURES: u32 = 5;
const FIRST_RETRY_MS: Millis = 1_000;
const LAST_RETRY_MS: Millis = 60_000;
/// A job that failed on as many workers without a success is to blame itself.
const SUSPECT_WORKERS: usize = 2;

/// What follows from the end of a run.
enum Verdict {
    Final(TaskOutcome),
    /// Starts again from a time on.
    Again(Monotonic),
}

impl Shard {
    /// Takes in the end of a run that this owner knows.
    pub(super) fn finish(
        &mut self,
        run: u64,
        kind: EndKind,
        checkpoint_ms: Millis,
        now: Monotonic,
    ) {
        let Some(gone) = self.remove_run(run) else {
            return;
        };
        self.set_phase(gone.task, None);
        let progress_ms = checkpoint_ms.max(gone.checkpoint_ms);
        self.conclude(gone.task, gone.worker, run, kind, progress_ms, now);
    }

    pub(super) fn conclude(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: u64,
        kind: EndKind,
        progress_ms: Millis,
        now: Monotonic,
    ) {
        let verdict = self.judge(task, worker, kind, now);
        self.note_health(task, worker, kind, now);
        let host = self.workers[worker].host.name.clone();
        let entry = Entry::new(Kind::TaskEnded)
            .with_text("task", self.jobs[task.job].task_id(task.index))
            .with("run", run)
            .with("worker", host)
            .with("kind", kind)
            .with("checkpoint-ms", progress_ms);
        self.log(entry);
        match verdict {
            Verdict::Final(outcome) => self.end_task(task, outcome),
            Verdict::Again(from) => self.note_requeue(task, run, progress_ms, from),
        }
        self.note_ack(task, worker, run);
        self.stir(now);
    }

    /// Has a run acknowledged once the record's changes are durable.
    pub(super) fn note_ack(&mut self, task: TaskKey, worker: WorkerKey, run: u64) {
        self.workers[worker].ending.insert(run);
        self.jobs[task.job].pending.acks.push((worker, run));
        self.touch(task.job, false);
    }

    fn judge(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        kind: EndKind,
        now: Monotonic,
    ) -> Verdict {
        let job = &mut self.jobs[task.job];
        let idempotent = job.is_idempotent();
        match kind {
            EndKind::Done => Verdict::Final(TaskOutcome::Done),
            _ if job.record.cancelled => Verdict::Final(TaskOutcome::Cancelled),
            EndKind::Evicted | EndKind::Lapsed => Verdict::Again(now),
            EndKind::Stopped if idempotent => Verdict::Again(now),
            EndKind::Stopped => Verdict::Final(TaskOutcome::Unknown),
            EndKind::Failed => {
                let attempts = job.attempts.entry(task.index).or_default();
                attempts.failures += 1;
                attempts.avoid = Some(worker);
                if !idempotent || attempts.failures >= MAX_FAILURES {
                    return Verdict::Final(TaskOutcome::Failed);
                }
                let doubled = FIRST_RETRY_MS << (attempts.failures - 1);
                Verdict::Again(now + doubled.min(LAST_RETRY_MS))
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
        self.touch(task.job, false);
        self.file(task.job);
    }

    /// Takes a task's mark away; it starts again once that is durable.
    fn note_requeue(&mut self, task: TaskKey, run: u64, progress_ms: Millis, from: Monotonic) {
        let job = &mut self.jobs[task.job];
        let noted = job.record.checkpoints.entry(task.index).or_default();
        *noted = Checkpoint {
            run: noted.run.max(run),
            progress_ms: noted.progress_ms.max(progress_ms),
        };
        job.record.marked.remove(task.index);
        job.pending.requeues.push((task.index, from));
        let entry = Entry::new(Kind::TaskRequeued)
            .with_text("task", job.task_id(task.index))
            .with("checkpoint-ms", noted_progress(job, task.index));
        self.set_phase(task, Some(Phase::Requeueing(run)));
        self.touch(task.job, true);
        self.log(entry);
    }

    /// Lets a task start again, now that the end of its last run is durable.
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
        self.jobs[task.job].again.insert(task.index);
        self.set_phase(task, None);
        self.stir(now);
    }

    pub(super) fn wake_delayed(&mut self, now: Monotonic) {
        while let Some((at, task)) = self.delayed.first().copied().filter(|(at, _)| *at <= now) {
            self.delayed.remove(&(at, task));
            if self.phase(task) == Some(Phase::Delayed) {
                self.jobs[task.job].again.insert(task.index);
                self.set_phase(task, None);
                self.stir(now);
            }
        }
    }

    /// Takes in that a worker no longer reports a run.
    pub(super) fn on_missing(&mut self, run: u64, seq: u64, restarted: bool, now: Monotonic) {
        let found = &self.runs[&run];
        match found.sent {
            None => {}
            // Its start was in an earlier sync, which the worker refuses from now on.
            Some(sent) if sent < seq && !found.seen && !restarted => self.withdraw(run, now),
            Some(_) => self.lose(run, now),
        }
    }

    /// Takes in that a run is over and nobody tells how it ended.
    pub(super) fn lose(&mut self, run: u64, now: Monotonic) {
        let Some(gone) = self.remove_run(run) else {
            return;
        };
        self.set_phase(gone.task, None);
        self.stir(now);
        let job = &self.jobs[gone.task.job];
        if !job.is_idempotent() {
            self.end_task(gone.task, TaskOutcome::Unknown);
        } else if job.record.cancelled {
            self.end_task(gone.task, TaskOutcome::Cancelled);
        } else {
            self.note_requeue(gone.task, run, gone.checkpoint_ms, now);
        }
    }

    /// Gives up the runs of a silent worker once all their leases have lapsed.
    pub(super) fn lapse_silent(&mut self, key: WorkerKey, now: Monotonic) {
        let worker = &self.workers[key];
        if now < worker.lapse + self.params.lease_margin_ms() {
            return;
        }
        let runs: Vec<u64> = worker.runs.iter().copied().collect();
        for run in runs {
            match self.runs[&run].sent {
                Some(_) => self.lose(run, now),
                None => self.withdraw(run, now),
            }
        }
    }

    fn note_health(&mut self, task: TaskKey, worker: WorkerKey, kind: EndKind, now: Monotonic) {
        let job = &mut self.jobs[task.job];
        let host = &mut self.workers[worker];
        let changed = match kind {
            EndKind::Done => {
                job.succeeded = true;
                host.health.note_success().then_some(Kind::WorkerRestored)
            }
            EndKind::Failed => {
                job.failed_on.insert(worker);
                // A job that fails everywhere says nothing of the worker.
                let suspect = !job.succeeded && job.failed_on.len() >= SUSPECT_WORKERS;
                let condemned = !suspect && host.health.note_failure(task.job, now);
                condemned.then_some(Kind::WorkerQuarantined)
            }
            EndKind::Evicted | EndKind::Stopped | EndKind::Lapsed => None,
        };
        if let Some(kind) = changed {
            let entry = Entry::new(kind).with("worker", &host.host.name);
            self.log(entry);
        }
        self.refresh(worker, now);
    }
}

fn noted_progress(job: &super::Job, index: u32) -> Millis {
    job.record
        .checkpoints
        .get(&index)
        .map_or(0, |checkpoint| checkpoint.progress_ms)
}
