//! Interference model: how much batch runs slow down the requests and the other
//! runs on their worker.
//!
//! The parameters are hidden from the system under test, which has to estimate
//! the interference from usage and latency reports.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use verbenahitch::domain::Resources;

/// Parameters of the interference model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Pressure {
    /// Slowdown, as an addition to 1.0, that a run of each profile causes when it
    /// uses all CPU of the worker.
    pub profiles: BTreeMap<String, f64>,
    /// Maximum slowdown by a profile that is not listed.
    pub largest: f64,
    /// Fraction of the slowdown of requests that also applies to other runs.
    pub runs: f64,
}

impl Default for Pressure {
    fn default() -> Self {
        Self {
            profiles: BTreeMap::new(),
            largest: 1.5,
            runs: 0.3,
        }
    }
}

impl Pressure {
    /// Slowdown of requests of `kind` by one run, as an addition to 1.0.
    pub fn request_slowdown(
        &self,
        kind: &str,
        profile: &str,
        resources: Resources,
        share: f64,
        capacity: Resources,
    ) -> f64 {
        let strength = match self.profiles.get(profile) {
            Some(strength) => *strength,
            None => self.largest * hash_fraction(&(kind, profile)),
        };
        strength * share * cpu_fraction(resources, capacity)
    }

    /// Slowdown of other runs by one run, as an addition to 1.0.
    pub fn run_slowdown(
        &self,
        profile: &str,
        resources: Resources,
        share: f64,
        capacity: Resources,
    ) -> f64 {
        self.runs * self.request_slowdown("", profile, resources, share, capacity)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a worker has far below 2^52 millicores"
)]
fn cpu_fraction(resources: Resources, capacity: Resources) -> f64 {
    resources.millicores as f64 / capacity.millicores.max(1) as f64
}

/// Hash of the input as a fraction from 0.0 to 1.0.
fn hash_fraction(input: &impl Hash) -> f64 {
    let mut hasher = FxHasher::default();
    input.hash(&mut hasher);
    f64::from(u32::try_from(hasher.finish() >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}
