//! Runs that are far slower than their peers.
//!
//! Load pattern: some workers turn slow by a factor of four and more for several
//! seconds, or stand still, while they answer every look. The tasks of a step are
//! alike, so that one which would take several times as long as its peers is on
//! such a worker. It is raced by a copy where that is allowed, else started anew
//! elsewhere if that ends sooner; the worker gets nothing new for a while.
//!
//! Inputs: progress in percent, as old as the last look.

use super::looks::AT_WORK;
use super::{Dispatcher, Entry, JobId, Kind, Millis, Monotonic, Phase, RunKey, health};

/// Time between two reviews, in milliseconds; progress is seen about as often.
const REVIEW_MS: Millis = 200;

/// Age from which the progress of a run tells its speed, in milliseconds.
const MIN_AGE_MS: Millis = 400;

/// Age of a worker's last answer up to which it is known that a run stands still, in
/// milliseconds: longer than a look waits for an end.
const HEARD_MS: Millis = 1_200;

/// Fewest peers with a known speed.
const MIN_PEERS: usize = 2;

/// Times the usual duration from which a run is slow: tasks of a step differ by a
/// third at most.
const SLOW_FACTOR: u64 = 3;

/// Cost of starting anew, in milliseconds: a stop, a record and a start.
const RESTART_MS: Millis = 500;

/// A run with the duration that its progress leads to.
struct Projection {
    key: RunKey,
    age_ms: Millis,
    total_ms: Millis,
}

impl Dispatcher {
    /// Finds slow runs, if the last review is old enough.
    pub(super) fn review(&mut self, now: Monotonic) {
        if now.since(self.reviewed) < REVIEW_MS {
            return;
        }
        self.reviewed = now;
        self.stop_hanging(now);
        let mut slow = Vec::new();
        for id in &self.open {
            self.review_job(*id, &mut slow);
        }
        for key in slow {
            self.overtake(key, now);
        }
    }

    fn review_job(&self, id: JobId, slow: &mut Vec<RunKey>) {
        let job = &self.jobs[&id];
        for round in &job.rounds {
            for (step, spec) in round.steps.iter().zip(&job.record.spec.steps) {
                // Fillers run at the pace of what is idle.
                if spec.standing || spec.gang || spec.filler {
                    continue;
                }
                let runs = step.tasks.iter().filter(|task| task.runs.len() == 1);
                let projections: Vec<Projection> =
                    runs.filter_map(|task| self.project(task.runs[0])).collect();
                if projections.is_empty() {
                    continue;
                }
                let mut totals: Vec<Millis> = step.durations.clone();
                totals.extend(projections.iter().map(|run| run.total_ms));
                if totals.len() <= MIN_PEERS {
                    continue;
                }
                totals.sort_unstable();
                let usual = totals[(totals.len() - 1) / 2];
                let is_slow = |run: &&Projection| {
                    let left = run.total_ms.saturating_sub(run.age_ms);
                    run.total_ms > usual * SLOW_FACTOR && left > usual + RESTART_MS
                };
                slow.extend(projections.iter().filter(is_slow).map(|run| run.key));
            }
        }
    }

    fn project(&self, key: RunKey) -> Option<Projection> {
        let run = &self.runs[key];
        let age_ms = run.seen_at.since(run.started);
        let is_fair = run.phase == Phase::Live && !run.stop && run.wanted_pace == 100;
        if !is_fair || run.resumed || age_ms < MIN_AGE_MS {
            return None;
        }
        Some(Projection {
            key,
            age_ms,
            total_ms: age_ms * 100 / Millis::from(run.percent.max(1)),
        })
    }

    /// Races or restarts a slow run.
    fn overtake(&mut self, key: RunKey, now: Monotonic) {
        let run = &self.runs[key];
        let (task, worker) = (run.task, run.worker);
        let is_racing = self.spec_of(task).is_some_and(|spec| spec.speculative);
        health::slow(&mut self.workers[worker], task.job, now);
        Entry::new(Kind::Evicted)
            .with_text("task", task)
            .with("worker", &self.workers[worker].info.name)
            .with("cause", if is_racing { "raced" } else { "slow" })
            .emit();
        if is_racing {
            if let Some(state) = self.task_mut(task) {
                state.avoid = Some(worker);
                state.wants_copy = true;
            }
            self.pending.insert(task.job);
        } else {
            self.restart_elsewhere(key);
        }
        self.has_news = true;
    }

    /// Stops runs that make no progress, so that they start elsewhere.
    fn stop_hanging(&mut self, now: Monotonic) {
        let hanging: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.phase == Phase::Live
                    && !run.stop
                    && run.pace >= 100
                    && now.since(run.moved_at) > health::HANG_MS
                    && self.workers[run.worker].answers(now, HEARD_MS)
            })
            .map(|(key, _)| key)
            .collect();
        for key in hanging {
            let run = &self.runs[key];
            let Some(spec) = self.spec_of(run.task) else {
                continue;
            };
            if spec.standing && run.percent == AT_WORK {
                continue;
            }
            let (task, worker) = (run.task, run.worker);
            Entry::new(Kind::Evicted)
                .with_text("task", task)
                .with("worker", &self.workers[worker].info.name)
                .with("cause", "no progress")
                .emit();
            health::hung(&mut self.workers[worker], now);
            self.restart_elsewhere(key);
        }
    }

    /// Stops a run, so that its task starts on another worker.
    pub(super) fn restart_elsewhere(&mut self, key: RunKey) {
        self.stop_run(key);
        let run = &self.runs[key];
        let (task, worker) = (run.task, run.worker);
        if let Some(state) = self.task_mut(task) {
            state.avoid = Some(worker);
        }
    }
}
