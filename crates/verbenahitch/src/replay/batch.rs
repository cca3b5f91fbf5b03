//! Batch tasks of a replay: queueing, starting, running, evicting.

use std::sync::Arc;
use std::time::Instant;

use super::driver::{Driver, TICK_MS};
use super::fleet::{Run, State};
use crate::domain::{JobKey, Millis, Monotonic, Resources, TaskKey, WorkerKey};
use crate::interference::Mitigation;
use crate::placement::{Choice, OfferResult, PlacementRequest, Reason, Resident, WorkerState};

const CHECKPOINT_MS: Millis = 30_000;
const LEASE_MS: Millis = 10_000;
const FAILURE_DELAY_MS: Millis = 1_000;
const QUARANTINE_FAILURES: u32 = 3;
const QUARANTINE_MS: Millis = 60_000;
/// Work that an evicted task repeats when it resumes, in milliseconds.
const RESUME_LOSS_MS: f64 = 2_000.0;

/// A task that was placed on a worker.
struct Start {
    request: PlacementRequest,
    worker: WorkerKey,
    committed: Resources,
}

impl Driver<'_> {
    pub(super) fn request(&self, task: TaskKey, since: Monotonic) -> PlacementRequest {
        let job = &self.jobs[task.job];
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        let avoid = job.tasks[index].avoid.map(|at| &self.workers[at]);
        PlacementRequest {
            task,
            name: Arc::clone(&job.profile_name),
            profile: Arc::clone(&job.profile),
            avoid: avoid
                .filter(|worker| worker.cell == job.cell)
                .map(|worker| worker.key),
            waited_ms: self.now.since(since),
        }
    }

    pub(super) fn never_fits(&mut self, key: JobKey) -> bool {
        let request = self.request(TaskKey { job: key, index: 0 }, self.now);
        let cell = &self.cells[self.jobs[key].cell];
        let choice =
            cell.chooser
                .choose(&cell.placer, &request, request.profile.resources, self.now);
        matches!(choice, Choice::Infeasible(_))
    }

    pub(super) fn enqueue(&mut self, task: TaskKey, since: Monotonic) {
        let request = self.request(task, since);
        let job = &mut self.jobs[task.job];
        job.task(task.index).state = State::Waiting(since);
        self.cells[job.cell].queue.push(request, since);
    }

    /// Offers waiting tasks to the placers.
    pub(super) fn place(&mut self) {
        let now = self.now;
        for at in 0..self.cells.len() {
            let cell = &mut self.cells[at];
            if !cell.in_service {
                continue;
            }
            let (chooser, tally) = (&cell.chooser, &mut self.tally);
            let mut starts = Vec::new();
            let mut evictions = Vec::new();
            cell.queue
                .offer_all(&mut cell.placer, now, |placer, request| {
                    let need = chooser.need(placer, &request);
                    let started = Instant::now();
                    let choice = chooser.choose(placer, &request, need, now);
                    tally.decision_time += started.elapsed();
                    tally.decisions += 1;
                    match choice {
                        Choice::Place { worker, .. } => {
                            let start = Start {
                                request,
                                worker,
                                committed: need,
                            };
                            let resident = start.resident(now, self.next_run + 1);
                            let placed = placer.commit(worker, resident).is_ok();
                            if placed {
                                self.next_run += 1;
                                starts.push((self.next_run, start));
                                OfferResult::Placed
                            } else {
                                OfferResult::Declined
                            }
                        }
                        Choice::Evict { worker, evicted } => {
                            placer.record_evictions(&request, worker, &evicted, now);
                            evictions.extend(evicted);
                            OfferResult::Reserved
                        }
                        Choice::Wait(Reason::Promised) => OfferResult::Reserved,
                        Choice::Wait(_) | Choice::Infeasible(_) => OfferResult::Declined,
                    }
                });
            for (run, start) in starts {
                self.start(at, run, start);
            }
            for task in evictions {
                self.evict_task(task);
            }
        }
    }

    fn start(&mut self, cell: usize, id: u64, start: Start) {
        let mut workers = self.workers.iter();
        let is_chosen =
            |worker: &super::fleet::Worker| worker.cell == cell && worker.key == start.worker;
        let Some(worker) = workers.position(is_chosen) else {
            return;
        };
        let task = start.request.task;
        let job = &mut self.jobs[task.job];
        let entry = job.task(task.index);
        if let State::Waiting(since) = entry.state
            && start.request.profile.urgent
        {
            let waited = self.now.since(since);
            self.tally.urgent_wait_ms = self.tally.urgent_wait_ms.max(waited);
        }
        entry.state = State::Running(id);
        let run = Run {
            task,
            worker,
            profile_name: start.request.name,
            profile: start.request.profile,
            committed: start.committed,
            cpu_share: 1.0,
            progress: entry.checkpoint,
            checkpoint: entry.checkpoint,
            checkpoint_due: self.now + CHECKPOINT_MS,
            since: self.now,
            eviction_due: None,
        };
        self.workers[worker].runs.push(id);
        self.runs.insert(id, run);
    }

    /// Advances all runs by one tick.
    pub(super) fn advance_runs(&mut self) {
        let ids: Vec<u64> = self.runs.keys().copied().collect();
        for id in ids {
            let run = self.runs.get_mut(&id).expect("only this loop removes runs");
            if self.workers[run.worker].bad {
                if self.now.since(run.since) >= FAILURE_DELAY_MS {
                    self.fail(id);
                }
                continue;
            }
            let rate = self.model.rate(
                &run.profile_name,
                &run.profile,
                run.committed,
                run.cpu_share,
            );
            let work = self.jobs[run.task.job].work_ms() as f64;
            let done = (rate * TICK_MS as f64).min(work - run.progress);
            run.progress += done;
            self.tally.work_ms += done;
            if self.now >= run.checkpoint_due {
                run.checkpoint = run.progress;
                run.checkpoint_due = self.now + CHECKPOINT_MS;
            }
            if run.progress >= work {
                self.finish(id);
            } else if run
                .eviction_due
                .is_some_and(|eviction_due| eviction_due <= self.now)
            {
                self.stop(id);
            }
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(run) = self.remove_run(id) else {
            return;
        };
        self.succeed(run.worker);
        let job = &mut self.jobs[run.task.job];
        job.task(run.task.index).state = State::Ended;
        let batch = self.tally.batch(&job.profile_name);
        batch.finished += 1;
        batch.timely += u64::from(job.is_timely(self.now));
    }

    /// Ends an evicted run; its task resumes from the checkpoint written on eviction.
    fn stop(&mut self, id: u64) {
        let Some(run) = self.remove_run(id) else {
            return;
        };
        let resumed = (run.progress - RESUME_LOSS_MS).max(0.0);
        self.discard_work(run.progress - resumed);
        self.resume(run.task, resumed, self.now);
    }

    fn fail(&mut self, id: u64) {
        let Some(run) = self.remove_run(id) else {
            return;
        };
        self.tally.failures += 1;
        self.discard_work(run.progress - run.checkpoint);
        self.jobs[run.task.job].task(run.task.index).avoid = Some(run.worker);
        self.resume(run.task, run.checkpoint, self.now);
        let worker = &mut self.workers[run.worker];
        worker.consecutive_failures += 1;
        if worker.consecutive_failures >= QUARANTINE_FAILURES {
            let (cell, key) = (worker.cell, worker.key);
            let cell = &mut self.cells[cell];
            cell.placer.set_state(key, WorkerState::Quarantined);
            cell.chooser.quarantined.insert(key);
            self.quarantine_ends
                .push((self.now + QUARANTINE_MS, run.worker));
        }
    }

    fn succeed(&mut self, worker: usize) {
        let worker = &mut self.workers[worker];
        if worker.consecutive_failures >= QUARANTINE_FAILURES {
            let cell = &mut self.cells[worker.cell];
            cell.placer.set_state(worker.key, WorkerState::Open);
        }
        worker.consecutive_failures = 0;
    }

    fn discard_work(&mut self, work_ms: f64) {
        self.tally.lost_ms += work_ms;
        self.tally.work_ms -= work_ms;
    }

    fn resume(&mut self, task: TaskKey, checkpoint: f64, since: Monotonic) {
        self.jobs[task.job].task(task.index).checkpoint = checkpoint;
        self.enqueue(task, since);
    }

    /// Removes a run from its worker and releases its resources.
    pub(super) fn remove_run(&mut self, id: u64) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        let worker = &mut self.workers[run.worker];
        worker.runs.retain(|other| *other != id);
        self.cells[worker.cell].placer.release(worker.key, run.task);
        Some(run)
    }

    /// Ends a run whose worker went down; its task waits until the lease has lapsed.
    pub(super) fn lose_run(&mut self, id: u64) {
        let Some(run) = self.remove_run(id) else {
            return;
        };
        self.discard_work(run.progress - run.checkpoint);
        let task = self.jobs[run.task.job].task(run.task.index);
        task.state = State::AwaitingLapse;
        task.checkpoint = run.checkpoint;
        self.leased.push((self.now + LEASE_MS, run.task));
    }

    /// Queues tasks whose lease has lapsed and reopens workers whose quarantine has ended.
    pub(super) fn release_expired(&mut self) {
        let now = self.now;
        let mut due: Vec<TaskKey> = Vec::new();
        self.leased.retain(|(at, task)| {
            let lapsed = *at <= now;
            due.extend(lapsed.then_some(*task));
            !lapsed
        });
        for task in due {
            self.enqueue(task, now);
        }
        for (_, at) in self
            .quarantine_ends
            .extract_if(.., |(until, _)| *until <= now)
        {
            let worker = &self.workers[at];
            self.cells[worker.cell]
                .chooser
                .quarantined
                .remove(&worker.key);
        }
    }

    pub(super) fn apply_actions(&mut self) {
        for at in 0..self.cells.len() {
            for action in self.cells[at].interference_actions(self.now) {
                match action {
                    Mitigation::Throttle { task, share, .. } => self.throttle(task, share),
                    Mitigation::Evict { task, .. } => self.evict_task(task),
                }
            }
        }
    }

    fn throttle(&mut self, task: TaskKey, share: f64) {
        let State::Running(id) = self.jobs[task.job].task(task.index).state else {
            return;
        };
        if let Some(run) = self.runs.get_mut(&id) {
            run.cpu_share = share;
            self.tally.throttles += 1;
        }
    }

    fn evict_task(&mut self, task: TaskKey) {
        if let State::Running(id) = self.jobs[task.job].task(task.index).state {
            self.evict(id);
        }
    }

    pub(super) fn evict(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.eviction_due.is_none() {
            run.eviction_due = Some(self.now + run.profile.eviction.grace_ms);
            self.tally.evictions += 1;
        }
    }

    /// Includes urgent tasks that are still queued at the end in the longest wait.
    pub(super) fn record_waiting_urgent(&mut self) {
        let urgent = self.jobs.values().filter(|job| job.profile.urgent);
        let waits = urgent
            .flat_map(|job| &job.tasks)
            .filter_map(|task| match task.state {
                State::Waiting(since) => Some(self.now.since(since)),
                State::Running(_) | State::AwaitingLapse | State::Ended => None,
            });
        let longest = waits.max().unwrap_or(0);
        self.tally.urgent_wait_ms = self.tally.urgent_wait_ms.max(longest);
    }
}

impl Start {
    fn resident(&self, now: Monotonic, run: u64) -> Resident {
        Resident {
            task: self.request.task,
            run,
            name: Arc::clone(&self.request.name),
            profile: Arc::clone(&self.request.profile),
            resources: self.committed,
            since: now,
        }
    }
}
