//! Ends of runs and answers to orders.

use super::report::{CallFailure, EndCause};
use super::table::Task;
use super::worker::{Run, WorkerInfo, WorkerKey};
use super::{
    Dispatcher, Entry, JobId, JobState, Kind, Millis, Monotonic, Phase, RunKey, StepSpec, TaskId,
    Worker, health, place,
};

/// Pause before an order without an answer is repeated, in milliseconds.
const REPEAT_MS: Millis = 60;

/// Pause before an order is repeated that a worker cannot carry out now, in milliseconds.
const UNWILLING_MS: Millis = 250;

impl Dispatcher {
    /// Takes in an entry of the registry.
    pub fn list_worker(&mut self, info: WorkerInfo, now: Monotonic) {
        let Some(&key) = self.names.get(&info.name) else {
            let name = info.name.clone();
            let key = self.workers.insert(Worker::new(info));
            self.names.insert(name, key);
            return;
        };
        self.unlisted.remove(&key);
        let worker = &mut self.workers[key];
        worker.listed = true;
        if info.draining && !worker.info.draining {
            Entry::new(Kind::UpstreamLeaving)
                .with("worker", &info.name)
                .with("remaining-ms", info.remaining_ms)
                .emit();
        }
        if worker.info.address != info.address {
            worker.next_look = now;
        }
        let born = worker.info.born;
        worker.info = info;
        // The life that answers the looks counts, not the one in the registry.
        if born != 0 && worker.clock.is_some() {
            worker.info.born = born;
        }
        if self.workers[key].info.draining {
            self.leave(key);
        }
    }

    /// Moves standing tasks off a worker that is about to leave.
    fn leave(&mut self, key: WorkerKey) {
        let runs: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for run in runs {
            let task = self.runs[run].task;
            if self.spec_of(task).is_some_and(|spec| spec.standing) {
                self.stop_run(run);
            }
        }
    }

    /// Takes in that an entry of the registry is gone.
    pub fn unlist_worker(&mut self, name: &str, now: Monotonic) {
        let Some(&key) = self.names.get(name) else {
            return;
        };
        let worker = &mut self.workers[key];
        worker.listed = false;
        self.unlisted.insert(key, now);
        Entry::new(Kind::WorkerUnreachable)
            .with("worker", name)
            .with("cause", "not in the registry")
            .emit();
    }

    /// Takes in the answer to a start.
    pub fn started(&mut self, key: RunKey, result: Result<Millis, CallFailure>, now: Monotonic) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.busy = false;
        let (worker, tries, id) = (run.worker, run.tries, run.task.job);
        match result {
            Ok(clock_ms) => {
                run.phase = Phase::Live;
                run.confirmed = Some(now);
                run.moved_at = now;
                run.pace = 100;
                self.loads.remove(worker);
                self.workers[worker].read_clock(clock_ms, now);
                self.mark_started(id);
            }
            Err(CallFailure::Fenced) => self.is_fenced = true,
            Err(CallFailure::Late) => {
                run.retry_at = now + REPEAT_MS;
                self.workers[worker].next_look = now;
            }
            Err(CallFailure::Unanswered(cause)) => {
                run.retry_at = now + REPEAT_MS;
                log::debug!("start of {} not answered: {cause}", run.task);
            }
            Err(failure) => {
                Entry::new(Kind::TaskRequeued)
                    .with_text("task", run.task)
                    .with("run", run.number)
                    .with("worker", &self.workers[worker].info.name)
                    .with_text("cause", format!("{failure:?}"))
                    .emit();
                run.retry_at = now + UNWILLING_MS;
                // An earlier try without an answer may still be carried out.
                self.stop_run(key);
                let is_clear = tries == 1;
                self.shun(worker, now);
                if is_clear {
                    self.end(key, EndCause::Stopped, "", now);
                }
            }
        }
    }

    /// Takes in the answer to a stop.
    pub fn stopped(&mut self, key: RunKey, result: Result<Millis, CallFailure>, now: Monotonic) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.busy = false;
        match result {
            Ok(_) => {
                run.stopped = Some(now);
                run.confirmed.get_or_insert(now);
                let worker = run.worker;
                self.workers[worker].next_look = now;
            }
            Err(CallFailure::Fenced) => self.is_fenced = true,
            Err(failure) => {
                run.retry_at = now + UNWILLING_MS;
                log::debug!("stop of {}: {failure:?}", run.task);
            }
        }
    }

    /// Takes in the answer to a change of pace.
    pub fn paced(
        &mut self,
        key: RunKey,
        percent: u8,
        result: Result<Millis, CallFailure>,
        now: Monotonic,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.busy = false;
        match result {
            Ok(_) => {
                run.pace = percent;
                run.moved_at = now;
            }
            Err(CallFailure::Fenced) => self.is_fenced = true,
            Err(failure) => {
                run.retry_at = now + REPEAT_MS;
                log::debug!("pace of {}: {failure:?}", run.task);
            }
        }
    }

    /// Accounts for a run on a worker.
    pub(super) fn insert_run(
        &mut self,
        task: TaskId,
        number: u32,
        worker: WorkerKey,
        now: Monotonic,
    ) -> RunKey {
        // A run that nothing is known of takes nothing.
        let spec = self.spec_of(task).cloned().unwrap_or_default();
        let amount = place::committed(&spec);
        let filling = if spec.filler {
            spec.amount.cpu_milli
        } else {
            0
        };
        let image = self.presses.image(&spec.image);
        let key = self.runs.insert(Run {
            task,
            image,
            number,
            worker,
            amount,
            filling,
            standing: spec.standing,
            target_ms: spec.target_ms,
            phase: Phase::Recording,
            recorded_in: 0,
            confirmed: None,
            inherited: false,
            stop: false,
            stopped: None,
            busy: false,
            retry_at: now,
            tries: 0,
            started: now,
            resumed: false,
            percent: 0,
            seen_at: now,
            moved_at: now,
            pace: 100,
            wanted_pace: 100,
            tail_ms: 0,
        });
        self.loads.remove(worker);
        let state = &mut self.workers[worker];
        state.committed.add(amount);
        state.filling += filling;
        if state.runs.is_empty() {
            state.next_look = state.next_look.min(now);
        }
        state.runs.insert(key);
        key
    }

    /// Has a run stopped by its worker.
    pub(super) fn stop_run(&mut self, key: RunKey) {
        self.runs[key].stop = true;
        self.due.insert(key);
    }

    /// Ends a run: frees its room and decides on its task.
    pub(super) fn end(&mut self, key: RunKey, cause: EndCause, checkpoint: &str, now: Monotonic) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.has_news = true;
        self.loads.remove(run.worker);
        let worker = &mut self.workers[run.worker];
        worker.runs.remove(&key);
        worker.committed.remove(run.amount);
        worker.filling = worker.filling.saturating_sub(run.filling);
        if run.filling > 0 {
            worker.relief.changed = Some(now);
        }
        let name = worker.info.name.clone();
        if cause == EndCause::Done {
            health::done(worker);
        }
        let is_sick = cause == EndCause::Failed && health::failed(worker, run.task.job, now);
        if is_sick {
            Entry::new(Kind::WorkerQuarantined)
                .with("worker", &name)
                .emit();
        }
        Entry::new(Kind::TaskEnded)
            .with_text("task", run.task)
            .with("run", run.number)
            .with("worker", name)
            .with("cause", cause)
            .emit();
        self.settle(&run, key, cause, checkpoint, now);
    }

    /// Applies the end of a run to its task and job.
    fn settle(
        &mut self,
        run: &Run,
        key: RunKey,
        cause: EndCause,
        checkpoint: &str,
        now: Monotonic,
    ) {
        let id = run.task.job;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let attempts = self.terms(job).attempts;
        let spec = job.step_spec(run.task.step);
        let is_standing = spec.is_some_and(|spec| spec.standing);
        let Some(task) = self.task_mut(run.task) else {
            self.close(id);
            return;
        };
        task.runs.retain(|other| *other != key);
        if !checkpoint.is_empty() {
            checkpoint.clone_into(&mut task.checkpoint);
        }
        let was_done = task.done;
        match cause {
            EndCause::Done if !is_standing => task.done = true,
            EndCause::Failed => {
                task.failed += 1;
                task.avoid = Some(run.worker);
            }
            _ => {}
        }
        let is_new = task.done && !was_done;
        task.wants_copy = false;
        let is_lost = !is_standing && !task.done && task.failed >= attempts;
        let others = if is_new {
            task.runs.clone()
        } else {
            Vec::new()
        };
        for other in others {
            self.stop_run(other);
        }
        if is_new {
            self.step_done(run, now);
        } else if is_lost {
            self.fail(id, now);
        }
        self.pending.insert(id);
        self.touch(id);
    }

    fn step_done(&mut self, run: &Run, now: Monotonic) {
        let task = run.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(step) = job.step_mut(task.round, task.step) {
            step.left = step.left.saturating_sub(1);
            if !run.resumed && run.wanted_pace == 100 {
                step.durations.push(now.since(run.started));
            }
        }
        let is_done = job.begun == job.times() && job.rounds.iter().all(super::Round::is_done);
        if is_done && !job.state.is_final() {
            job.state = JobState::Completed;
        }
    }

    fn fail(&mut self, id: JobId, now: Monotonic) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.state.is_final()) else {
            return;
        };
        job.state = JobState::Failed;
        self.stop_all(id, now);
    }

    /// Stops everything of a job.
    pub(super) fn stop_all(&mut self, id: JobId, now: Monotonic) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let keys: Vec<RunKey> = job.runs().collect();
        for key in keys {
            self.stop_run(key);
            let run = &mut self.runs[key];
            run.retry_at = now;
            // What was never ordered has nothing to stop.
            let is_ordered = run.phase == Phase::Live || run.tries > 0;
            if !is_ordered {
                self.end(key, EndCause::Stopped, "", now);
            }
        }
    }

    /// Notes that some task of a job has started.
    pub(super) fn mark_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.has_started = true;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            job.shown = JobState::Running;
        }
    }

    /// Declaration of the step that a task belongs to.
    pub(super) fn spec_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.step_spec(task.step)
    }

    /// Task, if its job is in progress.
    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.jobs
            .get_mut(&task.job)?
            .task_mut(task.round, task.step, task.index)
    }
}
