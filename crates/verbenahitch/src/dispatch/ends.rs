//! Registry changes, answers to orders, and ends of runs.

use slotmap::Key;

use super::headroom::{ImageKey, Level};
use super::job::add_amount;
use super::mitigation::PastFiller;
use super::report::{CallFailure, EndCause, Evidence, GivenUp};
use super::table::{LastEnd, Task};
use super::worker::{Listing, Run, WorkerInfo, WorkerKey};
use super::{
    Amount, Dispatcher, Entry, JobId, JobState, Kind, Millis, Monotonic, Phase, RunKey, StepSpec,
    TaskId, Worker, health, place, room,
};

/// Delay before a late or unanswered start, or a failed pace order, is sent again, in
/// milliseconds.
const RESEND_MS: Millis = 60;

/// Delay before a stop is sent after a refused start, or again after a failed stop, in
/// milliseconds.
const STOP_DELAY_MS: Millis = 250;

/// When a task was last at work, after the end of a run. A run that lapsed or was lost may have
/// ended when it was last listed; one that never began changes nothing.
fn last_end(before: LastEnd, run: &Run, cause: EndCause, now: Monotonic) -> LastEnd {
    let has_begun = run.inherited || run.confirmed_at.is_some();
    match cause {
        EndCause::Stopped if !has_begun => before,
        EndCause::Lapsed | EndCause::Crashed if run.inherited => LastEnd::Earlier,
        EndCause::Lapsed | EndCause::Crashed => LastEnd::At(run.seen_at),
        EndCause::Done
        | EndCause::Failed
        | EndCause::Stopped
        | EndCause::Broken
        | EndCause::Alone => LastEnd::At(now),
    }
}

/// Whether a worker's entry is not known to be of an earlier incarnation than its last list.
fn is_entry_present(worker: &Worker) -> bool {
    let written_by = worker.info.incarnation;
    written_by == 0 || written_by >= worker.incarnation()
}

/// Logs a change of a worker's room; one that is known by name only has none.
fn log_room(worker: &Worker, capacity: Amount) {
    let earlier = worker.info.capacity;
    if earlier == Amount::default() {
        return;
    }
    Entry::new(Kind::RoomChanged)
        .with("worker", &worker.info.name)
        .with("earlier", earlier)
        .with("room", capacity)
        .with("committed", worker.committed)
        .with("runs", worker.runs.len())
        .emit();
}

impl Dispatcher {
    /// Applies a new or changed registry entry; a worker is `listed` while it has one.
    pub fn upsert_worker(&mut self, mut info: WorkerInfo, now: Monotonic) {
        info.capacity = info.capacity.bounded();
        self.note_names(&info);
        self.forecaster.worker_listed(&info.pool, info.capacity);
        let Some(&key) = self.worker_keys.get(&info.name) else {
            let name = info.name.clone();
            let key = self.workers.insert(Worker::new(info));
            self.worker_keys.insert(name, key);
            self.voters.mark_dirty();
            return;
        };
        let worker = &mut self.workers[key];
        worker.listing = Listing::Listed;
        if info.draining && !worker.info.draining {
            Entry::new(Kind::UpstreamLeaving)
                .with("worker", &info.name)
                .with("remaining-ms", info.remaining_ms)
                .emit();
        }
        let is_moved = worker.info.address != info.address;
        let may_have_restarted = worker.info.incarnation != info.incarnation;
        if is_moved || may_have_restarted {
            worker.next_poll = now;
        }
        if is_moved {
            self.voters.mark_dirty();
        }
        let worker = &mut self.workers[key];
        if worker.info.capacity != info.capacity {
            log_room(worker, info.capacity);
            // Fillers use another share of it.
            self.cached_loads.remove(key);
            self.assign_needed = true;
        }
        worker.info = info;
        // The entry may be of an earlier incarnation, as when the registry is listed again.
        let is_present = is_entry_present(worker);
        worker.has_drained |= worker.info.draining && is_present;
        if worker.info.draining {
            self.stop_standing(key);
        }
    }

    /// Stops the standing tasks of a draining worker, so that they start elsewhere.
    fn stop_standing(&mut self, key: WorkerKey) {
        let runs: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for run in runs {
            let task = self.runs[run].task;
            if self.spec_of(task).is_some_and(|spec| spec.standing) {
                self.stop_run(run);
            }
        }
    }

    /// Workers with a registry entry.
    pub(super) fn listed_workers(&self) -> impl Iterator<Item = &Worker> {
        let workers = self.workers.values();
        workers.filter(|worker| worker.listing == Listing::Listed)
    }

    /// Applies the removal of a registry entry.
    pub fn unlist_worker(&mut self, name: &str, now: Monotonic) {
        self.set_unlisted(name, Listing::Missing(now), "not in the registry");
    }

    /// Applies a registry entry that cannot be read. The worker is polled as before, so that its
    /// runs go on, and gets no new ones.
    pub fn entry_unreadable(&mut self, name: &str) {
        self.set_unlisted(name, Listing::Unreadable, "its entry cannot be read");
    }

    fn set_unlisted(&mut self, name: &str, listing: Listing, cause: &'static str) {
        let Some(&key) = self.worker_keys.get(name) else {
            return;
        };
        let worker = &mut self.workers[key];
        let is_known = std::mem::replace(&mut worker.listing, listing) == listing;
        if is_known {
            return;
        }
        if worker.is_vanished() {
            self.voters.mark_dirty();
        }
        Entry::new(Kind::WorkerUnreachable)
            .with("worker", name)
            .with("cause", cause)
            .emit();
    }

    /// Applies the answer to a start.
    pub fn on_start_answer(
        &mut self,
        key: RunKey,
        result: Result<(), CallFailure>,
        now: Monotonic,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        let (worker, tries, id) = (run.worker, run.tries, run.task.job);
        self.workers[worker].order_answered(&result, now);
        self.log_order("start", key, &result, now);
        let run = &mut self.runs[key];
        match result {
            Ok(()) => {
                run.phase = Phase::Live;
                run.confirmed_at = Some(now);
                run.progressed_at = now;
                run.pace = 100;
                let has_target = run.target_ms > 0;
                self.cached_loads.remove(worker);
                if has_target {
                    self.mitigate(worker, now);
                }
                self.mark_started(id);
            }
            Err(CallFailure::Fenced) => self.is_fenced = true,
            Err(CallFailure::Late) => {
                // A poll extends the lease and reads the worker's clock again.
                run.retry_at = now + RESEND_MS;
                self.workers[worker].next_poll = now;
            }
            Err(CallFailure::Unanswered(_)) => {
                run.retry_at = now + RESEND_MS;
                run.unanswered_at = now;
                let is_first = !std::mem::replace(&mut run.unanswered, true);
                self.workers[worker].next_poll = now;
                // The worker may have crashed, which a successor counts under marked runs only.
                if is_first {
                    self.mark_dirty(id);
                }
            }
            Err(failure) => {
                // This start had no effect; the task is placed again.
                Entry::new(Kind::TaskRequeued)
                    .with_text("task", run.task)
                    .with("run", run.number)
                    .with("worker", &self.workers[worker].info.name)
                    .with_text("cause", format!("{failure:?}"))
                    .emit();
                run.retry_at = now + STOP_DELAY_MS;
                // Stop the run in case an earlier, unanswered start still takes effect. After a
                // first attempt there is none, so the run can end at once.
                self.stop_run(key);
                let is_first_try = tries == 1;
                self.order_refused(worker, now);
                if is_first_try {
                    self.end_run(key, EndCause::Stopped, Evidence::Refusal, "", now);
                }
            }
        }
    }

    /// Applies the answer to a stop.
    pub fn on_stop_answer(&mut self, key: RunKey, result: Result<(), CallFailure>, now: Monotonic) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        self.workers[run.worker].order_answered(&result, now);
        self.log_order("stop", key, &result, now);
        let run = &mut self.runs[key];
        match result {
            Ok(()) => {
                run.stopped_at = Some(now);
                // The answer also settles whether the start took effect.
                run.confirmed_at.get_or_insert(now);
                let worker = run.worker;
                self.workers[worker].next_poll = now;
            }
            Err(CallFailure::Fenced) => self.is_fenced = true,
            Err(_) => run.retry_at = now + STOP_DELAY_MS,
        }
    }

    /// Applies the answer to a change of pace.
    pub fn on_pace_answer(
        &mut self,
        key: RunKey,
        percent: u8,
        result: Result<(), CallFailure>,
        now: Monotonic,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        self.workers[run.worker].order_answered(&result, now);
        self.log_order("pace", key, &result, now);
        let run = &mut self.runs[key];
        match result {
            Ok(()) => {
                run.pace = percent;
                run.progressed_at = now;
            }
            Err(CallFailure::Fenced) => self.is_fenced = true,
            Err(_) => run.retry_at = now + RESEND_MS,
        }
    }

    /// Logs an order that failed, with what is known of the worker.
    fn log_order(
        &self,
        order: &'static str,
        key: RunKey,
        result: &Result<(), CallFailure>,
        now: Monotonic,
    ) {
        let Err(failure) = result else {
            return;
        };
        let run = &self.runs[key];
        let worker = &self.workers[run.worker];
        Entry::new(Kind::OrderFailed)
            .with("order", order)
            .with_text("task", run.task)
            .with("run", run.number)
            .with("worker", &worker.info.name)
            .with_text("cause", format!("{failure:?}"))
            .with("tries", run.tries)
            .with("run-incarnation", run.incarnation)
            .with("incarnation", worker.incarnation())
            .with("answer-age-ms", worker.answered_at.map(|at| now.since(at)))
            .emit();
    }

    /// Adds a run and commits its resources on its worker.
    pub(super) fn insert_run(
        &mut self,
        task: TaskId,
        number: u32,
        worker: WorkerKey,
        now: Monotonic,
    ) -> RunKey {
        // A run of an unknown step commits no resources; its worker gets no others.
        let spec = self.spec_of(task).cloned();
        let is_unsized = spec.is_none();
        let spec = spec.unwrap_or_default();
        let amount = place::committed(&spec);
        let filler_milli = if spec.filler {
            spec.amount.cpu_milli
        } else {
            0
        };
        let short_milli = if room::is_short(&spec) {
            spec.amount.cpu_milli
        } else {
            0
        };
        let image = if spec.filler || spec.target_ms > 0 {
            self.headroom.use_image(&spec.image)
        } else {
            ImageKey::null()
        };
        let claim = self.claim(task.job, &spec);
        self.accounts.hold(claim);
        let key = self.runs.insert(Run {
            task,
            image,
            number,
            worker,
            amount,
            claim,
            is_unsized,
            filler_milli,
            short_milli,
            standing: spec.standing,
            target_ms: spec.target_ms,
            phase: Phase::Recording,
            recorded_in: 0,
            confirmed_at: None,
            inherited: false,
            is_marked: false,
            stop_wanted: false,
            stopped_at: None,
            in_flight: false,
            retry_at: now,
            tries: 0,
            placed_at: now,
            unanswered: false,
            unanswered_at: Monotonic::default(),
            has_settled: false,
            is_crashed: false,
            incarnation: self.workers[worker].incarnation(),
            home: self.workers[worker].home(),
            bounded: false,
            started_at: now,
            resumed: false,
            progress: 0,
            seen_at: now,
            progressed_at: now,
            pace: 100,
            wanted_pace: 100,
            is_owed: false,
            tail_ms: 0,
            level: Level::new(now),
            level_known: false,
        });
        self.cached_loads.remove(worker);
        let state = &mut self.workers[worker];
        state.committed.add(amount);
        state.unsized_runs += u32::from(is_unsized);
        state.filler_milli = add_amount(state.filler_milli, filler_milli);
        state.short_milli = add_amount(state.short_milli, short_milli);
        if spec.standing {
            state.standing += 1;
            state.standing_milli = add_amount(state.standing_milli, amount.cpu_milli);
        }
        if state.runs.is_empty() {
            state.next_poll = state.next_poll.min(now);
        }
        state.runs.insert(key);
        key
    }

    /// Requests that the worker stop a run.
    pub(super) fn stop_run(&mut self, key: RunKey) {
        self.runs[key].stop_wanted = true;
        self.due_runs.insert(key);
    }

    /// Removes an ended run, frees its resources and updates its task and job.
    pub(super) fn end_run(
        &mut self,
        key: RunKey,
        cause: EndCause,
        evidence: Evidence,
        checkpoint: &str,
        now: Monotonic,
    ) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let cause = self.end_cause(&run, cause, evidence);
        self.assign_needed = true;
        self.accounts.release(run.claim);
        self.cached_loads.remove(run.worker);
        let worker = &mut self.workers[run.worker];
        worker.runs.remove(&key);
        worker.run_ended(&run, now);
        worker.committed.remove(run.amount);
        worker.unsized_runs -= u32::from(run.is_unsized);
        worker.filler_milli = worker.filler_milli.saturating_sub(run.filler_milli);
        worker.short_milli = worker.short_milli.saturating_sub(run.short_milli);
        if run.standing {
            worker.standing -= 1;
            worker.standing_milli = worker.standing_milli.saturating_sub(run.amount.cpu_milli);
        }
        if run.filler_milli > 0 && run.phase == Phase::Live {
            let past = PastFiller::new(&run, worker.info.capacity.cpu_milli, now);
            worker.past_fillers.push(past);
        }
        let name = worker.info.name.clone();
        let incarnation = worker.incarnation();
        let answer_age = worker.answered_at.map(|at| now.since(at));
        if cause == EndCause::Done {
            health::run_done(worker);
        }
        let is_quarantined =
            cause == EndCause::Failed && health::run_failed(worker, run.task.job, now);
        if is_quarantined {
            Entry::new(Kind::WorkerQuarantined)
                .with("worker", &name)
                .emit();
        }
        Entry::new(Kind::TaskEnded)
            .with_text("task", run.task)
            .with("run", run.number)
            .with("worker", name)
            .with("cause", cause)
            .with("evidence", evidence)
            .with("begin", run.begin())
            .with("tries", run.tries)
            .with("placed-ms", now.since(run.placed_at))
            .with("listed-ms", run.seen_at.since(run.started_at))
            .with("run-incarnation", run.incarnation)
            .with("incarnation", incarnation)
            .with("answer-age-ms", answer_age)
            .emit();
        if let Some(task) = self.task_mut(run.task) {
            task.last_end = last_end(task.last_end, &run, cause, now);
        }
        self.apply_end(&run, key, cause, checkpoint, now);
        self.judge_end(&run, cause, evidence, now);
    }

    /// Applies the end of a run to its task and job.
    fn apply_end(
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
        let attempts = self.queue_of(job).attempts;
        let spec = job.step_spec(run.task.step);
        let is_standing = spec.is_some_and(|spec| spec.standing);
        let Some(task) = self.task_mut(run.task) else {
            // A job of which only the outcome is known has no tasks.
            self.close_if_ended(id);
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
        let is_newly_done = task.done && !was_done;
        task.wants_copy = false;
        let failed = task.failed;
        // Attempts may have been lowered since the last failure.
        let has_failed = cause == EndCause::Failed && !task.done;
        let is_exhausted = has_failed && !is_standing && failed >= attempts;
        let others = if is_newly_done {
            task.runs.clone()
        } else {
            Vec::new()
        };
        for other in others {
            self.stop_run(other);
        }
        if is_newly_done {
            self.on_task_done(run, now);
        } else if is_exhausted {
            Entry::new(Kind::TaskGivenUp)
                .with_text("task", run.task)
                .with("run", run.number)
                .with("cause", GivenUp::Attempts)
                .with("failed", failed)
                .with("attempts", attempts)
                .emit();
            self.fail_job(id, now);
        }
        self.pending.insert(id);
        self.mark_dirty(id);
    }

    fn on_task_done(&mut self, run: &Run, now: Monotonic) {
        let task = run.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // Durations of resumed or throttled runs are not comparable.
        let is_comparable = !run.resumed && run.wanted_pace == 100;
        let took_ms = is_comparable.then(|| now.since(run.started_at));
        if let Some(step) = job.step_mut(task.round, task.step) {
            step.remaining = step.remaining.saturating_sub(1);
            step.durations.extend(took_ms);
        }
        if let Some(spec) = job.step_spec(task.step) {
            let queue = &job.record.queue.name;
            self.forecaster.task_done(queue, spec, took_ms);
        }
        let is_done =
            job.rounds_begun == job.times() && job.rounds.iter().all(super::Round::is_done);
        if is_done && !job.state.is_final() {
            job.state = JobState::Completed;
        }
    }

    pub(super) fn fail_job(&mut self, id: JobId, now: Monotonic) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.state.is_final()) else {
            return;
        };
        job.state = JobState::Failed;
        self.stop_job(id, now);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, id: JobId, now: Monotonic) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let keys: Vec<RunKey> = job.runs().collect();
        self.suspects.retain(|task, _| task.job != id);
        for key in keys {
            self.stop_run(key);
            let run = &mut self.runs[key];
            run.retry_at = now;
            // A run whose start was never ordered needs no stop order.
            let is_ordered = run.phase == Phase::Live || run.tries > 0;
            if !is_ordered {
                self.end_run(key, EndCause::Stopped, Evidence::NotOrdered, "", now);
            }
        }
    }

    /// Records that a task of a job has started.
    pub(super) fn mark_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.has_started = true;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            // Callers may see this state before the store holds it.
            job.visible_state = JobState::Running;
        }
    }

    /// Specification of the step that a task belongs to.
    pub(super) fn spec_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.step_spec(task.step)
    }

    /// Task, if its round has begun.
    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.jobs
            .get_mut(&task.job)?
            .task_mut(task.round, task.step, task.index)
    }
}
