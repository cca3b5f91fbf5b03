//! How a worker is set up.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Resources};

use super::Pressure;

/// Setup of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Settings {
    /// Name of the worker, unique over all availability zones.
    pub name: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Rack of the worker.
    pub rack: String,
    /// Size of the worker.
    pub capacity: Resources,
    /// Requests that the upstream serves at a time.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Seed of the service times and the true run times.
    pub seed: u64,
    /// Whether starts that exceed the size are refused; the check of a scheduler's
    /// own bookkeeping switches it off.
    pub enforced: bool,
    /// Time between two checkpoints of a run, in milliseconds.
    pub checkpoint_ms: Millis,
    /// Time that the checkpoint of an evicted run takes, in milliseconds.
    pub evict_ms: Millis,
    /// Time between two measurements of usage, in milliseconds.
    pub usage_ms: Millis,
    /// Largest factor between a run's declared and its true time, at least 1.0.
    pub run_spread: f64,
    /// Service times by the first part of the request's path.
    pub service: BTreeMap<String, ServiceTime>,
    /// Profiles by the first part of the request's path, for the latency reports.
    pub profiles: BTreeMap<String, String>,
    /// How runs and requests press on each other.
    pub pressure: Pressure,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "worker".to_owned(),
            zone: "a".to_owned(),
            rack: "a-r0".to_owned(),
            capacity: Resources::new(16, 60 << 10),
            slots: 8,
            queue: 4,
            enforced: true,
            seed: 0,
            checkpoint_ms: 1_000,
            evict_ms: 50,
            usage_ms: 1_000,
            run_spread: 1.0,
            service: BTreeMap::new(),
            profiles: BTreeMap::new(),
            pressure: Pressure::default(),
        }
    }
}

/// Distribution of the service time of a request kind on an idle worker: lognormal.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceTime {
    /// Median in microseconds.
    pub median_us: u64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_us: 3_000,
            sigma: 0.4,
        }
    }
}

/// What can be changed while a worker runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Behaviour {
    /// Whether the worker is leaving, as its upstream's answers say.
    pub leaving: bool,
    /// Whether every run fails as soon as it starts.
    pub fail_all: bool,
    /// Profiles whose runs fail as soon as they start.
    pub fail_profiles: BTreeSet<String>,
}
