//! Inputs and actions of a shard's decision logic.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::Declarations;
use crate::domain::{JobId, JobRecord, JobSpec, Millis, Monotonic, ShardId, TaskId};
use crate::event::Entry;
use crate::port::{HostRecord, SyncError, SyncReply, SyncRequest};

/// What happens to a shard.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A newer revision of the declarations is in force.
    Declared(Arc<Declarations>),
    /// The platform's list of the shard's workers, whole.
    Hosts(Vec<HostRecord>),
    /// This process now owns the shard.
    Acquired {
        /// Epoch of the ownership.
        epoch: u64,
        /// Records of all unfinished jobs of the shard.
        jobs: Vec<JobRecord>,
        /// Whether the previous owner gave the shard up by itself; false if it may still act.
        released: bool,
    },
    /// This process no longer owns the shard.
    Lost,
    /// This process is about to give the shard up: nothing more is started, and
    /// marks of tasks that were not started are taken back.
    Release,
    /// Task leases may be renewed until then.
    Authority(Monotonic),
    /// Tasks may be started until then.
    Permit(Monotonic),
    /// A caller asks something; the answer is an [`Action::Answer`] with the same number.
    Asked {
        /// Number of the request, unique in the process.
        request: u64,
        /// What is asked.
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
        /// When the sync was sent.
        sent: Monotonic,
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
    /// A commit ended; the daemon has resolved lost answers by reading back.
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
    /// The store did not take it; the same writes may be tried again.
    Unavailable,
    /// This process no longer owns the shard.
    NotOwner,
}

/// What the daemon does for a shard.
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
    /// Gives the shard up: another process owns it.
    StandDown,
}

/// Writes that take effect together. At most one batch of a shard is under way.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Number of the batch, increasing in one epoch.
    pub number: u64,
    /// Writes, each about another job; they fit into one transaction of the store.
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
    /// Removes a finished job after its retention.
    Remove(JobId),
}

/// What callers and operators ask of a shard.
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
    /// Tell how a job stands.
    Job(JobId),
    /// Tell how the shard stands.
    Shard,
    /// Tell why a task is where it is.
    Explain(TaskId),
    /// Take over a job that another shard has handed over; it is in the store already.
    Adopt(Box<JobRecord>),
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The job is in the store.
    Accepted(JobStatus),
    /// How the job stands.
    Job(JobStatus),
    /// How the shard stands.
    Shard(ShardStatus),
    /// Why a task is where it is, in words.
    Explained(String),
    /// Nothing of it happened.
    Refused(SubmitError),
}

/// Why a request was refused. Nothing of it happened unless said otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "kind"
)]
pub enum SubmitError {
    /// The declarations do not know the profile.
    #[snafu(display("profile {profile:?} is not declared"))]
    UnknownProfile {
        /// Name that was asked for.
        profile: String,
    },
    /// No worker could ever run the task.
    #[snafu(display("the job can never run: {reason}"))]
    NeverFits {
        /// What is too large, against what.
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
    /// Nothing was accepted; try again later.
    #[snafu(display("not accepted, try again in {retry_ms} ms: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
        /// When to come back, in milliseconds.
        retry_ms: Millis,
    },
    /// It is not known whether the request took effect; repeating it is safe.
    #[snafu(display("outcome not known, repeat the request: {reason}"))]
    Unclear {
        /// Why.
        reason: String,
    },
}

/// How a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobStatus {
    /// Identity.
    pub id: JobId,
    /// Shard that holds it, as `zone-index`.
    pub shard: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that ran to their end.
    pub done: u32,
    /// Tasks that failed for good.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks that may or may not have run to their end.
    pub unknown: u32,
    /// Evictions so far, as far as this owner knows.
    pub evictions: u32,
}

/// How a shard stands.
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
    /// Tasks that wait for a worker.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Whose work presses on whose, the strongest first.
    pub pressures: Vec<PressureStatus>,
}

/// How strongly one profile presses on another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PressureStatus {
    /// Profile that is slowed.
    pub victim: String,
    /// Profile that slows it.
    pub source: String,
    /// Estimated time of the victim beside one task of the source, in percent of its time alone.
    pub slowdown_percent: u32,
}

/// How a worker stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerStatus {
    /// Name.
    pub name: String,
    /// State in words.
    pub state: String,
    /// Tasks that run on it.
    pub running: u32,
    /// Share of its processors that is committed, in percent.
    pub committed_percent: u32,
}
