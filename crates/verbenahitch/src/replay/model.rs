//! The hidden model: what truly slows what.
//!
//! A request's latency is log-normal around its median alone, times the effect
//! of the worker's own load, times the slowdown by the batch tasks beside it:
//!
//! `median * (1 + 0.6 * load^2 / (1 - load)) * (1 + sum(slope * activity * (0.5 + load)))`
//!
//! The activity of a task is its share of processors times the noise of its
//! profile. A batch task proceeds at the part of its true need that it has.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::trace::{Kind, Truth, Work};
use crate::collections::HashMap;
use crate::domain::{Profile, Resources};

const MOST_LOAD: f64 = 0.95;
const SWAPPING_RATE: f64 = 0.5;
/// Standard normal deviate of the 99th percentile.
const P99_DEVIATE: f64 = 2.326;

/// Batch tasks of one profile on a worker, as the model sees them.
#[derive(Clone, Debug)]
pub(super) struct Beside<'a> {
    pub(super) profile: &'a str,
    /// Sum of their shares of processors.
    pub(super) share: f64,
}

/// What truly slows what.
#[derive(Debug, Default)]
pub(super) struct Model {
    slopes: HashMap<(String, String), f64>,
    works: HashMap<String, Work>,
    noise: HashMap<String, f64>,
}

impl Model {
    pub(super) fn learn(&mut self, truth: &Truth) {
        for pair in &truth.pairs {
            let key = (pair.victim.clone(), pair.source.clone());
            self.slopes.insert(key, pair.slope);
        }
        for work in &truth.works {
            self.works.insert(work.profile.clone(), work.clone());
        }
    }

    pub(super) fn set_noise(&mut self, profile: &str, factor: f64) {
        self.noise.insert(profile.to_owned(), factor);
    }

    /// Ratio of a kind's latency to its median alone without load.
    pub(super) fn ratio(&self, kind: &Kind, load: f64, beside: &[Beside<'_>]) -> f64 {
        let load = load.clamp(0.0, MOST_LOAD);
        let queueing = 1.0 + 0.6 * load * load / (1.0 - load);
        let slowed: f64 = beside.iter().map(|beside| self.added(kind, beside)).sum();
        queueing * (1.0 + slowed * (0.5 + load))
    }

    fn added(&self, kind: &Kind, beside: &Beside<'_>) -> f64 {
        let pair = (kind.profile.clone(), beside.profile.to_owned());
        let slope = self.slopes.get(&pair).copied().unwrap_or(0.0);
        slope * beside.share * self.noise_of(beside.profile)
    }

    fn noise_of(&self, profile: &str) -> f64 {
        self.noise.get(profile).copied().unwrap_or(1.0)
    }

    /// Latency of one request in microseconds.
    pub(super) fn latency_us(kind: &Kind, ratio: f64, rng: &mut ChaCha8Rng) -> f64 {
        kind.alone_us * ratio * (kind.sigma * normal(rng)).exp()
    }

    /// Percentiles of a kind's latency in microseconds: the median and the 99th.
    pub(super) fn percentiles(kind: &Kind, ratio: f64) -> (f64, f64) {
        let median = kind.alone_us * ratio;
        (median, median * (kind.sigma * P99_DEVIATE).exp())
    }

    /// What a task would use, its declared size unless the trace says otherwise.
    fn need(&self, name: &str, profile: &Profile) -> (u64, u64) {
        let declared = profile.resources;
        let work = self.works.get(name);
        work.map_or((declared.millicores, declared.memory_mib), |work| {
            (work.millicores, work.memory_mib)
        })
    }

    /// What a task uses at `share` of what it committed: millicores and mebibytes.
    pub(super) fn usage(
        &self,
        name: &str,
        profile: &Profile,
        committed: Resources,
        share: f64,
    ) -> (u64, u64) {
        let (millicores, memory_mib) = self.need(name, profile);
        let millicores = millicores.min(committed.millicores) as f64 * share;
        (millicores as u64, memory_mib.min(committed.memory_mib))
    }

    /// Milliseconds of work that a task does in a millisecond.
    pub(super) fn rate(
        &self,
        name: &str,
        profile: &Profile,
        committed: Resources,
        share: f64,
    ) -> f64 {
        let (millicores, memory_mib) = self.need(name, profile);
        let processors = committed.millicores as f64 / millicores.max(1) as f64;
        let swapping = memory_mib > committed.memory_mib;
        let memory = if swapping { SWAPPING_RATE } else { 1.0 };
        processors.min(1.0) * share * memory
    }
}

/// Standard normal deviate by Box and Muller's method.
pub(super) fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
