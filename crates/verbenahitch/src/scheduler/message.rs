//! Inputs and actions of a shard's decision logic.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::Declarations;
use crate::domain::{JobId, JobRecord, JobSpec, Millis, Monotonic, ShardId, TaskId};
use crate::event::Entry;
use crate::port::{HostRecord, SyncError, SyncReply, SyncRequest};

/// Input of a shard's decision logic.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A newer revision of the declarations is in force.
    Declared(Arc<Declarations>),
    /// Complete list of the shard's workers from the platform.
    Hosts {
        /// When the read of the list began.
        read: Monotonic,
        /// Workers.
        hosts: Vec<HostRecord>,
    },
    /// This process now owns the shard.
    Acquired {
        /// Epoch of the ownership.
        epoch: u64,
        /// Records of all unfinished jobs of the shard.
        jobs: Vec<JobRecord>,
        /// Addresses of the workers that earlier owners may have used; `None` if not recorded.
        workers: Option<BTreeSet<String>>,
        /// Whether the previous owner released the shard; if false, it may still be acting.
        released: bool,
    },
    /// This process no longer owns the shard.
    Lost,
    /// This process is about to release the shard: it starts no more tasks and
    /// removes the marks of tasks that were not started.
    Release,
    /// Time until which task leases may be renewed.
    Authority(Monotonic),
    /// Time until which tasks may be started.
    Permit(Monotonic),
    /// A request; it is answered by an [`Action::Answer`] with the same number.
    Requested {
        /// Number of the request, unique in the process.
        request: u64,
        /// Content of the request.
        body: Request,
        /// Wall-clock time in milliseconds since the Unix epoch.
        wall_ms: Millis,
    },
    /// A worker answered a sync.
    Synced {
        /// Name of the worker.
        worker: String,
        /// Number of the sync that was answered.
        seq: u64,
        /// Answer.
        reply: SyncReply,
    },
    /// A sync failed.
    SyncFailed {
        /// Name of the worker.
        worker: String,
        /// Number of the sync.
        seq: u64,
        /// Why it failed.
        error: SyncError,
    },
    /// A commit ended; if its answer was lost, the daemon has read the outcome from the store.
    Committed {
        /// Number of the batch.
        batch: u64,
        /// Whether it took effect.
        result: Result<(), CommitError>,
    },
}

/// Why a batch did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// The store did not apply the batch; the same writes may be retried.
    Unavailable,
    /// This process no longer owns the shard.
    NotOwner,
}

/// Action that the daemon executes for a shard.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a sync to a worker.
    Sync {
        /// Name of the worker.
        worker: String,
        /// Address of its task interface, as `ip:port`.
        address: String,
        /// Message.
        request: SyncRequest,
    },
    /// Writes a batch to the store in one transaction that requires the shard's lock.
    Commit(Batch),
    /// Answers a request.
    Answer {
        /// Number of the request.
        request: u64,
        /// Answer.
        body: Answer,
    },
    /// Writes a log entry.
    Log(Entry),
    /// Stops acting for the shard, which another process owns.
    Superseded,
}

/// Writes that take effect atomically. A shard has at most one batch in flight.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Number of the batch, increasing within an epoch.
    pub number: u64,
    /// Writes, at most one per job and one of the workers; they fit into one transaction of the store.
    pub writes: Vec<Write>,
}

/// One write of a batch.
#[derive(Clone, Debug)]
pub enum Write {
    /// Stores a job's record.
    Put(JobRecord),
    /// Hands a job over to another shard.
    Move {
        /// Record of the job.
        record: JobRecord,
        /// Shard that gets it.
        to: ShardId,
    },
    /// Removes a finished job after its retention time.
    Remove(JobId),
    /// Stores the addresses of the workers that the owner may use.
    Workers(BTreeSet<String>),
}

/// Request of a caller or an operator to a shard.
#[derive(Clone, Debug)]
pub enum Request {
    /// Accept a job.
    Submit {
        /// Identity.
        id: JobId,
        /// What to run.
        spec: JobSpec,
    },
    /// Cancel a job.
    Cancel(JobId),
    /// Report the state of a job.
    Job(JobId),
    /// Report the state of the shard.
    Shard,
    /// Explain the state and placement of a task.
    Explain(TaskId),
    /// Adopt a job that another shard has handed over; the store already holds it.
    Adopt(Box<JobRecord>),
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The job is in the store.
    Accepted(JobStatus),
    /// State of the job.
    Job(JobStatus),
    /// State of the shard.
    Shard(ShardStatus),
    /// Explanation of a task's state and placement.
    Explained(String),
    /// The request was refused.
    Refused(SubmitError),
}

/// Why a request was refused. It had no effect, except possibly with [`Self::Unclear`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "kind"
)]
pub enum SubmitError {
    /// The profile is not declared.
    #[snafu(display("profile {profile:?} is not declared"))]
    UnknownProfile {
        /// Name of the profile.
        profile: String,
    },
    /// The job exceeds a limit, or no worker could ever run one of its tasks.
    #[snafu(display("the job can never run: {reason}"))]
    NeverFits {
        /// What is out of bounds, and the bound.
        reason: String,
    },
    /// The store does not hold the job.
    #[snafu(display("job {id} is not known"))]
    UnknownJob {
        /// Identity.
        id: JobId,
    },
    /// The same identity was submitted with another specification.
    #[snafu(display("job {id} was submitted before with another specification"))]
    Mismatch {
        /// Identity.
        id: JobId,
    },
    /// The request was not accepted and may be retried later.
    #[snafu(display("not accepted, try again in {retry_ms} ms: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
        /// Delay before the next attempt, in milliseconds.
        retry_ms: Millis,
    },
    /// The request may or may not have taken effect; repeating it is safe.
    #[snafu(display("outcome not known, repeat the request: {reason}"))]
    Unclear {
        /// Why.
        reason: String,
    },
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobStatus {
    /// Identity.
    pub id: JobId,
    /// Shard that holds it, as `zone-index`.
    pub shard: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Running tasks.
    pub running: u32,
    /// Completed tasks.
    pub done: u32,
    /// Failed tasks that are not retried.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks that may or may not have completed.
    pub unknown: u32,
    /// Evictions that this owner knows of.
    pub evictions: u32,
}

/// State of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShardStatus {
    /// Shard, as `zone-index`.
    pub shard: String,
    /// Name of the owning process.
    pub owner: String,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Whether tasks may be started now.
    pub permitted: bool,
    /// Unfinished tasks that are not running.
    pub queued: u32,
    /// Running tasks.
    pub running: u32,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Interference between profiles, the strongest first.
    pub pressures: Vec<PressureStatus>,
}

/// Interference of one profile with another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PressureStatus {
    /// Profile that is slowed.
    pub victim: String,
    /// Profile that causes the slowdown.
    pub source: String,
    /// Estimated latency of the victim next to one task of the source, in percent of its baseline
    /// latency, which it has without interference.
    pub slowdown_percent: u32,
}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerStatus {
    /// Name.
    pub name: String,
    /// State as text.
    pub state: String,
    /// Running tasks.
    pub running: u32,
    /// Committed share of its processors, in percent.
    pub committed_percent: u32,
}
