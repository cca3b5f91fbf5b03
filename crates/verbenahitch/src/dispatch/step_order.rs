//! Order of waiting steps.
//!
//! Load pattern: batch work beyond the CPU capacity, in bursts of two to three times
//! the usual amount, beside a steady stream of short urgent jobs. Sharing the CPU
//! among all steps would make all of them late, so they start in order and the rest
//! waits without a share.
//!
//! Inputs: declared run times, with errors of up to one half, and the time of
//! acceptance, with the clock skew of the accepting host.

use std::cmp::Ordering;

use super::job::JobSpec;
use crate::domain::Millis;

/// Multiple of the objective after which a job has no value, by the users' rules.
const NO_VALUE_FACTOR: Millis = 3;

/// Time past the objective after which a job precedes late ones, even without any
/// value left, so that it does not starve, in milliseconds. Half of the shortest
/// recovery bound among the deployments.
const STARVATION_MS: Millis = 6_000;

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
}

/// How a job stands to its objective, in the order in which steps start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineClass {
    Standing,
    InTime,
    Starved,
    Late,
    NoValue,
}

impl StepRank {
    fn deadline_class(&self) -> DeadlineClass {
        let end = self.age_ms.saturating_add(self.remaining_ms);
        let has_no_value = end > value_end(self.objective_ms);
        if self.standing {
            DeadlineClass::Standing
        } else if end <= self.objective_ms {
            DeadlineClass::InTime
        } else if self.age_ms > self.objective_ms.saturating_add(STARVATION_MS) {
            DeadlineClass::Starved
        } else if has_no_value {
            DeadlineClass::NoValue
        } else {
            DeadlineClass::Late
        }
    }

    /// Time until the objective minus the remaining critical path, in milliseconds.
    fn slack(&self) -> i64 {
        let end = i64::try_from(self.age_ms.saturating_add(self.remaining_ms)).unwrap_or(i64::MAX);
        i64::try_from(self.objective_ms).unwrap_or(i64::MAX) - end
    }

    /// Order of two steps; the lesser is placed first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_queue = self.priority.cmp(&other.priority);
        let by_prospect = self.deadline_class().cmp(&other.deadline_class());
        by_queue
            .then(by_prospect)
            .then(self.slack().cmp(&other.slack()))
    }
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
/// times, in milliseconds.
pub fn critical_paths(spec: &JobSpec) -> Vec<Millis> {
    let mut longest: Vec<Millis> = spec.steps.iter().map(|step| step.estimate_ms).collect();
    for step in (0..spec.steps.len()).rev() {
        for &on in &spec.steps[step].after {
            let on = on as usize;
            let through = spec.steps[on].estimate_ms.saturating_add(longest[step]);
            longest[on] = longest[on].max(through);
        }
    }
    longest
}
