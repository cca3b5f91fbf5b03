//! What is asked of the placer, and what it answers.

use std::sync::Arc;

use snafu::Snafu;

use crate::domain::{Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};

/// Whether a worker may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes tasks.
    Open,
    /// Leaving or not yet heard: keeps its tasks, takes none.
    Closed,
    /// Takes one probe task at a time.
    Quarantined,
}

/// A task that looks for a worker.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Task.
    pub task: TaskKey,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// Worker that should not get it again, if another can.
    pub avoid: Option<WorkerKey>,
    /// Time that the task has waited, in milliseconds.
    pub waited_ms: Millis,
}

/// A task that occupies a worker.
#[derive(Clone, Debug)]
pub struct Resident {
    /// Task.
    pub task: TaskKey,
    /// Number of its run.
    pub run: u64,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// What it commits.
    pub resources: Resources,
    /// When it started.
    pub since: Monotonic,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Give the task to a worker.
    Place {
        /// Chosen worker.
        worker: WorkerKey,
        /// Second best worker, if any.
        runner_up: Option<WorkerKey>,
        /// Why it was chosen.
        reason: Reason,
    },
    /// Evict tasks of a worker to make room, then choose again.
    Evict {
        /// Worker.
        worker: WorkerKey,
        /// Its tasks to evict, the least worth first; none if the tasks that are
        /// stopping already leave room enough.
        victims: Vec<TaskKey>,
    },
    /// Wait.
    Wait(Reason),
    /// No worker could ever run it, in words.
    Never(String),
}

/// Why a choice was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Leaves the least room unused.
    BestFit,
    /// Presses least on its neighbours.
    LeastPressure,
    /// Probe of a quarantined worker.
    Probe,
    /// No worker has room.
    NoRoom,
    /// Room is being made for the task.
    Promised,
    /// The team has used its quota.
    Quota,
    /// Every worker with room would slow its neighbours too much.
    TooMuchPressure,
}

/// A worker was asked to hold more than its size.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{needed:?} does not fit into the {free:?} that are free"))]
pub struct Overcommit {
    /// What the task needs.
    pub needed: Resources,
    /// What is free.
    pub free: Resources,
}
