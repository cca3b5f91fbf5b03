//! Model of how batch runs slow the requests and the other runs beside them.
//!
//! The system under test never sees these figures; it has to learn them from
//! usage and latency reports.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use verbenahitch::domain::Resources;

/// Strength of the pressure by profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Pressure {
    /// Slowdown that a run of the profile causes when it uses the whole worker.
    pub profiles: BTreeMap<String, f64>,
    /// Largest slowdown of a profile that is not listed.
    pub largest: f64,
    /// Share of the slowdown of requests that also falls on other runs.
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
    pub fn on_requests(
        &self,
        kind: &str,
        profile: &str,
        used: Resources,
        share: f64,
        capacity: Resources,
    ) -> f64 {
        let strength = match self.profiles.get(profile) {
            Some(strength) => *strength,
            None => self.largest * fraction(&(kind, profile)),
        };
        strength * share * processors(used, capacity)
    }

    /// Slowdown of other runs by one run, as an addition to 1.0.
    pub fn on_runs(&self, profile: &str, used: Resources, share: f64, capacity: Resources) -> f64 {
        self.runs * self.on_requests("", profile, used, share, capacity)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a worker has far below 2^52 millicores"
)]
fn processors(used: Resources, capacity: Resources) -> f64 {
    used.millicores as f64 / capacity.millicores.max(1) as f64
}

/// Fixed number between 0.0 and 1.0 for each input.
fn fraction(input: &impl Hash) -> f64 {
    let mut hasher = FxHasher::default();
    input.hash(&mut hasher);
    f64::from(u32::try_from(hasher.finish() >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}
