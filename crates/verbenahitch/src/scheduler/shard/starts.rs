//! Marks tasks as startable and assigns them to workers.

use std::sync::Arc;

use super::job::Phase;
use super::{Run, Shard};
use crate::domain::{JobKey, Millis, Monotonic, Profile, TaskKey, WorkerKey};
use crate::event::{Entry, Kind};
use crate::placement::{Choice, PlacementRequest, Reason, Resident};
use crate::port::Command;

/// Largest number of tasks tried in one step, so that a step stays short.
const STARTS_PER_STEP: usize = 256;
/// Largest number of tasks marked ahead for a profile that is not idempotent: once marked, such
/// a task may end with an unknown outcome.
const NON_IDEMPOTENT_AHEAD: usize = 8;
/// Time between two passes over the queues while nothing changes, because some conditions depend
/// on time alone.
const PASS_MS: Millis = 250;

/// Time after which the wait of a queue is logged again for the same reason.
const WAITING_LOG_MS: Millis = 10_000;

/// Outcome of an attempt to start a task.
enum StartOutcome {
    Started,
    /// Room is being made for the task; the pass continues with the next task of the queue.
    Evicting,
    /// The first task of the queue waits; the pass skips the rest of the queue.
    Blocked,
}

impl Shard {
    /// Marks the first tasks of each queue, a limited number ahead of their start.
    pub(super) fn mark_ahead(&mut self, now: Monotonic) {
        if self.releasing || !self.in_service() {
            return;
        }
        let due = now >= self.marks_due;
        if due {
            self.marks_due = now + PASS_MS;
        }
        for name in self.queues.profiles_with_unmarked() {
            let budget = self.mark_budget(&name, due, now);
            while self.queues.queue(&name).marked_ahead < budget {
                let Some((_, key)) = self.queues.queue(&name).unmarked.first().copied() else {
                    break;
                };
                self.mark_next(key);
            }
        }
    }

    fn mark_budget(&mut self, name: &Arc<str>, due: bool, now: Monotonic) -> usize {
        let Some((_, key)) = self.queues.queue(name).unmarked.first().copied() else {
            return 0;
        };
        let job = &mut self.jobs[key];
        if job.is_idempotent() {
            return self.params.mark_ahead;
        }
        let Some(index) = job.next_unmarked().filter(|_| due) else {
            return 0;
        };
        if !self.may_start(now) {
            return 0;
        }
        let task = TaskKey { job: key, index };
        match self
            .request(task, now)
            .map(|request| self.placer.choose(&request, now))
        {
            Some(Choice::Place { .. }) => self.params.mark_ahead.min(NON_IDEMPOTENT_AHEAD),
            // Mark one task, so that evictions can begin when its start is tried.
            Some(Choice::Evict { .. }) => 1,
            Some(Choice::Wait(_) | Choice::Infeasible(_)) | None => 0,
        }
    }

    fn mark_next(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(index) = job.next_unmarked() else {
            return self.update_queue(key);
        };
        job.requeued.remove(&index);
        job.record.marked.insert(index);
        job.pending.marks.push(index);
        self.set_phase(TaskKey { job: key, index }, Some(Phase::Marking));
        self.queue_write(key, true);
    }

    /// Starts tasks in the order of the queues until none finds room.
    pub(super) fn start_ready(&mut self, now: Monotonic) {
        if now < self.pass_due || !self.may_start(now) {
            return;
        }
        self.pass_due = now + PASS_MS;
        let (mut blocked, mut parked) = (Vec::new(), Vec::new());
        let mut exhausted = false;
        for _ in 0..STARTS_PER_STEP {
            let Some((name, key)) = self.queues.first_ready(&blocked) else {
                exhausted = true;
                break;
            };
            let Some(index) = self.first_startable(key) else {
                self.park(key);
                parked.push(key);
                continue;
            };
            match self.try_start(TaskKey { job: key, index }, now) {
                StartOutcome::Started => self.marks_due = now,
                StartOutcome::Evicting => {}
                StartOutcome::Blocked => blocked.push(name),
            }
        }
        if !exhausted {
            self.pass_due = now;
        }
        for key in parked {
            self.update_queue(key);
        }
    }

    /// First task of a job that may be started and for which no room is being made.
    fn first_startable(&self, key: JobKey) -> Option<u32> {
        let waits = |index: &u32| {
            let task = TaskKey {
                job: key,
                index: *index,
            };
            let evicted = self.making_room.get(&task);
            evicted.is_some_and(|runs| runs.iter().any(|run| self.runs.contains_key(run)))
        };
        self.jobs[key]
            .ready
            .iter()
            .copied()
            .find(|index| !waits(index))
    }

    /// Removes a job from its queue for the rest of a pass.
    fn park(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let queue = self.queues.queue(&job.profile_name);
        queue.ready.remove(&(job.order, key));
    }

    fn request(&self, task: TaskKey, now: Monotonic) -> Option<PlacementRequest> {
        let job = self.jobs.get(task.job)?;
        Some(PlacementRequest {
            task,
            name: Arc::clone(&job.profile_name),
            profile: Arc::clone(job.profile.as_ref()?),
            avoid: job
                .attempts
                .get(&task.index)
                .and_then(|attempts| attempts.avoid),
            waited_ms: now.since(job.since),
        })
    }

    fn try_start(&mut self, task: TaskKey, now: Monotonic) -> StartOutcome {
        let Some(request) = self.request(task, now) else {
            return StartOutcome::Blocked;
        };
        match self.placer.choose(&request, now) {
            Choice::Place {
                worker,
                runner_up,
                reason,
            } => self.launch(task, &request, worker, runner_up, reason, now),
            Choice::Evict { worker, evicted } => {
                self.log_waiting(task, &request.name, "waits for evictions".to_owned(), now);
                if self.make_room(&request, worker, &evicted, now) {
                    return StartOutcome::Evicting;
                }
                StartOutcome::Blocked
            }
            Choice::Wait(reason) => {
                self.log_waiting(task, &request.name, format!("{reason:?}"), now);
                StartOutcome::Blocked
            }
            Choice::Infeasible(reason) => {
                self.log_waiting(task, &request.name, reason, now);
                StartOutcome::Blocked
            }
        }
    }

    fn log_waiting(&mut self, task: TaskKey, name: &Arc<str>, reason: String, now: Monotonic) {
        let queue = self.queues.queue(name);
        let logged = queue
            .last_wait
            .as_ref()
            .is_some_and(|(last, at)| *last == reason && now.since(*at) < WAITING_LOG_MS);
        if logged {
            return;
        }
        queue.last_wait = Some((reason.clone(), now));
        let entry = Entry::new(Kind::Waiting)
            .with_text("task", self.jobs[task.job].task_id(task.index))
            .with("profile", &**name)
            .with("reason", reason);
        self.log(entry);
    }

    fn launch(
        &mut self,
        task: TaskKey,
        request: &PlacementRequest,
        worker: WorkerKey,
        runner_up: Option<WorkerKey>,
        reason: Reason,
        now: Monotonic,
    ) -> StartOutcome {
        let Some(run) = self.next_run() else {
            return StartOutcome::Blocked;
        };
        if !self.commit(worker, task, run, &request.name, &request.profile, now) {
            return StartOutcome::Blocked;
        }
        let command = self.start_command(task, run, &request.profile);
        let checkpoint_ms = self.progress_of(task);
        self.set_phase(task, Some(Phase::Running(run)));
        self.making_room.remove(&task);
        self.runs.insert(
            run,
            Run {
                task,
                worker,
                start_seq: None,
                life: 0,
                seen: false,
                accounted: true,
                evicting: false,
                checkpoint_ms,
                reason: format!("{reason:?}"),
            },
        );
        let host = &mut self.workers[worker];
        host.runs.insert(run);
        host.commands.push(command);
        self.wake(worker, now);
        let entry = Entry::new(Kind::Placed)
            .with_text("task", self.jobs[task.job].task_id(task.index))
            .with("run", run)
            .with("profile", &*request.name)
            .with("chosen", &self.workers[worker].host.name)
            .with(
                "runner-up",
                runner_up.map(|key| &self.workers[key].host.name),
            )
            .with("reason", format!("{reason:?}"))
            .with("checkpoint-ms", checkpoint_ms);
        self.log(entry);
        StartOutcome::Started
    }

    /// Next run number, unique in the shard over all epochs; `None` if the epoch has no more.
    fn next_run(&mut self) -> Option<u64> {
        let owned = self.owned.as_mut()?;
        owned.next_run = owned.next_run.checked_add(1)?;
        Some(owned.epoch << 32 | u64::from(owned.next_run))
    }

    /// Highest run number so far, over all epochs.
    pub(super) fn last_run(&self) -> u64 {
        self.owned
            .map_or(0, |owned| owned.epoch << 32 | u64::from(owned.next_run))
    }

    /// Commits a worker's resources to a run; returns whether it had room.
    pub(super) fn commit(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: u64,
        name: &Arc<str>,
        profile: &Arc<Profile>,
        now: Monotonic,
    ) -> bool {
        let resident = Resident {
            task,
            run,
            name: Arc::clone(name),
            profile: Arc::clone(profile),
            resources: profile.resources,
            since: now,
        };
        self.placer.commit(worker, resident).is_ok()
    }

    fn start_command(&self, task: TaskKey, run: u64, profile: &Profile) -> Command {
        let job = &self.jobs[task.job];
        Command::Start {
            task: job.task_id(task.index),
            run,
            profile: job.profile_name.to_string(),
            class: profile.class,
            resources: profile.resources,
            run_ms: job.record.spec.run_ms,
            checkpoint_ms: self.progress_of(task),
            share: 1.0,
            payload: job.record.spec.payload.clone(),
        }
    }

    fn progress_of(&self, task: TaskKey) -> Millis {
        self.jobs[task.job]
            .record
            .checkpoints
            .get(&task.index)
            .map_or(0, |checkpoint| checkpoint.progress_ms)
    }

    /// Withdraws a run that provably never started.
    pub(super) fn withdraw(&mut self, run: u64, now: Monotonic) {
        let Some(removed) = self.remove_run(run) else {
            return;
        };
        self.set_phase(removed.task, Some(Phase::Ready));
        self.schedule_pass(now);
        let cancelled = self.jobs[removed.task.job].record.cancelled;
        if cancelled {
            self.cancel_waiting(removed.task.job);
            self.queue_write(removed.task.job, false);
        }
    }

    /// Removes a run and releases its resources.
    pub(super) fn remove_run(&mut self, run: u64) -> Option<Run> {
        let removed = self.runs.remove(&run)?;
        self.placer.release(removed.worker, removed.task);
        if let Some(worker) = self.workers.get_mut(removed.worker) {
            worker.runs.remove(&run);
            worker.evicting -= usize::from(removed.evicting);
            worker.commands.retain(|command| run_of(command) != run);
        }
        Some(removed)
    }
}

/// Run that a command refers to.
pub(super) fn run_of(command: &Command) -> u64 {
    match command {
        Command::Start { run, .. }
        | Command::Throttle { run, .. }
        | Command::Evict { run, .. }
        | Command::Stop { run } => *run,
    }
}
