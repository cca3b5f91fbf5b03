//! Polls of workers: a poll extends a worker's leases, acknowledges ended runs, and
//! reads which runs are in progress or have ended.

use super::report::{CallFailure, EndCause, Evidence, Order, Poll, Report, RunningEntry};
use super::worker::{ClockReading, LATE_START_MS, Run, Session, UnackedEnd, WorkerKey};
use super::{Dispatcher, JobId, Phase, RunKey, TaskId, health};
use crate::collections::HashSet;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

/// How long a worker may delay its answer until a run ends, in milliseconds. Short
/// enough that several readings of the tail latency arrive within the time for which a
/// standing task may exceed its latency target.
const POLL_WAIT_MS: Millis = 700;

/// Pause before a worker without runs is polled again, in milliseconds.
const IDLE_PAUSE_MS: Millis = 900;

/// Pause between two polls, which lets run ends accumulate, in milliseconds.
const POLL_PAUSE_MS: Millis = 25;

/// How long a poll is delayed for run ends that the store does not hold yet, in
/// milliseconds. While a worker lists an unacknowledged end, it answers polls at once,
/// usually with nothing new. A commit takes a tenth of this time; the limit keeps polls
/// going during an outage of the store.
const COMMIT_WAIT_MS: Millis = 300;

/// Pause after a failed poll, in milliseconds.
const FAILED_PAUSE_MS: Millis = 150;

/// Pause after a failed poll of a worker that has no runs and is not listed, in milliseconds. It is
/// asked only whether it has crashed.
const VANISHED_PAUSE_MS: Millis = 1_000;

/// Rest of a lease from which it is extended although the worker may have restarted, in
/// milliseconds: orders that fail all the time must not let the runs of a worker lapse that answers
/// polls.
const LEASE_RESERVE_MS: Millis = 2_000;

/// Maximum number of ended runs that a worker lists at once, as defined by the worker API.
const MAX_LISTED_ENDS: usize = 500;

/// Progress that a standing task (one that runs until its job is cancelled) reports once
/// it serves, in percent.
pub(super) const SERVING_PERCENT: u8 = 100;

impl Dispatcher {
    /// Adds to `orders` the polls that are due.
    pub(super) fn due_polls(&mut self, now: Monotonic, orders: &mut Vec<Order>) {
        let may_act = self.may_act(now);
        let lease_ms = self.lease_ms();
        let jobs = &self.jobs;
        for (key, worker) in &mut self.workers {
            if worker.poll_sent.is_some()
                || now < worker.next_poll
                || worker.info.address.is_empty()
            {
                continue;
            }
            let mut acked = 0;
            let mut lease_end = None;
            let may_have_restarted = worker.may_have_restarted();
            if let Some(session) = &mut worker.session {
                // The end of a run of an unknown job changes no record, so there is nothing to
                // store.
                let is_stored = |end: &&UnackedEnd| {
                    jobs.get(&end.job)
                        .is_none_or(|job| job.stored_version >= end.version)
                };
                if let Some(last) = session.unacked_ends.iter().take_while(is_stored).last() {
                    session.acked = session.acked.max(last.sequence);
                }
                session
                    .unacked_ends
                    .retain(|end| end.sequence > session.acked);
                // Another incarnation would take it for its own ends, which no list has shown. It
                // is needed only until a list is without ends.
                if !may_have_restarted && session.lists_ends {
                    acked = session.acked;
                }
                if !session.unacked_ends.is_empty() && now < worker.next_poll + COMMIT_WAIT_MS {
                    continue;
                }
                // A silent worker may have received every unanswered poll. Its leases are
                // not extended, since they have to lapse before its tasks start elsewhere.
                let is_urgent = session.lease_left(now) < LEASE_RESERVE_MS;
                if may_act && worker.failed_polls == 0 && (!may_have_restarted || is_urgent) {
                    let longest_ms = if may_have_restarted {
                        self.bounds.lease_max_ms
                    } else {
                        lease_ms
                    };
                    lease_end = Some(session.give_lease(now, lease_ms, longest_ms));
                }
            }
            worker.poll_sent = Some(now);
            worker.poll_address.clone_from(&worker.info.address);
            let has_no_ends = |session: &Session| session.unacked_ends.is_empty();
            // After a silence the answer must come at once, since only the next poll extends
            // the leases again.
            let is_long_poll = !may_have_restarted
                && worker.failed_polls == 0
                && !worker.runs.is_empty()
                && worker.session.as_ref().is_some_and(has_no_ends);
            orders.push(Order::Poll(Poll {
                worker: key,
                name: worker.info.name.clone(),
                address: worker.info.address.clone(),
                lease_end,
                acked,
                wait_ms: if is_long_poll { POLL_WAIT_MS } else { 0 },
            }));
        }
    }

    /// Applies the outcome of a poll.
    pub fn on_poll_answer(
        &mut self,
        key: WorkerKey,
        result: Result<Report, CallFailure>,
        now: Monotonic,
    ) {
        let incarnation = result.as_ref().map_or(0, |report| report.incarnation);
        let earlier_ms = self.earlier_lease_ms(key, incarnation);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(sent) = worker.poll_sent.take() else {
            return;
        };
        let report = match result {
            Ok(report) => report,
            Err(failure) => return self.poll_failed(key, &failure, now),
        };
        let is_idle = worker.runs.is_empty();
        let pause = if is_idle {
            IDLE_PAUSE_MS
        } else {
            POLL_PAUSE_MS
        };
        worker.next_poll = now + pause;
        if worker.failed_polls > 1 || worker.answered_at.is_none() {
            Entry::new(Kind::WorkerAnswering)
                .with("worker", &worker.info.name)
                .emit();
        }
        if worker.is_vanished() {
            self.voters.mark_dirty();
        }
        let has_failed = worker.failed_polls > 0;
        worker.failed_polls = 0;
        worker.logged_bound = None;
        worker.answered_at = Some(sent);
        let known = worker.incarnation();
        let has_restarted = worker.is_other(report.incarnation);
        let clock = ClockReading {
            clock_ms: report.clock_ms,
            at: now,
        };
        worker.update_session(report.incarnation, clock, earlier_ms);
        // Without a failed poll its loss was not noticed.
        if has_restarted && !has_failed {
            self.note_loss(key, now);
        }
        let worker = &self.workers[key];
        if has_restarted {
            Entry::new(Kind::WorkerAnswering)
                .with("worker", &worker.info.name)
                .with("incarnation", report.incarnation)
                .with("earlier", known)
                .emit();
        }
        if has_restarted {
            self.blame_unanswered(key, &report, now);
            self.close_late_starts(key, &report, now);
        }
        self.judge_lapsed(key, report.incarnation, now);
        self.log_unread(key, &report);
        self.cached_loads.remove(key);
        self.check_takeover(now);
        self.apply_ends(key, &report, now);
        self.apply_running(key, &report, sent, now);
        if has_restarted {
            self.workers[key].has_drained = false;
        }
        self.mitigate(key, now);
    }

    /// Logs that a worker's lists have rows that cannot be read, once until all can be.
    fn log_unread(&mut self, key: WorkerKey, report: &Report) {
        let worker = &mut self.workers[key];
        let was_unread = std::mem::replace(&mut worker.lists_unread, report.unread.is_some());
        if let Some(cause) = report.unread.as_ref().filter(|_| !was_unread) {
            Entry::new(Kind::DeclarationUnreadable)
                .with("worker", &worker.info.name)
                .with("incarnation", report.incarnation)
                .with("cause", cause)
                .emit();
        }
    }

    /// Longest lease that an incarnation may have been given before its first list. One that an
    /// owner did not know of may have taken any lease for the longest that it allows.
    fn earlier_lease_ms(&self, key: WorkerKey, incarnation: u64) -> Millis {
        let longest_ms = self.bounds.lease_max_ms;
        let Some(worker) = self.workers.get(key) else {
            return longest_ms;
        };
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        let is_bounded = runs.any(|run| run.bounded && run.incarnation == incarnation);
        match (worker.is_other(incarnation), self.has_predecessor()) {
            (true, _) => longest_ms,
            (false, false) => self.bounds.lease_ms,
            (false, true) if is_bounded => self.inherited_lease_ms(),
            (false, true) => longest_ms,
        }
    }

    fn poll_failed(&mut self, key: WorkerKey, failure: &CallFailure, now: Monotonic) {
        if *failure == CallFailure::Fenced {
            self.is_fenced = true;
            return;
        }
        let worker = &mut self.workers[key];
        worker.failed_polls += 1;
        let is_idle = worker.is_vanished() && worker.runs.is_empty();
        let pause = if is_idle {
            VANISHED_PAUSE_MS
        } else {
            FAILED_PAUSE_MS
        };
        worker.next_poll = now + pause;
        if worker.failed_polls == 1 {
            Entry::new(Kind::OrderFailed)
                .with("order", "poll")
                .with("worker", &worker.info.name)
                .with_text("cause", format!("{failure:?}"))
                .with("incarnation", worker.incarnation())
                .with("answer-age-ms", worker.answered_at.map(|at| now.since(at)))
                .emit();
        }
        worker.failed_at = Some(now);
        if worker.is_vanished() {
            self.voters.mark_dirty();
        }
        // When a worker that never answered was lost is not known.
        let is_lost = worker.failed_polls == 1 && worker.answered_at.is_some();
        if worker.failed_polls == 2 {
            Entry::new(Kind::WorkerUnreachable)
                .with("worker", &worker.info.name)
                .with_text("cause", format!("{failure:?}"))
                .emit();
        }
        if is_lost {
            self.note_loss(key, now);
        }
        if *failure == CallFailure::OtherLife {
            let worker = &mut self.workers[key];
            health::order_refused(worker, now);
            self.end_replaced(key, now);
        }
    }

    /// Ends the runs of an incarnation at whose address another worker has answered.
    fn end_replaced(&mut self, key: WorkerKey, now: Monotonic) {
        let worker = &self.workers[key];
        let is_replaced = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.incarnation != 0 && *run.home == *worker.poll_address
        };
        let gone: Vec<RunKey> = worker.runs.iter().filter(is_replaced).copied().collect();
        let address = worker.poll_address.clone();
        for run in gone {
            self.end_run(run, EndCause::Lapsed, Evidence::Replaced, "", now);
        }
        self.blame_replaced(key, &address, now);
    }

    fn apply_ends(&mut self, key: WorkerKey, report: &Report, now: Monotonic) {
        if let Some(session) = &mut self.workers[key].session {
            session.lists_ends = !report.ended.is_empty();
        }
        for end in &report.ended {
            let Some(session) = &mut self.workers[key].session else {
                return;
            };
            if end.sequence <= session.last_end {
                continue;
            }
            session.last_end = end.sequence;
            let run = self.find_run(key, end.task, end.run);
            if let Some(run) = run {
                self.end_run(run, end.cause, Evidence::Listed, &end.checkpoint, now);
            }
            let version = self.jobs.get(&end.task.job).map_or(0, |job| job.version);
            if let Some(session) = &mut self.workers[key].session {
                session.unacked_ends.push(UnackedEnd {
                    sequence: end.sequence,
                    job: end.task.job,
                    version,
                });
            }
        }
    }

    /// Applies the list of runs in progress. A run that should be listed and is not has ended.
    fn apply_running(&mut self, key: WorkerKey, report: &Report, sent: Monotonic, now: Monotonic) {
        let mut seen = Vec::with_capacity(report.running.len());
        for entry in &report.running {
            match self.find_run(key, entry.task, entry.run) {
                Some(run) => {
                    self.apply_progress(run, entry, now);
                    seen.push(run);
                }
                None => seen.push(self.stop_unassigned(key, entry, now)),
            }
        }
        // A full list may omit ends, and a row may be unread, so an unlisted run need not be gone.
        if report.ended.len() >= MAX_LISTED_ENDS || report.unread.is_some() {
            return;
        }
        let missing = |run: &&RunKey| {
            let state = &self.runs[**run];
            let should_be_listed =
                state.inherited || state.confirmed_at.is_some_and(|at| at < sent);
            should_be_listed && !seen.contains(run)
        };
        let runs = &self.workers[key].runs;
        let gone: Vec<RunKey> = runs.iter().filter(missing).copied().collect();
        // How they ended is not known; neither cause counts as a failure.
        for run in gone {
            let meant_for = self.runs[run].incarnation;
            let is_other = meant_for != 0 && report.incarnation != 0;
            let (cause, evidence) = if is_other && meant_for != report.incarnation {
                (EndCause::Lapsed, Evidence::Restart)
            } else {
                (EndCause::Stopped, Evidence::Missing)
            };
            self.end_run(run, cause, evidence, "", now);
        }
    }

    fn apply_progress(&mut self, key: RunKey, entry: &RunningEntry, now: Monotonic) {
        self.check_bounded(key, now);
        let run = &mut self.runs[key];
        run.inherited = false;
        run.seen_at = now;
        run.phase = Phase::Live;
        run.confirmed_at.get_or_insert(now);
        if entry.progress_percent != run.progress {
            run.progress = entry.progress_percent;
            run.progressed_at = now;
        }
        // Tail latency for standing tasks only; others, which have no target, report CPU in use.
        run.tail_ms = entry.measurement;
        let id = run.task.job;
        self.judge_listed(key);
        if !entry.checkpoint.is_empty()
            && let Some(task) = self.task_mut(entry.task)
        {
            task.checkpoint.clone_from(&entry.checkpoint);
        }
        self.mark_started(id);
    }

    /// Records for a listed run which incarnation it is on, and whether its leases are bounded. The
    /// store is told of standing tasks, once all of their job are bounded: their successor must
    /// not wait for longer leases than there are.
    fn check_bounded(&mut self, key: RunKey, now: Monotonic) {
        let lease_ms = self.lease_ms();
        let has_settled = now.since(self.began_at) >= LATE_START_MS;
        let run = &mut self.runs[key];
        let worker = &self.workers[run.worker];
        let is_moved = run.incarnation != worker.incarnation();
        run.incarnation = worker.incarnation();
        run.home = worker.home();
        let was_bounded = std::mem::take(&mut run.bounded);
        let session = worker.session.as_ref();
        // A start without an answer, also one of an earlier owner, may still be carried out by a
        // later incarnation.
        let may_start_late = run.unanswered || (run.recorded_in == 0 && !has_settled);
        let is_known = was_bounded && !is_moved;
        run.bounded = is_known
            || (!may_start_late && session.is_some_and(|session| session.is_bounded(lease_ms)));
        let (is_newly, id) = (!was_bounded && run.bounded, run.task.job);
        let is_settled = is_newly && run.standing && self.all_runs(id, |run| run.bounded);
        if is_settled || (was_bounded && is_moved) {
            self.mark_dirty(id);
        }
    }

    /// Whether all runs of a job are of a kind.
    pub(super) fn all_runs(&self, id: JobId, is_so: impl Fn(&Run) -> bool) -> bool {
        let runs = self.jobs.get(&id).map(|job| job.runs());
        let mut runs = runs.into_iter().flatten();
        runs.all(|run| self.runs.get(run).is_some_and(&is_so))
    }

    /// Orders a new incarnation to stop the runs of earlier ones of which a start was not
    /// answered: it may carry out that start later, and refuses it after the stop.
    fn close_late_starts(&mut self, key: WorkerKey, report: &Report, now: Monotonic) {
        let running = report.running.iter().map(|entry| (entry.task, entry.run));
        let ended = report.ended.iter().map(|entry| (entry.task, entry.run));
        let listed: HashSet<(TaskId, u32)> = running.chain(ended).collect();
        let runs: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for run in runs {
            let state = &mut self.runs[run];
            let is_confirmed = state.confirmed_at.is_some();
            if !state.unanswered || !is_confirmed || listed.contains(&(state.task, state.number)) {
                continue;
            }
            state.confirmed_at = None;
            state.stopped_at = None;
            state.retry_at = now;
            self.stop_run(run);
        }
        for late in self.workers[key].take_late_starts(now) {
            if listed.contains(&(late.task, late.run)) {
                continue;
            }
            let run = self.add_unassigned(late.task, late.run, key, now);
            self.runs[run].unanswered = true;
        }
    }

    /// Adds a run without an assignment and marks it to be stopped. It may be at work until its end
    /// is known, so it counts as a run of its task: the task does not start elsewhere meanwhile, and
    /// a successor learns of it.
    fn add_unassigned(
        &mut self,
        task: TaskId,
        number: u32,
        key: WorkerKey,
        now: Monotonic,
    ) -> RunKey {
        let run = self.insert_run(task, number, key, now);
        self.runs[run].phase = Phase::Live;
        self.stop_run(run);
        if let Some(state) = self.task_mut(task) {
            state.runs.push(run);
            self.mark_dirty(task.job);
        }
        run
    }

    /// Adds a run that is listed but not assigned, and marks it to be stopped.
    fn stop_unassigned(&mut self, key: WorkerKey, entry: &RunningEntry, now: Monotonic) -> RunKey {
        Entry::new(Kind::Evicted)
            .with_text("task", entry.task)
            .with("run", entry.run)
            .with("worker", &self.workers[key].info.name)
            .with("cause", "not assigned")
            .with("incarnation", self.workers[key].incarnation())
            .emit();
        self.unassigned += 1;
        self.add_unassigned(entry.task, entry.run, key, now)
    }

    /// Finds the run `number` of `task` on a worker.
    fn find_run(&self, key: WorkerKey, task: TaskId, number: u32) -> Option<RunKey> {
        let runs = &self.workers.get(key)?.runs;
        let is_match = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.task == task && run.number == number
        };
        runs.iter().find(is_match).copied()
    }
}
