//! Settings of a worker.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Resources};

use super::Pressure;

/// Settings of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Settings {
    /// Name of the worker, unique across all availability zones.
    pub name: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Rack of the worker.
    pub rack: String,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Maximum number of requests that the upstream serves at a time.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
    /// Seed of the service times and the actual run times.
    pub seed: u64,
    /// Whether starts that exceed the capacity are refused; otherwise an error in the
    /// scheduler's own accounting shows as overcommitment in the history.
    pub enforced: bool,
    /// Checkpoint interval of a run, in milliseconds.
    pub checkpoint_ms: Millis,
    /// Duration of the checkpoint of an evicted run, in milliseconds.
    pub evict_ms: Millis,
    /// Interval between measurements of usage, in milliseconds.
    pub usage_ms: Millis,
    /// Maximum factor between the declared and the actual run time, at least 1.0.
    pub run_spread: f64,
    /// Service times by the first segment of the request path.
    pub service: BTreeMap<String, ServiceTime>,
    /// Profiles by the first segment of the request path, for the latency reports.
    pub profiles: BTreeMap<String, String>,
    /// Interference that runs cause to requests and other runs.
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

/// Lognormal distribution of the service time of a request kind without interference.
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

/// Settings that can be changed while a worker runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Behaviour {
    /// Whether the upstream's answers announce that the worker is leaving.
    pub leaving: bool,
    /// Whether every run fails as soon as it starts.
    pub fail_all: bool,
    /// Profiles whose runs fail as soon as they start.
    pub fail_profiles: BTreeSet<String>,
}
