//! Order of waiting steps.
//!
//! Load pattern: more batch work than processors, in bursts of two to three
//! times the usual, beside a steady stream of short urgent jobs. Sharing the
//! processors among all of it would make all of it late, so steps run in order
//! and the rest waits whole.
//!
//! Inputs: declared run times, which are off by up to half, and the time of
//! acceptance, exact to the skew of the accepting host's clock.

use std::cmp::Ordering;

use super::job::JobSpec;
use crate::domain::Millis;

/// Multiple of the objective after which a job earns nothing. From the users' rules.
const LATE_FACTOR: f64 = 3.0;

/// Time after which a job that cannot earn any more goes before new ones, so
/// that it is finished still, in milliseconds. Half of the shortest deployment's
/// recovery bound.
const STARVATION_MS: Millis = 6_000;

/// What decides the place of a waiting step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Rank of the queue, zero first.
    pub priority: u32,
    /// Milliseconds since acceptance.
    pub age_ms: Millis,
    /// Work on the longest chain that is left, in milliseconds.
    pub left_ms: Millis,
    /// Objective in milliseconds since acceptance.
    pub objective_ms: Millis,
    /// Whether the step runs until it is cancelled: it loses by every moment.
    pub lasting: bool,
}

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Prospect {
    Lasting,
    InTime,
    Starved,
    Late,
    Hopeless,
}

impl Standing {
    fn prospect(&self) -> Prospect {
        let end = self.age_ms + self.left_ms;
        #[expect(
            clippy::cast_precision_loss,
            reason = "durations are far below 2^52 ms"
        )]
        let last = self.objective_ms as f64 * LATE_FACTOR;
        #[expect(
            clippy::cast_precision_loss,
            reason = "durations are far below 2^52 ms"
        )]
        let is_lost = end as f64 > last;
        if self.lasting {
            Prospect::Lasting
        } else if end <= self.objective_ms {
            Prospect::InTime
        } else if self.age_ms > self.objective_ms + STARVATION_MS {
            Prospect::Starved
        } else if is_lost {
            Prospect::Hopeless
        } else {
            Prospect::Late
        }
    }

    /// Time until the objective beyond the work that is left, in milliseconds.
    fn slack(&self) -> i64 {
        let end = i64::try_from(self.age_ms + self.left_ms).unwrap_or(i64::MAX);
        i64::try_from(self.objective_ms).unwrap_or(i64::MAX) - end
    }

    /// Which of two steps runs first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_queue = self.priority.cmp(&other.priority);
        let by_prospect = self.prospect().cmp(&other.prospect());
        by_queue
            .then(by_prospect)
            .then(self.slack().cmp(&other.slack()))
    }
}

/// Longest chain of declared work from each step to the end, in milliseconds.
pub fn chains(spec: &JobSpec) -> Vec<Millis> {
    let mut longest: Vec<Millis> = spec.steps.iter().map(|step| step.estimate_ms).collect();
    for step in (0..spec.steps.len()).rev() {
        for &on in &spec.steps[step].after {
            let on = on as usize;
            let through = spec.steps[on].estimate_ms + longest[step];
            longest[on] = longest[on].max(through);
        }
    }
    longest
}
