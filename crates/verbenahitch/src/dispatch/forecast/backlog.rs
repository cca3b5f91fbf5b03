//! Work that waits ahead of a new job.

use super::super::job::{JobSpec, StepSpec};
use super::super::table::{Job, Step, Task};
use super::super::{Dispatcher, step_order};
use super::INTERVAL_MS;
use super::throughput::Rate;
use crate::collections::HashMap;
use crate::domain::Monotonic;

/// Part of a task's work that is left on average while it runs.
const RUNNING_PART: f64 = 0.5;

/// Waiting work of a queue.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Work in core-milliseconds and objective in milliseconds of each job that still has a
    /// value.
    jobs: Vec<(f64, f64)>,
    /// Whether some task has waited since the last digest.
    pub has_waited: bool,
}

impl Backlog {
    /// Work of all jobs in core-milliseconds. A job counts for what gets done within its
    /// objective at most, so that one of absurd size does not have the others refused.
    pub fn work(&self, rate: Rate) -> f64 {
        let jobs = self.jobs.iter();
        jobs.map(|(work, objective)| work.min(objective * rate.cores))
            .sum()
    }
}

/// Declared work of one task in core-milliseconds.
#[expect(clippy::cast_precision_loss, reason = "an approximate value is enough")]
pub fn task_work(step: &StepSpec) -> f64 {
    step.amount.cpu_milli as f64 / 1_000.0 * step.estimate_ms as f64
}

/// Declared work of a job in core-milliseconds, without its standing tasks.
pub fn job_work(spec: &JobSpec) -> f64 {
    let steps = spec.steps.iter().filter(|step| !step.standing);
    steps
        .map(|step| task_work(step) * f64::from(step.count))
        .sum()
}

fn step_work(spec: &StepSpec, state: &Step) -> f64 {
    let tasks = state.tasks().iter().filter(|task| !task.done);
    let part = |task: &Task| {
        if task.runs.is_empty() {
            1.0
        } else {
            RUNNING_PART
        }
    };
    tasks.map(part).sum::<f64>() * task_work(spec)
}

impl Dispatcher {
    /// Waiting work by queue.
    pub(super) fn backlogs(&self, now: Monotonic) -> HashMap<String, Backlog> {
        let mut backlogs: HashMap<String, Backlog> = HashMap::default();
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        for job in jobs.filter(|job| !job.state.is_final()) {
            let (work, has_waited) = self.waiting_work(job, now);
            if work <= 0.0 {
                continue;
            }
            let queue = &job.record.queue.name;
            let backlog = match backlogs.get_mut(queue) {
                Some(backlog) => backlog,
                None => backlogs.entry(queue.clone()).or_default(),
            };
            backlog.has_waited |= has_waited;
            let longest = job.critical_paths.iter().max().copied().unwrap_or(0);
            let objective_ms = self.queue_of(job).objective_ms(longest);
            if job.age_ms(now) < step_order::value_end(objective_ms) {
                #[expect(clippy::cast_precision_loss, reason = "an approximate value is enough")]
                backlog.jobs.push((work, objective_ms as f64));
            }
        }
        backlogs
    }

    /// Work that is left of a job, and whether a task of it waits since the last digest.
    fn waiting_work(&self, job: &Job, now: Monotonic) -> (f64, bool) {
        let mut work = 0.0;
        let mut is_waiting = false;
        for round in &job.rounds {
            for (spec, state) in job.record.spec.steps.iter().zip(&round.steps) {
                if spec.standing || state.remaining == 0 {
                    continue;
                }
                work += step_work(spec, state);
                is_waiting |= round.is_ready(spec) && state.waiting() > 0;
            }
        }
        let is_old = job.age_ms(now) >= INTERVAL_MS;
        (work, is_waiting && is_old)
    }
}
