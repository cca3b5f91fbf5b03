//! Declared profiles: the resources, priority, and limits on slowdown and eviction
//! of one kind of work.

use serde::{Deserialize, Serialize};

use super::{Millis, Resources};

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Answers requests; measured by its tail latency.
    LatencyCritical,
    /// Runs to completion; measured by finished work.
    Batch,
}

/// Rules for evicting a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Eviction {
    /// Whether a running task may be evicted at all.
    pub allowed: bool,
    /// Time a task has to write its checkpoint before it is stopped, in milliseconds.
    pub grace_ms: Millis,
    /// Maximum number of evictions of one task per hour.
    pub hourly_budget: u32,
}

impl Default for Eviction {
    fn default() -> Self {
        Self {
            allowed: true,
            grace_ms: 2_000,
            hourly_budget: 4,
        }
    }
}

/// Declared properties of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Profile {
    /// Class of the work.
    pub class: Class,
    /// Team whose quota the work counts against.
    pub team: String,
    /// Resources that each task commits on its host.
    pub resources: Resources,
    /// Value of one finished task or one answered request, from 1 to 1000.
    pub worth: u32,
    /// Latency target of a request, or expected run time of a task, in milliseconds.
    pub target_ms: Millis,
    /// Maximum time from acceptance to completion, in milliseconds.
    pub deadline_ms: Millis,
    /// Maximum tolerated ratio of the time taken to the time taken without
    /// interference, at least 1.0.
    #[serde(default = "default_max_slowdown")]
    pub max_slowdown: f64,
    /// Minimum CPU share that throttling leaves a task, from 0.0 to 1.0.
    #[serde(default = "default_min_share")]
    pub min_share: f64,
    /// Rules for evicting a task.
    #[serde(default)]
    pub eviction: Eviction,
    /// Whether running the work twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether tasks start before all tasks that are not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Prior estimate of the slowdown that one task adds to latency-critical work on
    /// the same host, from 0.0 to 1.0.
    #[serde(default = "default_pressure")]
    pub pressure: f64,
}

fn default_max_slowdown() -> f64 {
    1.5
}

fn default_min_share() -> f64 {
    0.25
}

fn default_pressure() -> f64 {
    0.2
}
