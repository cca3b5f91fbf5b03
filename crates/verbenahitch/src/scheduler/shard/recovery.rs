//! Takeover of a shard, and the checks before a task is started that may be running.
//!
//! Tasks without a mark may start at once. A marked task waits until a worker
//! reports it, or until every worker has answered under this epoch or its leases
//! have provably lapsed; the shard is *recovered* then.

use std::collections::BTreeSet;

use super::job::{Phase, Stage};
use super::requests::unavailable;
use super::roster::Roster;
use super::{Ownership, Shard};
use crate::domain::{JobKey, JobRecord, Monotonic, TaskKey, TaskOutcome};
use crate::event::{Entry, Kind};
use crate::scheduler::{Action, Answer, SubmitError};

impl Shard {
    pub(super) fn on_acquired(
        &mut self,
        epoch: u64,
        jobs: Vec<JobRecord>,
        workers: Option<BTreeSet<String>>,
        released: bool,
        now: Monotonic,
    ) {
        self.answer_open_requests();
        self.forget(now);
        self.owned = Some(Ownership {
            epoch,
            since: now,
            released,
            next_run: 0,
            recovered: false,
        });
        self.roster = Roster::new(workers);
        self.record_workers(now);
        let entry = Entry::new(Kind::ShardAcquired)
            .with("shard", &self.name)
            .with("epoch", epoch)
            .with("jobs", jobs.len())
            .with("released", released);
        self.log(entry);
        for record in jobs {
            let key = self.add_job(record, Stage::Stored, now);
            self.restore(key);
            self.restore_finished(key, now);
        }
    }

    /// Derives the states of a job's tasks from its record.
    pub(super) fn restore(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let ended = &job.record.ended;
        let marked: Vec<u32> = job.record.marked.iter().collect();
        job.requeued = job
            .record
            .checkpoints
            .keys()
            .copied()
            .filter(|index| !job.record.marked.contains(*index) && ended.get(*index).is_none())
            .collect();
        for index in marked {
            if self.jobs[key].record.ended.get(index).is_none() {
                let task = TaskKey { job: key, index };
                self.set_phase(task, Some(Phase::Unclear));
            }
        }
        self.update_queue(key);
    }

    fn restore_finished(&mut self, key: JobKey, now: Monotonic) {
        let job = &mut self.jobs[key];
        if job.record.is_finished() {
            job.closed = true;
            self.removals.insert((now + self.params.retention_ms, key));
        }
    }

    pub(super) fn on_lost(&mut self, now: Monotonic) {
        if self.owned.is_none() {
            return;
        }
        self.log(Entry::new(Kind::ShardLost).with("shard", &self.name));
        self.answer_open_requests();
        self.forget(now);
    }

    /// Stops acting for the shard, because another process owns it.
    pub(super) fn on_superseded(&mut self, reason: &str, now: Monotonic) {
        let entry = Entry::new(Kind::ShardLost)
            .with("shard", &self.name)
            .with("reason", reason);
        self.log(entry);
        self.answer_open_requests();
        self.forget(now);
        self.actions.push(Action::Superseded);
    }

    fn answer_open_requests(&mut self) {
        let refuse = |request, error| Action::Answer {
            request,
            body: Answer::Refused(error),
        };
        for job in self.jobs.values_mut() {
            // A job that was in no batch cannot have been accepted.
            for request in job.pending.accepts.drain(..) {
                let error = unavailable("this process lost the shard");
                self.actions.push(refuse(request, error));
            }
            let inflight = job.inflight.take().unwrap_or_default();
            let unclear = inflight.accepts.into_iter().chain(inflight.answers);
            for request in unclear.chain(job.pending.answers.drain(..)) {
                let reason = "this process lost the shard".to_owned();
                self.actions
                    .push(refuse(request, SubmitError::Unclear { reason }));
            }
        }
    }

    /// Resets the state that is valid for one ownership only.
    fn forget(&mut self, now: Monotonic) {
        self.owned = None;
        self.releasing = false;
        self.jobs.clear();
        self.by_id.clear();
        self.queues.clear();
        self.delayed.clear();
        self.removals.clear();
        self.unclear.clear();
        self.making_room.clear();
        self.committer.reset();
        self.roster = Roster::default();
        for removed in std::mem::take(&mut self.runs).into_values() {
            self.placer.release(removed.worker, removed.task);
        }
        self.timers.clear();
        for (key, worker) in &mut self.workers {
            worker.reset(now);
            self.timers.insert((now, key));
            self.placer.set_state(key, worker.placer_state);
        }
        self.schedule_pass(now);
    }

    /// Marks the shard as recovered once it is, then resolves the tasks that no worker has reported.
    pub(super) fn finish_recovery(&mut self, now: Monotonic) {
        let Some(owned) = self.owned else {
            return;
        };
        if !owned.recovered {
            if !self.can_finish_recovery(owned, now) {
                return;
            }
            self.owned = Some(Ownership {
                recovered: true,
                ..owned
            });
            let entry = Entry::new(Kind::ShardRecovered)
                .with("shard", &self.name)
                .with("unclear", self.unclear.len());
            self.log(entry);
            self.committer.queue_roster();
        }
        if !self.unclear.is_empty() {
            self.resolve_unclear(now);
        }
    }

    /// Whether every worker has answered, or all leases of earlier owners have lapsed.
    fn can_finish_recovery(&self, owned: Ownership, now: Monotonic) -> bool {
        let outage_ms = if owned.released {
            0
        } else {
            self.params.outage_ms
        };
        let lapsed = owned.since
            + outage_ms
            + self.params.call_ttl_ms()
            + self.params.task_lease_ms
            + self.params.lease_margin_ms();
        if now >= lapsed {
            return true;
        }
        // An older list may lack a worker that an earlier owner used.
        let listed = owned.since + self.params.list_lag_ms();
        self.listed.is_some_and(|read| read >= listed)
            && self.knows_roster()
            && self.workers.values().all(|worker| worker.answered)
    }

    fn resolve_unclear(&mut self, now: Monotonic) {
        let known = |task: &TaskKey| self.jobs[task.job].profile.is_some();
        let tasks: Vec<TaskKey> = self.unclear.iter().copied().filter(known).collect();
        for task in tasks {
            let job = &self.jobs[task.job];
            if !job.is_idempotent() {
                self.set_phase(task, None);
                self.end_task(task, TaskOutcome::Unknown);
            } else if job.record.cancelled {
                self.set_phase(task, None);
                self.end_task(task, TaskOutcome::Cancelled);
            } else {
                self.set_phase(task, Some(Phase::Ready));
            }
            self.schedule_pass(now);
        }
    }

    pub(super) fn on_release(&mut self) {
        if self.owned.is_none() {
            return;
        }
        self.releasing = true;
        self.unmark_ready();
    }

    /// While releasing, removes the marks of all tasks that were not started.
    pub(super) fn unmark_ready(&mut self) {
        if !self.releasing || !self.queues.has_ready() {
            return;
        }
        let ready: Vec<TaskKey> = self
            .jobs
            .iter()
            .flat_map(|(key, job)| job.ready.iter().map(move |index| (key, *index)))
            .map(|(job, index)| TaskKey { job, index })
            .collect();
        for task in ready {
            self.unmark(task);
            self.queue_write(task.job, true);
        }
    }

    /// Removes the mark of a task that was not started.
    pub(super) fn unmark(&mut self, task: TaskKey) {
        self.set_phase(task, None);
        let job = &mut self.jobs[task.job];
        job.record.marked.remove(task.index);
        job.requeued.insert(task.index);
        self.update_queue(task.job);
    }
}
