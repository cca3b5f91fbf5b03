//! The platform's interface to a worker: one call that carries commands in and
//! reports out.
//!
//! Properties that rest on the worker, and what is lost without each:
//!
//! * It refuses an epoch below the highest one that it has seen, and a sequence
//!   number that is not above the last of its epoch. Otherwise a delayed or
//!   superseded start could run a task twice.
//! * It refuses a call after the call's `not_after` instant of its own clock.
//!   Otherwise an owner that was paused could renew leases without bound.
//! * It remembers an ended task until the end is acknowledged. Otherwise a
//!   finished task could be run again after a lost reply.
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
    /// Number of the call in its epoch, from one.
    pub seq: u64,
    /// Instant of the worker's clock after which the call is refused, zero for none known yet.
    pub not_after: Millis,
    /// New lease of every task of the shard on the worker, in milliseconds; zero renews nothing.
    pub lease_ms: Millis,
    /// Commands in order.
    pub commands: Vec<Command>,
    /// Ended runs whose end the store holds: the worker may forget them.
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
        /// What the task commits.
        resources: Resources,
        /// Declared run time in milliseconds; zero runs until stopped.
        run_ms: Millis,
        /// Checkpoint to resume from: progress in milliseconds of work.
        checkpoint_ms: Millis,
        /// Share of its processors, above 0.0 and at most 1.0.
        share: f64,
        /// Input of the task.
        payload: String,
    },
    /// Changes the share of processors of a run.
    Throttle {
        /// Run to change.
        run: u64,
        /// New share, above 0.0 and at most 1.0.
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
    /// Worker's own clock in milliseconds.
    pub clock: Millis,
    /// Commands that were refused.
    pub refused: Vec<Refusal>,
    /// Runs of the shard that go on.
    pub running: Vec<Running>,
    /// Runs of the shard that have ended and are not yet acknowledged.
    pub ended: Vec<Ended>,
    /// Usage as last measured.
    pub usage: Usage,
}

/// A command that a worker refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Run that the command named.
    pub run: u64,
    /// Why, in words.
    pub reason: String,
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Running {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// What the run commits.
    pub resources: Resources,
    /// Newest checkpoint: progress in milliseconds of work.
    pub checkpoint_ms: Millis,
    /// Share of its processors.
    pub share: f64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// Ran to its end.
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

/// Lagging usage of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Usage {
    /// Age of the measurement in milliseconds.
    pub age_ms: Millis,
    /// Usage of each run.
    pub tasks: Vec<TaskUsage>,
    /// Latency of the upstream's answers, per profile.
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
    /// Answers measured.
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
    #[snafu(display("worker has seen epoch {epoch}"))]
    StaleEpoch {
        /// Highest epoch that the worker has seen.
        epoch: u64,
    },
    /// The call arrived out of order or too late (HTTP 410 with its clock).
    #[snafu(display("worker refused a late call"))]
    Late {
        /// Worker's own clock in milliseconds.
        clock: Millis,
    },
    /// The call provably had no effect.
    #[snafu(display("worker is unreachable: {reason}"))]
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// The call may have had its effect.
    #[snafu(display("worker gave no answer: {reason}"))]
    Unanswered {
        /// What went wrong.
        reason: String,
    },
}
