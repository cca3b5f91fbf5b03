//! Which waiting jobs can be in time together.
//!
//! Load pattern: a burst of jobs that the CPU cannot do in time. By deadline alone each
//! job waits until the last moment at which it can be in time, and most miss it. Taken
//! by deadline, jobs are counted against the CPU that works for them; whenever one would
//! be late, the one of least value for its work is deferred (Moore and Hodgson's rule).
//! Without a burst none is.
//!
//! Inputs: declared run times, with errors of up to nine tenths; the CPU in use, exact.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::domain::Millis;

/// Value of a job however small, in units of that of a job with the mean work, by the
/// users' rules; the rest is in proportion to its work.
const FIXED_VALUE: f64 = 0.3;

/// Largest value of a job in units of that of a job with the mean work, by the users'
/// rules.
const VALUE_MAX: f64 = 4.0;

/// Job with waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Time until the objective in milliseconds.
    pub time_left: Millis,
    /// Core-milliseconds that have not been placed.
    pub work: u64,
    /// Value for each core-millisecond of `work`.
    pub density: f64,
}

/// Accepted job in the order of value, the least first.
struct Accepted {
    density: f64,
    index: usize,
}

impl PartialEq for Accepted {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Accepted {}

impl PartialOrd for Accepted {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Accepted {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_value = self.density.total_cmp(&other.density);
        by_value.then(self.index.cmp(&other.index))
    }
}

/// Value for each core-millisecond of `work` of a job with `total` core-milliseconds,
/// where jobs have `mean` ones.
#[expect(
    clippy::cast_precision_loss,
    reason = "work is far below 2^52 core-milliseconds"
)]
pub fn density(total: u64, work: u64, mean: f64) -> f64 {
    let part = total as f64 / mean.max(1.0);
    let value = (FIXED_VALUE + (1.0 - FIXED_VALUE) * part).min(VALUE_MAX);
    value / work.max(1) as f64
}

/// Indexes of the jobs to defer, so that as many as possible of the others are in time
/// with `rate_milli` thousandths of a core.
pub fn deferred(jobs: &[Prospect], rate_milli: u64) -> Vec<usize> {
    let mut by_deadline: Vec<usize> = (0..jobs.len()).collect();
    by_deadline.sort_by_key(|&index| (jobs[index].time_left, index));
    let mut accepted: BinaryHeap<Reverse<Accepted>> = BinaryHeap::new();
    let mut late = Vec::new();
    let mut sum: u64 = 0;
    for index in by_deadline {
        let job = &jobs[index];
        sum = sum.saturating_add(job.work);
        accepted.push(Reverse(Accepted {
            density: job.density,
            index,
        }));
        let until = u128::from(job.time_left) * u128::from(rate_milli) / 1_000;
        while u128::from(sum) > until {
            let Some(Reverse(least)) = accepted.pop() else {
                break;
            };
            sum = sum.saturating_sub(jobs[least.index].work);
            late.push(least.index);
        }
    }
    late
}
