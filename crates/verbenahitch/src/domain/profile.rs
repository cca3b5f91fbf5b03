//! Profiles: how a kind of work may share a host, be slowed or evicted, and
//! what it is worth.

use serde::{Deserialize, Serialize};

use super::{Millis, Resources};

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Answers callers; its tail latency counts.
    LatencyCritical,
    /// Runs to an end; its completion counts.
    Batch,
}

/// Rules for evicting a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Eviction {
    /// Whether a running task may be evicted at all.
    pub allowed: bool,
    /// Time a task gets to write its checkpoint, in milliseconds.
    pub grace_ms: Millis,
    /// Most evictions of one task in an hour.
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

/// Declared treatment of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Profile {
    /// Class of the work.
    pub class: Class,
    /// Team whose quota the work counts against.
    pub team: String,
    /// What each task commits of its host.
    pub resources: Resources,
    /// Worth of one finished task or one answered request, from 1 to 1000.
    pub worth: u32,
    /// Latency target of a request, or time a task is expected to run, in milliseconds.
    pub target_ms: Millis,
    /// Longest time from acceptance to the end, in milliseconds.
    pub deadline_ms: Millis,
    /// Largest tolerated ratio of the time taken to the time taken alone, at least 1.0.
    #[serde(default = "default_slowdown")]
    pub max_slowdown: f64,
    /// Least share of its processors that throttling leaves, from 0.0 to 1.0.
    #[serde(default = "default_throttle")]
    pub min_share: f64,
    /// Rules for evicting a task.
    #[serde(default)]
    pub eviction: Eviction,
    /// Whether running the work twice has the effect of running it once.
    pub idempotent: bool,
    /// Whether tasks start ahead of all that is not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Prior estimate of the pressure on latency-critical neighbours, from 0.0 to 1.0.
    #[serde(default = "default_pressure")]
    pub pressure: f64,
}

fn default_slowdown() -> f64 {
    1.5
}

fn default_throttle() -> f64 {
    0.25
}

fn default_pressure() -> f64 {
    0.2
}
