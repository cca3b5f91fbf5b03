//! Recent demand of short steps.

use super::super::job::Amount;
use crate::domain::{Millis, Monotonic};

/// Time in which the weight of a past step falls to a third, in milliseconds: about the
/// period in which loads swing.
const MEMORY_MS: f64 = 10_000.0;

/// Size of a piece that a short task is expected to need, in units of the mean: three of
/// four need no more.
const PIECE_FACTOR: f64 = 1.25;

/// Multiple of the tasks that run at once below which pieces count as scarce: bursts are of
/// two to three times the usual.
const SCARCE_FACTOR: f64 = 3.0;

/// Short tasks of a pool, as they arrived in the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of tasks.
    tasks: f64,
    cpu_milli: f64,
    memory_mb: f64,
    /// Sum of the run times in milliseconds.
    run_ms: f64,
    at: Monotonic,
}

/// Room of a pool in pieces that fit a short task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pieces {
    /// Size of a piece, zero if no demand is known.
    pub size: Amount,
    /// Number of tasks that run at once, by the recent demand.
    pub wanted: f64,
}

impl Demand {
    /// Adds the tasks of a step that arrives now.
    #[expect(
        clippy::cast_precision_loss,
        reason = "amounts and durations are far below 2^52"
    )]
    pub fn add(&mut self, tasks: u32, amount: Amount, run_ms: Millis, now: Monotonic) {
        let kept = self.kept(now);
        let count = f64::from(tasks);
        self.tasks = self.tasks * kept + count;
        self.cpu_milli = self.cpu_milli * kept + amount.cpu_milli as f64 * count;
        self.memory_mb = self.memory_mb * kept + amount.memory_mb as f64 * count;
        self.run_ms = self.run_ms * kept + run_ms as f64 * count;
        self.at = now;
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 ms"
    )]
    fn kept(&self, now: Monotonic) -> f64 {
        (-(now.since(self.at) as f64) / MEMORY_MS).exp()
    }

    /// Pieces that are wanted now.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52"
    )]
    pub fn pieces(&self, now: Monotonic) -> Pieces {
        if self.tasks < 1.0 {
            return Pieces::default();
        }
        let size = |sum: f64| (sum / self.tasks * PIECE_FACTOR) as u64;
        Pieces {
            size: Amount {
                cpu_milli: size(self.cpu_milli),
                memory_mb: size(self.memory_mb),
                gpus: 0,
            },
            wanted: self.run_ms * self.kept(now) / MEMORY_MS,
        }
    }
}

impl Pieces {
    /// Number of pieces in free resources.
    pub fn count(&self, free: Amount) -> u64 {
        let by_cpu = free.cpu_milli.checked_div(self.size.cpu_milli);
        let by_memory = free.memory_mb.checked_div(self.size.memory_mb);
        match (by_cpu, by_memory) {
            (Some(cpu), Some(memory)) => cpu.min(memory),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => 0,
        }
    }

    /// Number of pieces that a task destroys where `free` is left.
    pub fn destroyed(&self, free: Amount, task: Amount) -> u64 {
        self.count(free).saturating_sub(self.count(free.less(task)))
    }

    /// Whether too few are left, with `left` pieces in the pool.
    #[expect(clippy::cast_precision_loss, reason = "a number of pieces")]
    pub fn are_scarce(&self, left: u64) -> bool {
        (left as f64) < self.wanted * SCARCE_FACTOR
    }
}
