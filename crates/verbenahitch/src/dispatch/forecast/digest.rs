//! Forecasts as entry hosts get them.

use super::super::job::{Amount, JobSpec, StepSpec};
use super::super::place;
use super::backlog::job_work;
use super::throughput::Rate;
use crate::domain::Millis;

/// Longest expected wait in milliseconds.
const MAX_WAIT_MS: f64 = 3_600_000.0;

/// Condensed forecast of an owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Queues in which work waits, those with the longest waits.
    pub queues: Vec<QueueForecast>,
    /// Sizes of the workers.
    pub pools: Vec<PoolLimit>,
}

/// Forecast for the jobs of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueForecast {
    /// Name of the queue.
    pub queue: String,
    /// Time that the work ahead takes, in milliseconds.
    pub wait_ms: Millis,
    /// Standard error of that time.
    pub error_ms: Millis,
    /// Rate at which the queue's work is completed, in thousandths of a core.
    pub rate_milli: u64,
    /// Actual run times by declared ones, in thousandths.
    pub ratio_milli: u64,
}

/// Size of the largest worker of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLimit {
    /// Name of the pool.
    pub pool: String,
    /// Most of each resource that a worker of the pool has.
    pub largest: Amount,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates, and is bounded"
)]
fn bounded_ms(millis: f64) -> Millis {
    millis.clamp(0.0, MAX_WAIT_MS) as Millis
}

#[expect(clippy::cast_precision_loss, reason = "an approximate value is enough")]
fn scaled(value: u64, thousandths: u64) -> f64 {
    value as f64 * thousandths as f64 / 1_000.0
}

impl QueueForecast {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    pub(super) fn new(queue: &str, work: f64, rate: Rate, ratio: f64) -> Self {
        let wait = work / rate.cores;
        Self {
            queue: queue.to_owned(),
            wait_ms: bounded_ms(wait),
            error_ms: bounded_ms(wait * rate.error / rate.cores),
            rate_milli: (rate.cores * 1_000.0) as u64,
            ratio_milli: (ratio * 1_000.0) as u64,
        }
    }

    /// Declared duration corrected by the run times seen, in milliseconds.
    pub fn actual_ms(&self, declared_ms: Millis) -> Millis {
        bounded_ms(scaled(declared_ms, self.ratio_milli))
    }

    /// Time that the rest takes for a job's own work, in milliseconds.
    fn own_ms(&self, spec: &JobSpec) -> Millis {
        if self.rate_milli == 0 {
            return 0;
        }
        #[expect(clippy::cast_precision_loss, reason = "an approximate value is enough")]
        let cores = self.rate_milli as f64 / 1_000.0;
        bounded_ms(job_work(spec) / cores)
    }

    /// Time from acceptance to the expected end of a job with that critical path.
    pub fn end_ms(&self, spec: &JobSpec, critical_ms: Millis) -> Millis {
        let path = self.actual_ms(critical_ms).max(self.own_ms(spec));
        self.wait_ms.saturating_add(path)
    }
}

impl Digest {
    /// Forecast for a queue, none if no work waits or nothing is known.
    pub fn queue(&self, name: &str) -> Option<&QueueForecast> {
        self.queues.iter().find(|row| row.queue == name)
    }

    /// Whether a task of the step is larger than every worker of the pool.
    pub fn exceeds_workers(&self, pool: &str, step: &StepSpec) -> bool {
        let limit = self.pools.iter().find(|limit| limit.pool == pool);
        limit.is_some_and(|limit| !place::committed(step).fits(limit.largest))
    }
}
