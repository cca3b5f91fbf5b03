//! Looks at workers: what they extend, and what their answers tell.

use super::report::{CallFailure, EndCause, Look, Order, Report, RunningEntry};
use super::worker::{ListedEnd, WorkerKey};
use super::{Dispatcher, Phase, RunKey, TaskId};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

/// How long a look waits for an end, in milliseconds. Short enough that tails
/// are seen several times within the time that they may be over their target.
const LOOK_WAIT_MS: Millis = 700;

/// Pause before a worker without tasks is looked at again, in milliseconds.
const IDLE_PAUSE_MS: Millis = 900;

/// Pause after a look, in which ends gather, in milliseconds.
const LOOK_PAUSE_MS: Millis = 25;

/// How long a look is put off for ends that the store does not hold yet, in
/// milliseconds: while a worker lists one, it answers at once, with nothing new as a
/// rule. A commit takes a tenth of it; it bounds what an outage of the store delays.
const COMMIT_WAIT_MS: Millis = 300;

/// Pause after a look without an answer, in milliseconds.
const FAILED_PAUSE_MS: Millis = 150;

/// Most ends that a worker lists at once. From the workers' interface.
const LISTED_ENDS: usize = 500;

/// Percent at which a standing task is at work.
pub(super) const AT_WORK: u8 = 100;

impl Dispatcher {
    /// Looks that are due.
    pub(super) fn due_looks(&mut self, now: Monotonic, orders: &mut Vec<Order>) {
        let may_act = self.may_act(now);
        let lease_ms = self.bounds.lease_ms;
        let jobs = &self.jobs;
        for (key, worker) in &mut self.workers {
            if worker.look_sent.is_some()
                || now < worker.next_look
                || worker.info.address.is_empty()
            {
                continue;
            }
            let is_stored = |end: &&ListedEnd| {
                jobs.get(&end.job)
                    .is_none_or(|job| job.written >= end.version)
            };
            if let Some(last) = worker.listed_ends.iter().take_while(is_stored).last() {
                worker.acked = worker.acked.max(last.number);
            }
            let acked = worker.acked;
            worker.listed_ends.retain(|end| end.number > acked);
            if !worker.listed_ends.is_empty() && now < worker.next_look + COMMIT_WAIT_MS {
                continue;
            }
            // A silent worker may have got each call that it did not answer: its leases
            // have to lapse before its tasks can start elsewhere.
            let lease_end = worker
                .lease_end(now, lease_ms)
                .filter(|_| may_act && worker.failed_looks == 0);
            worker.lease_end = worker.lease_end.max(lease_end.unwrap_or(0));
            worker.look_sent = Some(now);
            let is_waiting =
                !worker.runs.is_empty() && worker.clock.is_some() && worker.listed_ends.is_empty();
            orders.push(Order::Look(Look {
                worker: key,
                name: worker.info.name.clone(),
                address: worker.info.address.clone(),
                lease_end,
                acked,
                wait_ms: if is_waiting { LOOK_WAIT_MS } else { 0 },
            }));
        }
    }

    /// Takes in the outcome of a look.
    pub fn looked(&mut self, key: WorkerKey, result: Result<Report, CallFailure>, now: Monotonic) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(sent) = worker.look_sent.take() else {
            return;
        };
        let report = match result {
            Ok(report) => report,
            Err(failure) => return self.look_failed(key, &failure, now),
        };
        let is_idle = worker.runs.is_empty();
        let pause = if is_idle {
            IDLE_PAUSE_MS
        } else {
            LOOK_PAUSE_MS
        };
        worker.next_look = now + pause;
        if worker.failed_looks > 1 || worker.answered.is_none() {
            Entry::new(Kind::WorkerAnswering)
                .with("worker", &worker.info.name)
                .emit();
        }
        worker.failed_looks = 0;
        worker.answered = Some(sent);
        if report.born != 0 && worker.info.born != 0 && report.born != worker.info.born {
            self.begin_life(key, report.born, now);
        }
        self.loads.remove(key);
        let worker = &mut self.workers[key];
        if worker.info.born == 0 {
            worker.info.born = report.born;
        }
        worker.read_clock(report.clock_ms, now);
        if self.quorum_at.is_none() && self.has_quorum(now) {
            self.quorum_at = Some(now);
        }
        self.read_ends(key, &report, now);
        self.read_running(key, &report, sent, now);
        self.relieve(key, now);
    }

    fn look_failed(&mut self, key: WorkerKey, failure: &CallFailure, now: Monotonic) {
        if *failure == CallFailure::Fenced {
            self.is_fenced = true;
            return;
        }
        let worker = &mut self.workers[key];
        worker.next_look = now + FAILED_PAUSE_MS;
        worker.failed_looks += 1;
        if worker.failed_looks == 2 {
            Entry::new(Kind::WorkerUnreachable)
                .with("worker", &worker.info.name)
                .with_text("cause", format!("{failure:?}"))
                .emit();
        }
        if *failure == CallFailure::OtherLife {
            worker.clock = None;
        }
    }

    fn read_ends(&mut self, key: WorkerKey, report: &Report, now: Monotonic) {
        for end in &report.ended {
            let worker = &mut self.workers[key];
            if end.number <= worker.seen_end {
                continue;
            }
            worker.seen_end = end.number;
            let run = self.find(key, end.task, end.run);
            if let Some(run) = run {
                self.end(run, end.cause, &end.checkpoint, now);
            }
            let version = self.jobs.get(&end.task.job).map_or(0, |job| job.version);
            self.workers[key].listed_ends.push(ListedEnd {
                number: end.number,
                job: end.task.job,
                version,
            });
        }
    }

    fn read_running(&mut self, key: WorkerKey, report: &Report, sent: Monotonic, now: Monotonic) {
        let mut seen = Vec::with_capacity(report.running.len());
        for entry in &report.running {
            match self.find(key, entry.task, entry.run) {
                Some(run) => {
                    self.progress_of(run, entry, now);
                    seen.push(run);
                }
                None => seen.push(self.adopt_stray(key, entry, now)),
            }
        }
        if report.ended.len() >= LISTED_ENDS {
            return;
        }
        let missing = |run: &&RunKey| {
            let state = &self.runs[**run];
            let known = state.inherited || state.confirmed.is_some_and(|at| at < sent);
            known && !seen.contains(run)
        };
        let runs = &self.workers[key].runs;
        let gone: Vec<RunKey> = runs.iter().filter(missing).copied().collect();
        for run in gone {
            self.end(run, EndCause::Stopped, "", now);
        }
    }

    fn progress_of(&mut self, key: RunKey, entry: &RunningEntry, now: Monotonic) {
        let run = &mut self.runs[key];
        run.inherited = false;
        run.seen_at = now;
        if run.phase != Phase::Live {
            run.phase = Phase::Live;
            run.confirmed.get_or_insert(now);
        }
        if entry.percent != run.percent {
            run.percent = entry.percent;
            run.moved_at = now;
        }
        run.tail_ms = entry.figure;
        let id = run.task.job;
        if let Some(task) = self.task_mut(entry.task)
            && !entry.checkpoint.is_empty()
        {
            task.checkpoint.clone_from(&entry.checkpoint);
        }
        self.mark_started(id);
    }

    /// Accounts for a run that nothing is known of, and stops it.
    fn adopt_stray(&mut self, key: WorkerKey, entry: &RunningEntry, now: Monotonic) -> RunKey {
        Entry::new(Kind::Evicted)
            .with_text("task", entry.task)
            .with("run", entry.run)
            .with("worker", &self.workers[key].info.name)
            .with("cause", "not assigned")
            .emit();
        let run = self.insert_run(entry.task, entry.run, key, now);
        let state = &mut self.runs[run];
        state.phase = Phase::Live;
        self.stop_run(run);
        run
    }

    /// Run of a task on a worker.
    fn find(&self, key: WorkerKey, task: TaskId, number: u32) -> Option<RunKey> {
        let runs = &self.workers.get(key)?.runs;
        let is_it = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.task == task && run.number == number
        };
        runs.iter().find(is_it).copied()
    }

    /// Handles a worker that has started again under its name.
    fn begin_life(&mut self, key: WorkerKey, born: u64, now: Monotonic) {
        let worker = &mut self.workers[key];
        Entry::new(Kind::WorkerAnswering)
            .with("worker", &worker.info.name)
            .with("born", born)
            .emit();
        worker.begin_life(born);
        let runs: Vec<RunKey> = worker.runs.iter().copied().collect();
        for run in runs {
            // An order without an answer may reach the new life as well.
            let is_open = self.runs[run].phase == Phase::Starting && self.runs[run].tries > 0;
            if !is_open && self.runs[run].phase != Phase::Recording {
                self.end(run, EndCause::Lapsed, "", now);
            }
        }
    }
}
