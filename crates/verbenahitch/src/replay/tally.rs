//! Counters of one replay.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

const MAX_LATENCY_US: u64 = 600_000_000;

/// Answers to requests of one kind.
#[derive(Debug)]
pub(super) struct Answers {
    pub(super) latency_us: Histogram<u64>,
    pub(super) missed: u64,
    pub(super) worth: u32,
}

impl Answers {
    pub(super) fn new(worth: u32) -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid");
        Self {
            latency_us,
            missed: 0,
            worth,
        }
    }

    /// Counts `count` answers of the same latency.
    pub(super) fn record(&mut self, latency_us: f64, target_us: f64, count: u64) {
        self.latency_us
            .saturating_record_n(latency_us as u64, count);
        if latency_us > target_us {
            self.missed += count;
        }
    }
}

/// Task counts of one batch profile.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Batch {
    pub(super) worth: u32,
    /// Accepted and not cancelled.
    pub(super) due: u64,
    pub(super) finished: u64,
    /// Finished by their deadline.
    pub(super) timely: u64,
}

impl Batch {
    pub(super) fn timely_percent(&self) -> f64 {
        percent(self.timely as f64, self.due as f64)
    }
}

/// Counters of one replay.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) kinds: BTreeMap<String, Answers>,
    pub(super) batches: BTreeMap<String, Batch>,
    pub(super) refused_tasks: u64,
    /// Useful work done in milliseconds.
    pub(super) work_ms: f64,
    pub(super) lost_ms: f64,
    pub(super) evictions: u64,
    pub(super) throttles: u64,
    pub(super) failures: u64,
    pub(super) overcommits: u64,
    /// Longest wait of an urgent task for its start, in milliseconds.
    pub(super) urgent_wait_ms: u64,
    pub(super) end_ms: u64,
    pub(super) decisions: u64,
    pub(super) decision_time: Duration,
}

impl Tally {
    /// Worth served as a percentage of the worth offered, requests and batch.
    pub(super) fn worth_percent(&self) -> f64 {
        let (mut offered, mut served) = (0.0, 0.0);
        for batch in self.batches.values() {
            offered += f64::from(batch.worth) * batch.due as f64;
            served += f64::from(batch.worth) * batch.timely as f64;
        }
        for answers in self.kinds.values() {
            let all = answers.latency_us.len();
            offered += f64::from(answers.worth) * all as f64;
            served += f64::from(answers.worth) * (all - answers.missed) as f64;
        }
        percent(served, offered)
    }

    /// Tasks finished by their deadline as a percentage of those not cancelled or refused.
    pub(super) fn timely_percent(&self) -> f64 {
        let timely: u64 = self.batches.values().map(|batch| batch.timely).sum();
        let due: u64 = self.batches.values().map(|batch| batch.due).sum();
        percent(timely as f64, due as f64)
    }

    pub(super) fn finished(&self) -> f64 {
        let finished: u64 = self.batches.values().map(|batch| batch.finished).sum();
        finished as f64
    }

    /// Task counts of a profile.
    pub(super) fn batch(&mut self, profile: &str) -> &mut Batch {
        self.batches.entry(profile.to_owned()).or_default()
    }

    /// Useful work done per second of the trace, in task-seconds.
    pub(super) fn throughput(&self) -> f64 {
        self.work_ms / (self.end_ms.max(1) as f64)
    }

    pub(super) fn decisions_per_second(&self) -> f64 {
        self.decisions as f64 / self.decision_time.as_secs_f64().max(1e-9)
    }
}

pub(super) fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        100.0
    } else {
        100.0 * part / whole
    }
}
