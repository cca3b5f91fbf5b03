//! Stragglers: runs that stall or are far slower than their peers.
//!
//! Load pattern: some workers slow down by a factor of four and more for several
//! seconds, or stall, while they answer every poll. The tasks of a step are alike,
//! so one that would take several times as long as its peers is on such a worker.
//! A speculative copy is started where the step allows it; otherwise the task is
//! restarted elsewhere if that ends sooner. A worker with a stalled run, or with slow
//! runs of several jobs, is quarantined for a while.
//!
//! Inputs: progress in percent, as old as the last poll.

use super::polls::SERVING_PERCENT;
use super::{Dispatcher, Entry, JobId, Kind, Millis, Monotonic, Phase, RunKey, health};

/// Time between two checks, in milliseconds; progress is reported about as often.
const CHECK_PAUSE_MS: Millis = 200;

/// Minimum age of a run for its speed to be derived from its progress, in milliseconds.
const MIN_AGE_MS: Millis = 400;

/// Maximum age of a worker's last answer for its runs to be found stalled, in
/// milliseconds: longer than a poll waits for an end.
const STALL_ANSWER_MS: Millis = 1_200;

/// Minimum number of peers with a known duration.
const MIN_PEERS: usize = 2;

/// Multiple of the median duration beyond which a run is slow: tasks of a step differ
/// by a third at most.
const SLOW_FACTOR: u64 = 3;

/// Time that a restart takes, in milliseconds: a stop, a commit and a start.
const RESTART_MS: Millis = 500;

/// Part of its declared run time in which a run advances by a percent at the least: declared times are
/// short of the actual ones by nine tenths at most.
const PERCENT_DIVISOR: Millis = 10;

/// Time without progress after which a run is stalled, in milliseconds. Progress is told in whole
/// percents, which a long task takes longer for.
fn stall_limit_ms(estimate_ms: Millis) -> Millis {
    let percent_ms = estimate_ms / PERCENT_DIVISOR;
    health::STALL_MS.max(percent_ms.saturating_add(STALL_ANSWER_MS))
}

/// Projected duration of a run by its progress so far.
struct Projection {
    key: RunKey,
    age_ms: Millis,
    total_ms: Millis,
}

impl Dispatcher {
    /// Handles stalled and slow runs, if the last check is old enough.
    pub(super) fn check_progress(&mut self, now: Monotonic) {
        if now.since(self.checked_at) < CHECK_PAUSE_MS {
            return;
        }
        self.checked_at = now;
        self.stop_stalled(now);
        let mut slow = Vec::new();
        for id in &self.open_jobs {
            self.find_stragglers(*id, &mut slow);
        }
        for key in slow {
            self.handle_straggler(key, now);
        }
    }

    fn find_stragglers(&self, id: JobId, slow: &mut Vec<RunKey>) {
        let job = &self.jobs[&id];
        for round in &job.rounds {
            for (step, spec) in round.steps.iter().zip(&job.record.spec.steps) {
                // The speed of fillers depends on how much CPU is idle.
                if spec.standing || spec.gang || spec.filler {
                    continue;
                }
                let runs = step.tasks().iter().filter(|task| task.runs.len() == 1);
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
                let median = totals[(totals.len() - 1) / 2];
                let is_slow = |run: &&Projection| {
                    let remaining = run.total_ms.saturating_sub(run.age_ms);
                    run.total_ms > median * SLOW_FACTOR && remaining > median + RESTART_MS
                };
                slow.extend(projections.iter().filter(is_slow).map(|run| run.key));
            }
        }
    }

    fn project(&self, key: RunKey) -> Option<Projection> {
        let run = &self.runs[key];
        let age_ms = run.seen_at.since(run.started_at);
        let is_comparable = run.phase == Phase::Live && !run.stop_wanted && run.wanted_pace == 100;
        if !is_comparable || run.resumed || age_ms < MIN_AGE_MS {
            return None;
        }
        Some(Projection {
            key,
            age_ms,
            total_ms: age_ms * 100 / Millis::from(run.progress.max(1)),
        })
    }

    /// Requests a speculative copy of a slow run, or restarts it elsewhere.
    fn handle_straggler(&mut self, key: RunKey, now: Monotonic) {
        let run = &self.runs[key];
        let (task, worker) = (run.task, run.worker);
        let is_speculative = self.spec_of(task).is_some_and(|spec| spec.speculative);
        health::run_slow(&mut self.workers[worker], task.job, now);
        Entry::new(Kind::Evicted)
            .with_text("task", task)
            .with("worker", &self.workers[worker].info.name)
            .with("cause", if is_speculative { "raced" } else { "slow" })
            .emit();
        if is_speculative {
            if let Some(state) = self.task_mut(task) {
                state.avoid = Some(worker);
                state.wants_copy = true;
            }
            self.pending.insert(task.job);
        } else {
            self.restart_elsewhere(key);
        }
        self.assign_needed = true;
    }

    /// Stops stalled runs, so that their tasks start elsewhere.
    fn stop_stalled(&mut self, now: Monotonic) {
        let stalled: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                let worker = &self.workers[run.worker];
                run.phase == Phase::Live
                    && !run.stop_wanted
                    && run.pace >= 100
                    && now.since(run.progressed_at) > health::STALL_MS
                    && worker.answered_within(now, STALL_ANSWER_MS)
                    && !worker.lists_unread
            })
            .map(|(key, _)| key)
            .collect();
        for key in stalled {
            let run = &self.runs[key];
            let Some(spec) = self.spec_of(run.task) else {
                continue;
            };
            if spec.standing && run.progress == SERVING_PERCENT {
                continue;
            }
            if now.since(run.progressed_at) <= stall_limit_ms(spec.estimate_ms) {
                continue;
            }
            let (task, worker) = (run.task, run.worker);
            Entry::new(Kind::Evicted)
                .with_text("task", task)
                .with("worker", &self.workers[worker].info.name)
                .with("cause", "no progress")
                .emit();
            health::run_stalled(&mut self.workers[worker], now);
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
