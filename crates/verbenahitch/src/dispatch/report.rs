//! What the dispatcher exchanges with its surroundings: answers of workers in,
//! orders and records out.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{JobId, JobState, TaskId};
use super::worker::{RunKey, WorkerKey};
use crate::domain::Millis;

/// Why a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndCause {
    /// It did all its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningEntry {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint, empty for none.
    pub checkpoint: String,
    /// Progress, or 100 for a standing task at work.
    pub percent: u8,
    /// Tail latency of a standing task in milliseconds, else processors in use.
    pub figure: Millis,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedEntry {
    /// Number of the end in the worker's life.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Why it has ended.
    pub cause: EndCause,
    /// Newest checkpoint, empty for none.
    pub checkpoint: String,
}

/// Answer of a worker to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of the worker's life, zero if it does not say.
    pub born: u64,
    /// The worker's clock in milliseconds.
    pub clock_ms: Millis,
    /// What runs there.
    pub running: Vec<RunningEntry>,
    /// What has ended there and is not yet acknowledged.
    pub ended: Vec<EndedEntry>,
}

/// Why a call to a worker brought no report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run is not higher than one that was stopped or has ended there.
    Outdated,
    /// The lease in the order was over.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The worker is another life than the one meant.
    OtherLife,
    /// The worker says it cannot, and has done nothing.
    Unwilling(String),
    /// The worker will never take this order.
    Rejected(String),
    /// The order never left this host.
    NotSent(String),
    /// Nobody knows whether the order was or will be carried out.
    Unanswered(String),
}

/// A call that the dispatcher wants made.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Extend the leases of a worker and read its lists.
    Look(Look),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Target),
    /// Set the share of processors of a run.
    Pace(Target, u8),
}

/// Look at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Look {
    /// Worker.
    pub worker: WorkerKey,
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// New end of all leases on its clock, none to leave them.
    pub lease_end: Option<Millis>,
    /// Ends up to this number are kept by the store.
    pub acked: u64,
    /// How long the worker may wait for an end, in milliseconds.
    pub wait_ms: Millis,
}

/// Run that an order is about.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Run in the dispatcher's arena.
    pub key: RunKey,
    /// Name of the worker.
    pub name: String,
    /// Address of the worker.
    pub address: String,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

/// Start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Run.
    pub target: Target,
    /// Input of the task.
    pub payload: Arc<str>,
    /// End of its lease on the worker's clock.
    pub lease_end: Millis,
    /// Checkpoint to resume from, empty for none.
    pub checkpoint: String,
}

/// An assignment that the store keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord(
    /// Number of the run.
    pub u32,
    /// Name of the worker.
    pub String,
    /// Life of the worker.
    pub u64,
);

/// What the store keeps of a task that has started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskRecord {
    /// Round, step and index.
    pub at: (u32, u32, u32),
    /// Whether it is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Highest number of a run.
    pub run: u32,
    /// Runs that have failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Runs that may be at work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<RunRecord>,
    /// Newest checkpoint of an ended run.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// What the store keeps of the progress of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgressRecord {
    /// How the job stands.
    pub state: JobState,
    /// Tasks that have started.
    pub tasks: Vec<TaskRecord>,
}

/// A record to be written, with the version of the job that it shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Job.
    pub job: JobId,
    /// Version.
    pub version: u64,
    /// Record.
    pub record: ProgressRecord,
}
