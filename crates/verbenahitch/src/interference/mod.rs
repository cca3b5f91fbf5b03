//! Interference: which profile slows which on a shared worker, and what to do
//! about it.

use crate::domain::{TaskKey, WorkerKey};

/// A measure against interference on one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Relief {
    /// Change the share of processors of a task.
    Throttle {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// New share, above 0.0 and at most 1.0.
        share: f64,
    },
    /// Evict a task.
    Evict {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
    },
}

/// How strongly one profile pressed on another.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribution {
    /// Profile that was slowed.
    pub victim: String,
    /// Profile that slowed it.
    pub source: String,
    /// Estimated ratio of the victim's latency to its latency alone, per task of the source.
    pub slowdown: f64,
    /// Measurements behind the estimate, after forgetting.
    pub weight: f64,
}
