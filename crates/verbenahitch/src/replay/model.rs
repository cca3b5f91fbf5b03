//! Model of the true interference, which the decisions cannot read.
//!
//! The latency of a request is log-normal. Its median is the baseline median
//! times the effect of the worker's own load times the slowdown by colocated
//! batch tasks:
//!
//! `median * (1 + 0.6 * load^2 / (1 - load)) * (1 + sum(slope * activity * (0.5 + load)))`
//!
//! The activity of a task is its CPU share times the noise factor of its
//! profile. A batch task progresses at the fraction of its true CPU demand that
//! it gets, and more slowly if its memory is less than its true demand.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::trace::{Kind, Truth, Work};
use crate::collections::HashMap;
use crate::domain::{Profile, Resources};

const MAX_LOAD: f64 = 0.95;
/// Factor on the progress of a task whose memory is less than its true demand.
const SWAPPING_RATE: f64 = 0.5;
/// Standard normal deviate at the 99th percentile.
const P99_DEVIATE: f64 = 2.326;

/// Batch tasks of one profile that are colocated on a worker.
#[derive(Clone, Debug)]
pub(super) struct Colocated<'a> {
    pub(super) profile: &'a str,
    /// Sum of their CPU shares.
    pub(super) share: f64,
}

/// True interference, usage and noise.
#[derive(Debug, Default)]
pub(super) struct Model {
    slopes: HashMap<(String, String), f64>,
    works: HashMap<String, Work>,
    noise: HashMap<String, f64>,
}

impl Model {
    pub(super) fn add_truth(&mut self, truth: &Truth) {
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

    /// Ratio of a kind's median latency to its baseline median without load.
    pub(super) fn ratio(&self, kind: &Kind, load: f64, colocated: &[Colocated<'_>]) -> f64 {
        let load = load.clamp(0.0, MAX_LOAD);
        let queueing = 1.0 + 0.6 * load * load / (1.0 - load);
        let slowdown: f64 = colocated
            .iter()
            .map(|group| self.added_slowdown(kind, group))
            .sum();
        queueing * (1.0 + slowdown * (0.5 + load))
    }

    fn added_slowdown(&self, kind: &Kind, group: &Colocated<'_>) -> f64 {
        let pair = (kind.profile.clone(), group.profile.to_owned());
        let slope = self.slopes.get(&pair).copied().unwrap_or(0.0);
        slope * group.share * self.noise_factor(group.profile)
    }

    fn noise_factor(&self, profile: &str) -> f64 {
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

    /// True demand of a task in millicores and mebibytes: its declared size unless
    /// the trace gives another.
    fn demand(&self, name: &str, profile: &Profile) -> (u64, u64) {
        let declared = profile.resources;
        let work = self.works.get(name);
        work.map_or((declared.millicores, declared.memory_mib), |work| {
            (work.millicores, work.memory_mib)
        })
    }

    /// Usage of a task at a CPU share of `share`, in millicores and mebibytes.
    pub(super) fn usage(
        &self,
        name: &str,
        profile: &Profile,
        committed: Resources,
        share: f64,
    ) -> (u64, u64) {
        let (millicores, memory_mib) = self.demand(name, profile);
        let millicores = millicores.min(committed.millicores) as f64 * share;
        (millicores as u64, memory_mib.min(committed.memory_mib))
    }

    /// Progress of a task relative to full speed, from 0.0 to 1.0.
    pub(super) fn rate(
        &self,
        name: &str,
        profile: &Profile,
        committed: Resources,
        share: f64,
    ) -> f64 {
        let (millicores, memory_mib) = self.demand(name, profile);
        let cpu = committed.millicores as f64 / millicores.max(1) as f64;
        let swapping = memory_mib > committed.memory_mib;
        let memory = if swapping { SWAPPING_RATE } else { 1.0 };
        cpu.min(1.0) * share * memory
    }
}

/// Standard normal deviate by the Box-Muller method.
pub(super) fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
