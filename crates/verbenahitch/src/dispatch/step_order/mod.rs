//! Order of waiting steps.
//!
//! Load pattern: batch work beyond the CPU capacity, in bursts of two to three times
//! the usual amount, beside a steady stream of short urgent jobs. Sharing the CPU
//! among all steps would make all of them late, so they start in order and the rest
//! waits without a share. By deadline alone, all would be in time until all of them are
//! late: jobs that cannot all be done in time are thinned out first, see [`outlook`].
//!
//! Inputs: declared run times, with errors of up to nine tenths, and the time of
//! acceptance, with the clock skew of the accepting host.

pub mod outlook;

use std::cmp::Ordering;

use serde::Serialize;

use super::account::ShareRank;
use super::job::{JobSpec, StepSpec};
use crate::domain::Millis;

/// Multiple of the objective after which a job has no value, by the users' rules.
const NO_VALUE_FACTOR: Millis = 3;

/// Properties of a waiting step that determine its place in the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepRank {
    /// Priority of the queue; zero is the highest.
    pub priority: u32,
    /// Milliseconds since acceptance.
    pub age_ms: Millis,
    /// Critical path that remains, in milliseconds.
    pub remaining_ms: Millis,
    /// Objective in milliseconds since acceptance.
    pub objective_ms: Millis,
    /// Whether the step runs until its job is cancelled; all of its waiting time is lost.
    pub standing: bool,
    /// Rank among the accounts, equal for all where none are declared.
    pub share: ShareRank,
    /// Whether it precedes standing steps, see [`super::room::Allowance`].
    pub ahead: bool,
    /// Whether its tasks ran before and have been away for long, see [`super::room::is_overdue`].
    pub overdue: bool,
    /// Whether others have to be preferred for as many jobs as possible to be in time.
    pub deferred: bool,
    /// Value of the job for each core-millisecond that is left of it.
    pub density: f64,
}

/// How a job stands to its objective, in the order in which steps start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeadlineClass {
    /// Runs until its job is cancelled.
    Standing,
    /// Expected to be in time.
    InTime,
    /// Could be in time, if others were not.
    Deferred,
    /// Too late, of some value yet.
    Late,
    /// Too late to be of value.
    NoValue,
}

impl StepRank {
    /// How the job stands to its objective.
    pub fn deadline_class(&self) -> DeadlineClass {
        let end = self.age_ms.saturating_add(self.remaining_ms);
        if self.standing {
            DeadlineClass::Standing
        } else if end > value_end(self.objective_ms) {
            DeadlineClass::NoValue
        } else if end > self.objective_ms {
            DeadlineClass::Late
        } else if self.deferred {
            DeadlineClass::Deferred
        } else {
            DeadlineClass::InTime
        }
    }

    /// Time until the objective, in milliseconds.
    pub fn time_left(&self) -> Millis {
        self.objective_ms.saturating_sub(self.age_ms)
    }

    /// Time until the objective minus the remaining critical path, in milliseconds.
    fn slack(&self) -> i64 {
        let end = self.age_ms.saturating_add(self.remaining_ms);
        let end = i64::try_from(end).unwrap_or(i64::MAX);
        i64::try_from(self.objective_ms)
            .unwrap_or(i64::MAX)
            .saturating_sub(end)
    }

    /// Order of two steps; the lesser is placed first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let class = self.deadline_class();
        let by_queue = self.priority.cmp(&other.priority);
        by_queue
            .then_with(|| other.overdue.cmp(&self.overdue))
            .then_with(|| self.share.cmp(&other.share))
            .then_with(|| other.ahead.cmp(&self.ahead))
            .then_with(|| class.cmp(&other.deadline_class()))
            .then_with(|| match class {
                DeadlineClass::Standing | DeadlineClass::InTime => Ordering::Equal,
                DeadlineClass::Deferred | DeadlineClass::Late | DeadlineClass::NoValue => {
                    other.density.total_cmp(&self.density)
                }
            })
            .then_with(|| self.slack().cmp(&other.slack()))
    }
}

/// Core-milliseconds of `tasks` tasks of a step.
pub fn work_of(spec: &StepSpec, tasks: u64) -> u64 {
    let each = spec.amount.cpu_milli.saturating_mul(spec.estimate_ms) / 1_000;
    each.saturating_mul(tasks)
}

/// Time since acceptance after which a job has no value, in milliseconds.
pub fn value_end(objective_ms: Millis) -> Millis {
    objective_ms.saturating_mul(NO_VALUE_FACTOR)
}

/// Critical path of a job by declared run times, in milliseconds.
pub fn longest_path(spec: &JobSpec) -> Millis {
    critical_paths(spec).into_iter().max().unwrap_or(0)
}

/// Critical path from the start of each step to the end of the job, by declared run
/// times, in milliseconds. A step that waits for an unknown one never starts.
pub fn critical_paths(spec: &JobSpec) -> Vec<Millis> {
    let mut longest: Vec<Millis> = spec.steps.iter().map(|step| step.estimate_ms).collect();
    for step in (0..spec.steps.len()).rev() {
        for &on in &spec.steps[step].after {
            let on = on as usize;
            let Some(earlier) = spec.steps.get(on) else {
                continue;
            };
            let through = earlier.estimate_ms.saturating_add(longest[step]);
            longest[on] = longest[on].max(through);
        }
    }
    longest
}
