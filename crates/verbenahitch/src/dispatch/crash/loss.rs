//! Losses of workers in the recent past: whether the loss of one is a surprise.
//!
//! Load pattern: workers are lost in series, by racks or by turns, with whatever runs there. The
//! loss of one more then tells nothing of the tasks that it ran. In a fleet that loses next to
//! none, the crash of a worker soon after a start does.

use std::collections::VecDeque;

use super::{JobId, Millis, Monotonic};

/// Time before and after a moment in which losses are neighbours of it, in milliseconds. Longer
/// than the time in which a run is young.
pub(super) const WINDOW_MS: Millis = 2_000;

/// Fraction of all workers whose losses within the window are no storm, but one in any fleet. Within
/// the 1.25 s for which its run is young, a start then meets the loss of its worker by chance in 1
/// of 50 cases at the most, and in 1 of 12 in a fleet of eight.
const CALM_DIVISOR: usize = 32;

/// How long a loss is kept, in milliseconds: a crash is known when the next incarnation answers,
/// or when the leases of the lost one have lapsed.
const KEPT_MS: Millis = 30_000;

/// Loss of a worker.
#[derive(Debug)]
struct Loss {
    /// When it ceased to answer.
    at: Monotonic,
    /// Jobs with young runs there.
    jobs: Vec<JobId>,
}

/// Losses of workers, oldest first.
#[derive(Debug, Default)]
pub(in crate::dispatch) struct Losses {
    recent: VecDeque<Loss>,
}

impl Losses {
    /// Adds the loss of a worker that had young runs of `jobs`.
    pub fn add(&mut self, at: Monotonic, jobs: Vec<JobId>) {
        let is_old = |loss: &Loss| at.since(loss.at) > KEPT_MS;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.recent.push_back(Loss { at, jobs });
    }

    /// Whether no more than a small part of a fleet was lost around a moment. Workers with young
    /// runs of `job` do not count: a task of it may be at fault.
    pub fn is_calm(&self, around: Monotonic, job: JobId, fleet: usize) -> bool {
        let begin = self
            .recent
            .partition_point(|loss| loss.at + WINDOW_MS < around);
        let near = self.recent.range(begin..);
        let near = near.take_while(|loss| loss.at <= around + WINDOW_MS);
        let others = near.filter(|loss| !loss.jobs.contains(&job));
        let most = (fleet / CALM_DIVISOR).max(1);
        others.take(most + 1).count() <= most
    }
}
