//! What a new owner learns before it starts a task that may be running.
//!
//! Tasks without a mark start at once. A marked task waits until a worker
//! reports it, or until every worker has answered under this epoch or its leases
//! have provably lapsed; the shard is *settled* then.

use super::job::{Phase, Stage};
use super::requests::unavailable;
use super::{Ownership, Shard};
use crate::domain::{JobKey, JobRecord, Monotonic, TaskKey, TaskOutcome};
use crate::event::{Entry, Kind};
use crate::scheduler::{Action, Answer, SubmitError};

impl Shard {
    pub(super) fn on_acquired(
        &mut self,
        epoch: u64,
        jobs: Vec<JobRecord>,
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
            settled: false,
        });
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

    /// Sorts the tasks of a record that this owner has not seen before.
    pub(super) fn restore(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let ended = &job.record.ended;
        let marked: Vec<u32> = job.record.marked.iter().collect();
        job.again = job
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
        self.file(key);
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

    /// Gives the shard up because another process owns it.
    pub(super) fn stand_down(&mut self, reason: &str, now: Monotonic) {
        let entry = Entry::new(Kind::ShardLost)
            .with("shard", &self.name)
            .with("reason", reason);
        self.log(entry);
        self.answer_open_requests();
        self.forget(now);
        self.out.push(Action::StandDown);
    }

    fn answer_open_requests(&mut self) {
        let refuse = |request, error| Action::Answer {
            request,
            body: Answer::Refused(error),
        };
        for job in self.jobs.values_mut() {
            // What no batch held cannot have taken effect.
            for request in job.pending.accepts.drain(..) {
                let error = unavailable("this process lost the shard");
                self.out.push(refuse(request, error));
            }
            let inflight = job.inflight.take().unwrap_or_default();
            let unclear = inflight.accepts.into_iter().chain(inflight.answers);
            for request in unclear.chain(job.pending.answers.drain(..)) {
                let reason = "this process lost the shard".to_owned();
                self.out
                    .push(refuse(request, SubmitError::Unclear { reason }));
            }
        }
    }

    /// Forgets all that holds for one ownership only.
    fn forget(&mut self, now: Monotonic) {
        self.owned = None;
        self.releasing = false;
        self.jobs.clear();
        self.by_id.clear();
        self.lanes.clear();
        self.delayed.clear();
        self.removals.clear();
        self.unclear.clear();
        self.making_room.clear();
        self.committer.reset();
        for gone in std::mem::take(&mut self.runs).into_values() {
            self.placer.vacate(gone.worker, gone.task);
        }
        self.timers.clear();
        for (key, worker) in &mut self.workers {
            worker.reset(now);
            self.timers.insert((now, key));
            self.placer.set_state(key, worker.shown);
        }
        self.stir(now);
    }

    /// Resolves what nobody has reported, once nobody can report it any more.
    pub(super) fn settle(&mut self, now: Monotonic) {
        let Some(owned) = self.owned else {
            return;
        };
        if !owned.settled {
            if !self.is_accounted(owned, now) {
                return;
            }
            self.owned = Some(Ownership {
                settled: true,
                ..owned
            });
            let entry = Entry::new(Kind::ShardRecovered)
                .with("shard", &self.name)
                .with("unclear", self.unclear.len());
            self.log(entry);
        }
        if !self.unclear.is_empty() {
            self.resolve_unclear(now);
        }
    }

    /// Whether every worker has answered, or every lease of an earlier owner has lapsed.
    fn is_accounted(&self, owned: Ownership, now: Monotonic) -> bool {
        let outage_ms = if owned.released {
            0
        } else {
            self.params.outage_ms
        };
        let lapsed = owned.since
            + outage_ms
            + self.params.call_bound_ms()
            + self.params.task_lease_ms
            + self.params.lease_margin_ms();
        if now >= lapsed {
            return true;
        }
        self.listed
            && now >= owned.since + self.params.list_lag_ms()
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
            self.stir(now);
        }
    }

    pub(super) fn on_release(&mut self) {
        if self.owned.is_none() {
            return;
        }
        self.releasing = true;
        self.unmark_ready();
    }

    /// Takes the marks of all tasks back that were not started.
    pub(super) fn unmark_ready(&mut self) {
        if !self.releasing || !self.lanes.has_ready() {
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
            self.touch(task.job, true);
        }
    }

    /// Takes the mark of a task back that was not started.
    pub(super) fn unmark(&mut self, task: TaskKey) {
        self.set_phase(task, None);
        let job = &mut self.jobs[task.job];
        job.record.marked.remove(task.index);
        job.again.insert(task.index);
        self.file(task.job);
    }
}
