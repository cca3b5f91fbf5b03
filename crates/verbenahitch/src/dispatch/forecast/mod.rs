//! Forecast: when a job that is accepted now would end.
//!
//! Load pattern: bursts of batch work of two to three times the usual amount, while standing
//! tasks hold most of the CPU. What fillers get is bounded by harm and idle CPU, not by
//! capacity, so the rate of work is observed, by queue, while work waits. Without such a load
//! the rate is unknown and there is no forecast.
//!
//! Work is in declared core-milliseconds on both sides, so that a common error of the
//! declared run times cancels out. Only jobs that still have a value count as waiting ahead:
//! the others can wait behind a new one.
//!
//! The owner condenses the forecasts into a [`Digest`], from which every entry host decides
//! on new jobs ([`crate::entry::admission`]).

mod backlog;
mod digest;
mod throughput;

pub use digest::{Digest, PoolLimit, QueueForecast};
use throughput::Throughput;

use super::job::{Amount, StepSpec};
use super::table::Job;
use super::{Dispatcher, JobRecord, Now, step_order};
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Time between two digests, in milliseconds.
const INTERVAL_MS: Millis = 500;

/// Time after which an owner has listed and heard the workers, in milliseconds; before it, a
/// pool's largest worker may be unknown.
const SETTLING_MS: Millis = 10_000;

/// Largest numbers of queues and of pools in a digest.
const MAX_ROWS: usize = 16;

/// Weight of one task in the mean ratio of actual to declared run times.
const RATIO_WEIGHT: f64 = 0.02;

/// Bounds of that ratio for one task: declared run times are wrong by up to one half.
const RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);

/// What is observed of a queue.
#[derive(Clone, Debug)]
struct QueueState {
    throughput: Throughput,
    /// Mean ratio of actual to declared run times.
    ratio: f64,
}

impl Default for QueueState {
    fn default() -> Self {
        Self {
            throughput: Throughput::default(),
            ratio: 1.0,
        }
    }
}

/// How the forecasts of jobs compared with their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hindsight {
    /// Jobs that were accepted with a forecast and have ended.
    pub jobs: u64,
    /// Sum of the absolute errors in milliseconds.
    pub error_ms: Millis,
}

/// State of the forecasts.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecaster {
    queues: HashMap<String, QueueState>,
    /// Largest worker of each pool, by each resource.
    largest: HashMap<String, Amount>,
    updated_at: Option<Monotonic>,
    digest: Digest,
    /// Whether the digest has not been taken.
    is_fresh: bool,
    hindsight: Hindsight,
}

impl Forecaster {
    /// Records a completed task, with its run time if that was neither cut short nor
    /// stretched.
    pub fn task_done(&mut self, queue: &str, step: &StepSpec, took_ms: Option<Millis>) {
        if step.standing {
            return;
        }
        let state = match self.queues.get_mut(queue) {
            Some(state) => state,
            None => self.queues.entry(queue.to_owned()).or_default(),
        };
        state.throughput.record(backlog::task_work(step));
        if let Some(took_ms) = took_ms.filter(|_| step.estimate_ms > 0) {
            #[expect(
                clippy::cast_precision_loss,
                reason = "durations are far below 2^52 ms"
            )]
            let ratio = took_ms as f64 / step.estimate_ms as f64;
            let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            state.ratio += (ratio - state.ratio) * RATIO_WEIGHT;
        }
    }

    /// Records the size of a worker.
    pub fn worker_listed(&mut self, pool: &str, capacity: Amount) {
        let largest = match self.largest.get_mut(pool) {
            Some(largest) => largest,
            None => self.largest.entry(pool.to_owned()).or_default(),
        };
        *largest = largest.max(capacity);
    }

    /// Records the end of a job that was accepted with a forecast.
    pub fn job_ended(&mut self, job: &Job, now: Monotonic) {
        let Some(forecast) = job.forecast_ms else {
            return;
        };
        let took = job.age_ms(now);
        self.hindsight.jobs += 1;
        self.hindsight.error_ms += took.abs_diff(forecast);
    }
}

impl Dispatcher {
    /// Renews the digest, at most once per [`INTERVAL_MS`].
    pub(super) fn update_forecast(&mut self, now: Now) {
        let elapsed = match self.forecaster.updated_at {
            Some(at) if now.at.since(at) < INTERVAL_MS => return,
            Some(at) => now.at.since(at),
            None => 0,
        };
        self.forecaster.updated_at = Some(now.at);
        let mut backlogs = self.backlogs(now.at);
        let forecaster = &mut self.forecaster;
        // Queues that are no longer declared are not kept.
        let (declared, open) = (&self.queues, &backlogs);
        let queues = &mut forecaster.queues;
        queues.retain(|name, _| declared.contains_key(name) || open.contains_key(name));
        let mut rows = Vec::new();
        for (name, state) in queues {
            let backlog = backlogs.remove(name).unwrap_or_default();
            state
                .throughput
                .end_slot(elapsed, backlog.has_waited, now.at);
            if let Some(rate) = state.throughput.rate()
                && backlog.has_waited
            {
                rows.push(QueueForecast::new(
                    name,
                    backlog.work(rate),
                    rate,
                    state.ratio,
                ));
            }
        }
        rows.sort_by_key(|row| std::cmp::Reverse(row.wait_ms));
        rows.truncate(MAX_ROWS);
        let mut pools = Vec::new();
        if now.at.since(self.began_at) >= SETTLING_MS {
            pools.extend(
                forecaster
                    .largest
                    .iter()
                    .take(MAX_ROWS)
                    .map(|(pool, at)| PoolLimit {
                        pool: pool.clone(),
                        largest: *at,
                    }),
            );
        }
        forecaster.digest = Digest {
            queues: rows,
            pools,
        };
        forecaster.is_fresh = true;
    }

    /// Takes the digest, if it has been renewed since the last call.
    pub fn take_digest(&mut self) -> Option<Digest> {
        std::mem::take(&mut self.forecaster.is_fresh).then(|| self.forecaster.digest.clone())
    }

    /// Takes the comparison of forecasts and ends since the last call.
    pub fn take_hindsight(&mut self) -> Hindsight {
        std::mem::take(&mut self.forecaster.hindsight)
    }

    /// Time from acceptance to the expected end of a new job, none without a forecast.
    pub(super) fn forecast(&self, record: &JobRecord) -> Option<Millis> {
        let row = self.forecaster.digest.queue(&record.queue.name)?;
        let longest = step_order::longest_path(&record.spec);
        Some(row.end_ms(&record.spec, longest))
    }
}
