//! Inputs and outputs of the dispatcher: workers' answers, orders to workers, and
//! records for the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{JobId, JobState, TaskId};
use super::worker::{RunKey, WorkerKey};
use crate::domain::Millis;

/// Reason for which a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndCause {
    /// It completed its work.
    Done,
    /// It failed, because of itself or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
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
    /// Progress in percent; 100 for a standing task that serves.
    pub progress_percent: u8,
    /// Tail latency of a standing task in milliseconds; CPU in use for other tasks.
    pub measurement: Millis,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedEntry {
    /// Sequence number of the end in the worker's incarnation.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Reason for which it ended.
    pub cause: EndCause,
    /// Newest checkpoint, empty for none.
    pub checkpoint: String,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of the worker's incarnation, zero if it is not reported.
    pub incarnation: u64,
    /// The worker's clock in milliseconds.
    pub clock_ms: Millis,
    /// Runs in progress.
    pub running: Vec<RunningEntry>,
    /// Ended runs that are not yet acknowledged.
    pub ended: Vec<EndedEntry>,
}

/// Reason for which a call to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has stopped or ended a run of the task with this number or a higher one.
    Outdated,
    /// The lease in the order had lapsed on arrival.
    Late,
    /// The worker has not enough free resources.
    NoRoom,
    /// The worker has restarted: its incarnation is not the one addressed.
    OtherLife,
    /// The worker answered that it cannot carry out the order now, and did nothing.
    Unwilling(String),
    /// The worker answered that the order is invalid.
    Rejected(String),
    /// The order never left this host.
    NotSent(String),
    /// No answer came; the order may or may not be carried out, also later.
    Unanswered(String),
}

/// Call to a worker that the dispatcher orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Extend the leases of a worker and read its lists.
    Poll(Poll),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Target),
    /// Set the pace of a run: the percentage of its CPU that it may use.
    Pace(Target, u8),
}

/// Poll of a worker: extends its leases and waits for ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    /// Worker.
    pub worker: WorkerKey,
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// New end of all leases on the worker's clock; none to leave them unchanged.
    pub lease_end: Option<Millis>,
    /// Highest number of an end that is acknowledged: the store holds all ends up to it.
    pub acked: u64,
    /// How long the worker may delay its answer until a run ends, in milliseconds.
    pub wait_ms: Millis,
}

/// Run that an order applies to.
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
    /// End of the lease on the worker's clock.
    pub lease_end: Millis,
    /// Checkpoint to resume from, empty for none.
    pub checkpoint: String,
}

/// Record of an assignment in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord(
    /// Number of the run.
    pub u32,
    /// Name of the worker.
    pub String,
    /// Incarnation of the worker: start in milliseconds since the Unix epoch.
    pub u64,
);

/// Record in the store of a task with at least one assignment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskRecord {
    /// Round, step and index.
    pub at: (u32, u32, u32),
    /// Whether it is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Highest run number used.
    pub run: u32,
    /// Number of failed runs.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Runs that may still be running.
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

/// Record of a job's progress in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgressRecord {
    /// State of the job.
    pub state: JobState,
    /// Tasks with at least one assignment.
    pub tasks: Vec<TaskRecord>,
}

/// Record to be written, with the version of the job that it reflects.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Job.
    pub job: JobId,
    /// Version.
    pub version: u64,
    /// Record.
    pub record: ProgressRecord,
}
