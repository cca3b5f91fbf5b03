//! The platform's interface to a worker: one call whose request carries commands
//! and whose reply carries the state of the runs.
//!
//! The scheduler relies on these guarantees of the worker:
//!
//! * It refuses an epoch lower than the highest one that it has seen, and a
//!   sequence number that does not exceed the last one of its epoch. Otherwise a
//!   delayed or superseded start could run a task twice.
//! * It refuses a call that arrives after the call's `not_after` instant on the
//!   worker's own clock. Otherwise an owner that was paused could renew leases
//!   without bound.
//! * It keeps the record of an ended run until the end is acknowledged.
//!   Otherwise a finished task could be run again after a lost reply.
//! * It names its life in every answer, by a number that none of its other lives
//!   has. Otherwise a start whose answer was lost in a restart could be taken for
//!   one that never took effect.
//! * It refuses a call that names another of its lives, whose clock `not_after` was
//!   read from. Otherwise a late start could run a task that has long been started
//!   elsewhere.
//! * It stops a task, after a checkpoint, once the task's lease lapses.
//!   Otherwise the tasks of an unreachable worker could never be started elsewhere.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::domain::{Class, Millis, Resources, TaskId};

/// One call of a shard's owner to a worker: `POST /v1/sync`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SyncRequest {
    /// Shard that the caller owns.
    pub shard: String,
    /// Name of the owning process.
    pub owner: String,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Sequence number of the call within its epoch, from one.
    pub seq: u64,
    /// Instant on the worker's clock after which the call is refused; zero while it is unknown.
    pub not_after: Millis,
    /// Life of the worker that the call is meant for, any other refuses it; zero while it is
    /// unknown.
    #[serde(default)]
    pub life: u64,
    /// Lease, in milliseconds, that every task of the shard on the worker gets; zero renews none.
    pub lease_ms: Millis,
    /// Commands, carried out in this order.
    pub commands: Vec<Command>,
    /// Ended runs whose end is committed to the store: the worker may drop their records.
    pub acked: Vec<u64>,
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "kind"
)]
pub enum Command {
    /// Starts a task.
    Start {
        /// Task to start.
        task: TaskId,
        /// Number of the run, unique in the shard over all epochs.
        run: u64,
        /// Name of its profile.
        profile: String,
        /// Class of its profile.
        class: Class,
        /// Resources that the task commits.
        resources: Resources,
        /// Declared run time in milliseconds; with zero the task runs until stopped.
        run_ms: Millis,
        /// Checkpoint to resume from: progress in milliseconds of work.
        checkpoint_ms: Millis,
        /// CPU share: fraction of its processors, above 0.0 and at most 1.0.
        share: f64,
        /// Input of the task.
        payload: String,
    },
    /// Changes the CPU share of a run.
    Throttle {
        /// Run to change.
        run: u64,
        /// New CPU share, above 0.0 and at most 1.0.
        share: f64,
    },
    /// Writes a checkpoint and stops a run.
    Evict {
        /// Run to stop.
        run: u64,
        /// Time for the checkpoint in milliseconds.
        grace_ms: Millis,
    },
    /// Stops a run without a checkpoint.
    Stop {
        /// Run to stop.
        run: u64,
    },
}

/// Answer of a worker to a call that it accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SyncReply {
    /// Time of the worker's own clock in milliseconds.
    pub clock: Millis,
    /// Number of the worker's life, another one after each restart; zero if it names none.
    #[serde(default)]
    pub life: u64,
    /// Commands that were refused.
    pub refused: Vec<Refusal>,
    /// Runs of the shard in progress.
    pub running: Vec<Running>,
    /// Runs of the shard that have ended and are not yet acknowledged.
    pub ended: Vec<Ended>,
    /// Last measured usage.
    pub usage: Usage,
}

/// A command that a worker refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Run that the command named.
    pub run: u64,
    /// Reason as text.
    pub reason: String,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Running {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Resources that the run commits.
    pub resources: Resources,
    /// Newest checkpoint: progress in milliseconds of work.
    pub checkpoint_ms: Millis,
    /// CPU share: fraction of its processors.
    pub share: f64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// Completed.
    Done,
    /// Failed.
    Failed,
    /// Evicted after a checkpoint.
    Evicted,
    /// Stopped on command.
    Stopped,
    /// Stopped after a checkpoint because its lease lapsed.
    Lapsed,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ended {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint: progress in milliseconds of work.
    pub checkpoint_ms: Millis,
}

/// Usage of a worker, measured some time before the reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Usage {
    /// Age of the measurement in milliseconds.
    pub age_ms: Millis,
    /// Usage of each run.
    pub tasks: Vec<TaskUsage>,
    /// Latency of the upstream's answers by profile.
    pub latency: Vec<LatencyReport>,
}

/// Usage of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskUsage {
    /// Number of the run.
    pub run: u64,
    /// Processor time in thousandths of a core.
    pub millicores: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
}

/// Latency of an upstream's answers under one profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LatencyReport {
    /// Name of the profile.
    pub profile: String,
    /// Number of measured answers.
    pub count: u64,
    /// Median in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
}

/// Why a worker did not accept a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SyncError {
    /// The worker has seen a higher epoch (HTTP 409 with the epoch).
    #[snafu(display("worker has seen the higher epoch {epoch}"))]
    StaleEpoch {
        /// Highest epoch that the worker has seen.
        epoch: u64,
    },
    /// The call arrived out of order, after its `not_after` or in another life (HTTP 410 with the
    /// worker's clock and life).
    #[snafu(display(
        "worker refused a call that arrived out of order, too late or after a restart"
    ))]
    Late {
        /// Time of the worker's own clock in milliseconds.
        clock: Millis,
        /// Number of the worker's life; zero if it names none.
        life: u64,
    },
    /// The call provably took no effect.
    #[snafu(display("worker is unreachable: {reason}"))]
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display("worker did not answer: {reason}"))]
    Unanswered {
        /// What went wrong.
        reason: String,
    },
}
