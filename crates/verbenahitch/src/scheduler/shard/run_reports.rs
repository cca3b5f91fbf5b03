//! Reports of workers about running and ended runs, including those that this
//! owner did not start or has superseded.

use std::sync::Arc;

use super::job::{Phase, Stage};
use super::{Run, Shard};
use crate::domain::{Checkpoint, Monotonic, Profile, TaskId, TaskKey, TaskOutcome, WorkerKey};
use crate::event::{Entry, Kind};
use crate::placement::Resident;
use crate::port::{Command, EndKind, Ended, Running};

impl Shard {
    pub(super) fn on_running(&mut self, key: WorkerKey, running: &Running, now: Monotonic) {
        if let Some(run) = self
            .runs
            .get_mut(&running.run)
            .filter(|run| run.worker == key)
        {
            run.seen = true;
            run.checkpoint_ms = run.checkpoint_ms.max(running.checkpoint_ms);
            let task = run.task;
            self.placer.set_share(key, task, running.share);
            self.retry_commit(key, running, now);
            return self.evict_if_leaving(running.run, now);
        }
        if let Some(task) = self.task_key(&running.task, running.run)
            && self.recover_run(key, task, running, now)
        {
            self.retry_commit(key, running, now);
            return self.evict_if_leaving(running.run, now);
        }
        self.stop_superseded(key, &running.task, running.run, now);
    }

    /// Task of a reported run, unless the run is older than the job in this shard.
    fn task_key(&self, id: &TaskId, run: u64) -> Option<TaskKey> {
        let job = self.by_id.get(&id.job).copied()?;
        let record = &self.jobs[job].record;
        let known = id.index < record.spec.tasks && run > record.since_run;
        known.then_some(TaskKey {
            job,
            index: id.index,
        })
    }

    /// Recovers a reported run that this owner did not start; returns whether it did.
    fn recover_run(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        running: &Running,
        now: Monotonic,
    ) -> bool {
        let job = &self.jobs[task.job];
        let active = matches!(job.stage, Stage::New | Stage::Stored);
        if !active || job.record.ended.get(task.index).is_some() {
            return false;
        }
        if let Some(Phase::Running(other)) = job.phases.get(&task.index).copied()
            && (other < running.run || !self.withdraw_or_stop(other, now))
        {
            return false;
        }
        let job = &mut self.jobs[task.job];
        job.requeued.remove(&task.index);
        let newly_marked = job.record.marked.insert(task.index);
        let profile = job.profile.clone();
        let cancelled = job.record.cancelled;
        let accounted = self.commit_reported(key, task, running, profile, now);
        self.set_phase(task, Some(Phase::Running(running.run)));
        self.workers[key].runs.insert(running.run);
        self.runs.insert(
            running.run,
            Run {
                task,
                worker: key,
                start_seq: Some(0),
                life: 0,
                seen: true,
                accounted,
                evicting: false,
                checkpoint_ms: running.checkpoint_ms,
                reason: "found on its worker".to_owned(),
            },
        );
        if newly_marked {
            self.queue_write(task.job, true);
        }
        if cancelled {
            self.stop(running.run, now);
        }
        true
    }

    /// Retries to account for a recovered run; keeps its worker closed while the placer has no room
    /// for it.
    fn retry_commit(&mut self, key: WorkerKey, running: &Running, now: Monotonic) {
        let found = &self.runs[&running.run];
        if found.accounted {
            return;
        }
        let task = found.task;
        let profile = self.jobs[task.job].profile.clone();
        if !self.commit_reported(key, task, running, profile, now) {
            self.workers[key].blocking_runs.insert(running.run);
        } else if let Some(found) = self.runs.get_mut(&running.run) {
            found.accounted = true;
        }
    }

    /// Accounts for a reported run in the placer, with the resources that its worker reports.
    fn commit_reported(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        running: &Running,
        profile: Option<Arc<Profile>>,
        now: Monotonic,
    ) -> bool {
        let Some(profile) = profile else {
            return false;
        };
        let resident = Resident {
            task,
            run: running.run,
            name: Arc::clone(&self.jobs[task.job].profile_name),
            profile,
            resources: running.resources,
            since: now,
        };
        self.placer.commit(worker, resident).is_ok()
    }

    /// Stops a superseded run, or cancels its start if that was not sent yet.
    ///
    /// Returns whether there was such a run.
    fn withdraw_or_stop(&mut self, run: u64, now: Monotonic) -> bool {
        let Some(removed) = self.remove_run(run) else {
            return false;
        };
        if removed.start_seq.is_some() {
            let id = self.jobs[removed.task.job].task_id(removed.task.index);
            self.stop_superseded(removed.worker, &id, run, now);
            self.refresh_worker(removed.worker, now);
        }
        true
    }

    /// Stops a superseded run; its worker is given no tasks until the run has stopped.
    fn stop_superseded(&mut self, key: WorkerKey, task: &TaskId, run: u64, now: Monotonic) {
        self.workers[key].blocking_runs.insert(run);
        self.command(key, Command::Stop { run }, now);
        let entry = Entry::new(Kind::TaskEnded)
            .with_text("task", task)
            .with("run", run)
            .with("worker", &self.workers[key].host.name)
            .with("reason", "superseded run is stopped");
        self.log(entry);
    }

    /// Stops a run without a checkpoint.
    pub(super) fn stop(&mut self, run: u64, now: Monotonic) {
        let Some(found) = self.runs.get(&run) else {
            return;
        };
        let worker = found.worker;
        if found.start_seq.is_none() {
            return self.withdraw(run, now);
        }
        self.command(worker, Command::Stop { run }, now);
    }

    pub(super) fn on_ended(&mut self, key: WorkerKey, ended: &Ended, now: Monotonic) {
        if self.workers[key].uncommitted_ends.contains(&ended.run) {
            return;
        }
        let known = self
            .runs
            .get(&ended.run)
            .is_some_and(|run| run.worker == key);
        if known {
            return self.on_known_end(ended.run, ended.kind, ended.checkpoint_ms, now);
        }
        match self.task_key(&ended.task, ended.run) {
            Some(task) => self.on_unexpected_end(key, task, ended, now),
            None => self.workers[key].acks.push(ended.run),
        }
    }

    /// Handles the end of a run that this owner did not start or has superseded.
    fn on_unexpected_end(&mut self, key: WorkerKey, task: TaskKey, ended: &Ended, now: Monotonic) {
        let job = &self.jobs[task.job];
        let recorded = job.record.checkpoints.get(&task.index);
        let stale = recorded.is_some_and(|checkpoint| checkpoint.run >= ended.run);
        let done = ended.kind == EndKind::Done;
        let outcome = job.record.ended.get(task.index);
        let phase = job.phases.get(&task.index).copied();
        match (outcome, phase) {
            // The report resolves an outcome that was unknown.
            (Some(TaskOutcome::Unknown), _) if done => {
                self.jobs[task.job].end(task.index, TaskOutcome::Done);
                self.ack_when_durable(task, key, ended.run);
            }
            (Some(_), _) => self.ack_recorded(task, key, ended.run),
            (None, Some(Phase::Unclear)) if !stale => {
                self.set_phase(task, None);
                self.end_run(task, key, ended.run, ended.kind, ended.checkpoint_ms, now);
            }
            (None, _) if done => {
                self.supersede(task, now);
                self.end_run(task, key, ended.run, ended.kind, ended.checkpoint_ms, now);
            }
            (None, Some(Phase::Running(run))) => {
                // The newer run may never have started: keep the older report until its worker
                // confirms the newer run.
                if self.runs[&run].seen {
                    self.ack_recorded(task, key, ended.run);
                }
            }
            (None, _) => {
                if self.record_progress(task, ended) {
                    self.ack_when_durable(task, key, ended.run);
                } else {
                    self.ack_recorded(task, key, ended.run);
                }
            }
        }
    }

    /// Acknowledges an end that the record already contains, once that is durable.
    fn ack_recorded(&mut self, task: TaskKey, key: WorkerKey, run: u64) {
        let job = &self.jobs[task.job];
        if job.dirty || job.inflight.is_some() {
            return self.ack_when_durable(task, key, run);
        }
        self.workers[key].acks.push(run);
    }

    /// Records the checkpoint of a superseded run if it is newer; returns whether it is.
    fn record_progress(&mut self, task: TaskKey, ended: &Ended) -> bool {
        let checkpoints = &mut self.jobs[task.job].record.checkpoints;
        let recorded = checkpoints.get(&task.index).copied().unwrap_or_default();
        if ended.run < recorded.run || ended.checkpoint_ms <= recorded.progress_ms {
            return false;
        }
        let newer = Checkpoint {
            run: ended.run,
            progress_ms: ended.checkpoint_ms,
        };
        checkpoints.insert(task.index, newer);
        if self.phase(task).is_none() {
            self.jobs[task.job].requeued.insert(task.index);
            self.update_queue(task.job);
        }
        true
    }

    /// Stops the current run of a task, because an earlier run has completed the task.
    fn supersede(&mut self, task: TaskKey, now: Monotonic) {
        if let Some(Phase::Running(run)) = self.phase(task) {
            self.withdraw_or_stop(run, now);
        }
        self.set_phase(task, None);
    }
}
