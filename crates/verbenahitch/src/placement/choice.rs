//! Requests to the placer and its decisions.

use std::sync::Arc;

use snafu::Snafu;

use crate::domain::{Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};

/// Whether a worker accepts tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts tasks.
    Open,
    /// Leaving, not answering or otherwise held back: keeps its tasks but accepts no new ones.
    Closed,
    /// Accepts one probe task at a time.
    Quarantined,
}

/// A task to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Task.
    pub task: TaskKey,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// Worker to avoid if another one can run the task.
    pub avoid: Option<WorkerKey>,
    /// Time that the task has waited, in milliseconds.
    pub waited_ms: Millis,
}

/// A task with resources committed on a worker.
#[derive(Clone, Debug)]
pub struct Resident {
    /// Task.
    pub task: TaskKey,
    /// Number of the run that holds the resources.
    pub run: u64,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// Committed resources.
    pub resources: Resources,
    /// Start of the run.
    pub since: Monotonic,
}

/// Decision of the placer about one task.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Start the task on a worker.
    Place {
        /// Worker that was chosen.
        worker: WorkerKey,
        /// Second best worker, if any.
        runner_up: Option<WorkerKey>,
        /// Why the worker was chosen.
        reason: Reason,
    },
    /// Evict tasks from a worker to make room, then choose again once they have stopped.
    Evict {
        /// Worker.
        worker: WorkerKey,
        /// Tasks to evict, the lowest worth first; empty if the tasks that are
        /// already stopping leave enough room.
        evicted: Vec<TaskKey>,
    },
    /// Keep the task waiting.
    Wait(Reason),
    /// No worker could ever run the task, with the reason as text.
    Infeasible(String),
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Chosen by fit and rack spread, or because room was reserved on the worker, which has no
    /// reason of its own.
    BestFit,
    /// Chosen over one of the workers compared that has a higher expected slowdown by
    /// interference (pressure).
    LeastPressure,
    /// The task probes a quarantined worker.
    Probe,
    /// No worker has room.
    NoRoom,
    /// Room is reserved for the task, but evicted tasks still occupy it.
    Promised,
    /// The team's quota in this shard is used up.
    Quota,
    /// Placement on any of the workers compared would slow latency-critical work too much.
    TooMuchPressure,
}

/// Commitment that exceeds the free resources of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("task needs {needed:?}, but the worker has only {free:?} free"))]
pub struct Overcommit {
    /// Resources that the task needs.
    pub needed: Resources,
    /// Free resources of the worker.
    pub free: Resources,
}
