//! Evictions and throttling: to make room for urgent tasks, to reduce
//! interference, and to drain leaving workers and zones out of service.

use super::Shard;
use crate::collections::HashSet;
use crate::domain::{Class, Millis, Monotonic, TaskKey, WorkerKey};
use crate::event::{Entry, Kind};
use crate::interference::Mitigation;
use crate::placement::PlacementRequest;
use crate::port::{Command, HostState};

/// Time between two checks for interference.
const MITIGATION_MS: Millis = 500;

impl Shard {
    /// Evicts tasks of a worker to make room for another; returns whether any eviction has begun.
    pub(super) fn make_room(
        &mut self,
        request: &PlacementRequest,
        worker: WorkerKey,
        evicted: &[TaskKey],
        now: Monotonic,
    ) -> bool {
        let (mut tasks, mut runs) = (Vec::new(), HashSet::default());
        for task in evicted {
            let run = self.run_on(worker, *task);
            if let Some(run) = run.filter(|run| self.evict(*run, true, "room for urgent work", now))
            {
                tasks.push(*task);
                runs.insert(run);
            }
        }
        if runs.is_empty() {
            return false;
        }
        self.placer.record_evictions(request, worker, &tasks, now);
        self.making_room.insert(request.task, runs);
        true
    }

    fn run_on(&self, worker: WorkerKey, task: TaskKey) -> Option<u64> {
        match self.phase(task)? {
            super::Phase::Running(run) if self.runs[&run].worker == worker => Some(run),
            _ => None,
        }
    }

    /// Throttles and evicts tasks as the placer decides, to reduce interference.
    pub(super) fn mitigate(&mut self, now: Monotonic) {
        if now < self.mitigation_due {
            return;
        }
        self.mitigation_due = now + MITIGATION_MS;
        for mitigation in self.placer.mitigate(now) {
            match mitigation {
                Mitigation::Throttle {
                    worker,
                    task,
                    share,
                } => self.throttle(worker, task, share, now),
                Mitigation::Evict { worker, task } => {
                    if let Some(run) = self.run_on(worker, task) {
                        self.evict(run, true, "interference", now);
                    }
                }
            }
        }
    }

    fn throttle(&mut self, worker: WorkerKey, task: TaskKey, share: f64, now: Monotonic) {
        let Some(run) = self.run_on(worker, task) else {
            return;
        };
        self.command(worker, Command::Throttle { run, share }, now);
        let entry = Entry::new(Kind::Throttled)
            .with_text("task", self.jobs[task.job].task_id(task.index))
            .with("run", run)
            .with("worker", &self.workers[worker].host.name)
            .with("share", share);
        self.log(entry);
    }

    /// Evicts a run, which writes a checkpoint first; `counted` evictions are limited by the
    /// profile's hourly budget.
    ///
    /// Returns whether the eviction was queued for the worker.
    pub(super) fn evict(&mut self, run: u64, counted: bool, reason: &str, now: Monotonic) -> bool {
        let Some(found) = self.runs.get(&run) else {
            return false;
        };
        if found.start_seq.is_none() {
            self.withdraw(run, now);
            return false;
        }
        let (task, worker) = (found.task, found.worker);
        let job = &mut self.jobs[task.job];
        let Some(profile) = job.profile.clone() else {
            return false;
        };
        let attempts = job.attempts.entry(task.index).or_default();
        let budget = usize::try_from(profile.eviction.hourly_budget).unwrap_or(usize::MAX);
        let over_budget = counted && attempts.recent_evictions(now) >= budget;
        if found.evicting || over_budget || !profile.eviction.allowed {
            return false;
        }
        attempts.record_eviction(now);
        job.evictions += 1;
        let entry = Entry::new(Kind::Evicted)
            .with_text("task", job.task_id(task.index))
            .with("run", run)
            .with("worker", &self.workers[worker].host.name)
            .with("reason", reason)
            .with("grace-ms", profile.eviction.grace_ms);
        self.log(entry);
        self.workers[worker].evicting += 1;
        if let Some(found) = self.runs.get_mut(&run) {
            found.evicting = true;
        }
        let grace_ms = profile.eviction.grace_ms;
        self.command(worker, Command::Evict { run, grace_ms }, now);
        true
    }

    /// Evicts a run if its zone is out of service, or if it is batch work on a leaving worker.
    pub(super) fn evict_if_leaving(&mut self, run: u64, now: Monotonic) {
        let Some(found) = self.runs.get(&run).filter(|found| !found.evicting) else {
            return;
        };
        if !self.in_service() {
            self.evict(run, false, "zone out of service", now);
            return;
        }
        let leaving = self.workers[found.worker].host.state == HostState::Leaving;
        let profile = self.jobs[found.task.job].profile.as_ref();
        if leaving && profile.is_some_and(|profile| profile.class == Class::Batch) {
            self.evict(run, false, "worker is leaving", now);
        }
    }
}
