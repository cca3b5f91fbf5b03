//! What workers report: runs that go on and runs that have ended, also those that
//! this owner did not start or has given up.

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
            self.hold_found(key, running, now);
            return self.evict_if_leaving(running.run, now);
        }
        if let Some(task) = self.task_key(&running.task)
            && self.adopt_run(key, task, running, now)
        {
            self.hold_found(key, running, now);
            return self.evict_if_leaving(running.run, now);
        }
        self.stop_stray(key, &running.task, running.run, now);
    }

    fn task_key(&self, id: &TaskId) -> Option<TaskKey> {
        let job = self.by_id.get(&id.job).copied()?;
        let known = id.index < self.jobs[job].record.spec.tasks;
        known.then_some(TaskKey {
            job,
            index: id.index,
        })
    }

    /// Takes over a run that a worker reports and this owner did not start.
    fn adopt_run(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        running: &Running,
        now: Monotonic,
    ) -> bool {
        let job = &self.jobs[task.job];
        let kept = matches!(job.stage, Stage::New | Stage::Stored);
        if !kept || job.record.ended.get(task.index).is_some() {
            return false;
        }
        if let Some(Phase::Running(other)) = job.phases.get(&task.index).copied()
            && (other < running.run || !self.withdraw_or_stop(other, now))
        {
            return false;
        }
        let job = &mut self.jobs[task.job];
        job.again.remove(&task.index);
        let fresh = job.record.marked.insert(task.index);
        let profile = job.profile.clone();
        let cancelled = job.record.cancelled;
        let held = self.occupy_found(key, task, running, profile, now);
        self.set_phase(task, Some(Phase::Running(running.run)));
        self.workers[key].runs.insert(running.run);
        self.runs.insert(
            running.run,
            Run {
                task,
                worker: key,
                sent: Some(0),
                seen: true,
                held,
                evicting: false,
                checkpoint_ms: running.checkpoint_ms,
                reason: "found on its worker".to_owned(),
            },
        );
        if fresh {
            self.touch(task.job, true);
        }
        if cancelled {
            self.stop(running.run, now);
        }
        true
    }

    /// Keeps a worker closed while it runs what the placer could not commit there.
    fn hold_found(&mut self, key: WorkerKey, running: &Running, now: Monotonic) {
        let found = &self.runs[&running.run];
        if found.held {
            return;
        }
        let task = found.task;
        let profile = self.jobs[task.job].profile.clone();
        if !self.occupy_found(key, task, running, profile, now) {
            self.workers[key].strays.insert(running.run);
        } else if let Some(found) = self.runs.get_mut(&running.run) {
            found.held = true;
        }
    }

    /// Commits what a found run holds, by its worker's word.
    fn occupy_found(
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
            name: Arc::clone(&self.jobs[task.job].name),
            profile,
            resources: running.resources,
            since: now,
        };
        self.placer.occupy(worker, resident).is_ok()
    }

    /// Has a run that must not go on stopped, or takes its start back.
    ///
    /// Says whether the run no longer counts as the one of its task.
    fn withdraw_or_stop(&mut self, run: u64, now: Monotonic) -> bool {
        let Some(gone) = self.remove_run(run) else {
            return false;
        };
        if gone.sent.is_some() {
            let id = self.jobs[gone.task.job].task_id(gone.task.index);
            self.stop_stray(gone.worker, &id, run, now);
            self.refresh(gone.worker, now);
        }
        true
    }

    /// Stops a run that must not go on; its worker takes nothing until it has stopped.
    fn stop_stray(&mut self, key: WorkerKey, task: &TaskId, run: u64, now: Monotonic) {
        self.workers[key].strays.insert(run);
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
        if found.sent.is_none() {
            return self.withdraw(run, now);
        }
        self.command(worker, Command::Stop { run }, now);
    }

    pub(super) fn on_ended(&mut self, key: WorkerKey, ended: &Ended, now: Monotonic) {
        if self.workers[key].ending.contains(&ended.run) {
            return;
        }
        let known = self
            .runs
            .get(&ended.run)
            .is_some_and(|run| run.worker == key);
        if known {
            return self.finish(ended.run, ended.kind, ended.checkpoint_ms, now);
        }
        match self.task_key(&ended.task) {
            Some(task) => self.on_unexpected_end(key, task, ended, now),
            None => self.workers[key].acks.push(ended.run),
        }
    }

    /// Takes in the end of a run that this owner did not start or has given up.
    fn on_unexpected_end(&mut self, key: WorkerKey, task: TaskKey, ended: &Ended, now: Monotonic) {
        let job = &self.jobs[task.job];
        let noted = job.record.checkpoints.get(&task.index);
        let stale = noted.is_some_and(|checkpoint| checkpoint.run >= ended.run);
        let done = ended.kind == EndKind::Done;
        let outcome = job.record.ended.get(task.index);
        let phase = job.phases.get(&task.index).copied();
        match (outcome, phase) {
            // The worker tells what was not known before.
            (Some(TaskOutcome::Unknown), _) if done => {
                self.jobs[task.job].end(task.index, TaskOutcome::Done);
                self.note_ack(task, key, ended.run);
            }
            (Some(_), _) => self.ack_noted(task, key, ended.run),
            (None, Some(Phase::Unclear)) if !stale => {
                self.set_phase(task, None);
                self.conclude(task, key, ended.run, ended.kind, ended.checkpoint_ms, now);
            }
            (None, _) if done => {
                self.supersede(task, now);
                self.conclude(task, key, ended.run, ended.kind, ended.checkpoint_ms, now);
            }
            (None, Some(Phase::Running(run))) => {
                // Until its worker reports the newer run, this end may be needed.
                if self.runs[&run].seen {
                    self.ack_noted(task, key, ended.run);
                }
            }
            (None, _) => {
                if self.note_progress(task, ended) {
                    self.note_ack(task, key, ended.run);
                } else {
                    self.ack_noted(task, key, ended.run);
                }
            }
        }
    }

    /// Has a run acknowledged of which the record tells already, though perhaps not durably.
    fn ack_noted(&mut self, task: TaskKey, key: WorkerKey, run: u64) {
        let job = &self.jobs[task.job];
        if job.dirty || job.inflight.is_some() {
            return self.note_ack(task, key, run);
        }
        self.workers[key].acks.push(run);
    }

    /// Notes a newer checkpoint of a run that was given up; says whether it is newer.
    fn note_progress(&mut self, task: TaskKey, ended: &Ended) -> bool {
        let checkpoints = &mut self.jobs[task.job].record.checkpoints;
        let noted = checkpoints.get(&task.index).copied().unwrap_or_default();
        if ended.run < noted.run || ended.checkpoint_ms <= noted.progress_ms {
            return false;
        }
        let newer = Checkpoint {
            run: ended.run,
            progress_ms: ended.checkpoint_ms,
        };
        checkpoints.insert(task.index, newer);
        if self.phase(task).is_none() {
            self.jobs[task.job].again.insert(task.index);
            self.file(task.job);
        }
        true
    }

    /// Stops what a task does now, because an earlier run of it is done.
    fn supersede(&mut self, task: TaskKey, now: Monotonic) {
        if let Some(Phase::Running(run)) = self.phase(task) {
            self.withdraw_or_stop(run, now);
        }
        self.set_phase(task, None);
    }
}
