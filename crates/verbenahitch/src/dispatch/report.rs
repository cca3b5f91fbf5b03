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
    /// It failed, whether the task or the worker was at fault.
    Failed,
    /// It was stopped by an order, or the worker no longer lists it.
    Stopped,
    /// Its lease lapsed, or its worker left.
    Lapsed,
    /// Its worker crashed.
    Crashed,
    /// The worker ended it because another member of its gang ended.
    Broken,
    /// The worker ended it because the rest of its gang did not start in time.
    Alone,
}

/// Evidence on which the dispatcher takes a run as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Evidence {
    /// The worker lists its end.
    Listed,
    /// The worker no longer lists it.
    Missing,
    /// The worker has restarted.
    Restart,
    /// Another worker answers at the address of its incarnation.
    Replaced,
    /// All leases of the worker have lapsed.
    Lapse,
    /// The worker refused its only start.
    Refusal,
    /// Its start was never ordered.
    NotOrdered,
}

/// Reason for which a task is given up, and its job is failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum GivenUp {
    /// As many of its runs have failed as its queue allows attempts.
    Attempts,
    /// Too many workers have crashed under it.
    Crashes,
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
    /// Progress in percent; 100 for a standing task (one that runs until its job is
    /// cancelled) that is ready to serve.
    pub progress_percent: u8,
    /// Tail latency of a standing task in milliseconds; CPU in use for other tasks. Used
    /// only for tasks with a latency target.
    pub measurement: Millis,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedEntry {
    /// Sequence number of the end in the worker's incarnation.
    pub sequence: u64,
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
    /// Start of the worker's incarnation in milliseconds since the Unix epoch, zero if it
    /// is not reported.
    pub incarnation: u64,
    /// The worker's clock in milliseconds.
    pub clock_ms: Millis,
    /// Runs in progress.
    pub running: Vec<RunningEntry>,
    /// Ended runs that are not yet acknowledged.
    pub ended: Vec<EndedEntry>,
    /// Why a row of either list could not be read, none if all could. A run that is not listed
    /// may be such a row.
    pub unread: Option<String>,
}

/// Reason for which a call to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run's number is not above that of a run of the task that has already ended or
    /// been stopped on the worker.
    Outdated,
    /// The lease in the order had lapsed on arrival.
    Late,
    /// The worker has not enough free resources.
    NoRoom,
    /// The worker has restarted: its incarnation is not the one addressed.
    OtherLife,
    /// The worker answered that it cannot carry out the order for the time being, and did
    /// nothing.
    Unwilling(String),
    /// The worker answered that the order is invalid.
    Rejected(String),
    /// The order never left this host.
    NotSent(String),
    /// No answer came; the order may or may not be carried out, also later.
    Unanswered(String),
}

impl CallFailure {
    /// Whether the worker may have restarted: it did not answer, or as another one.
    pub(super) fn allows_restart(&self) -> bool {
        match self {
            Self::OtherLife | Self::NotSent(_) | Self::Unanswered(_) => true,
            Self::Fenced
            | Self::Outdated
            | Self::Late
            | Self::NoRoom
            | Self::Unwilling(_)
            | Self::Rejected(_) => false,
        }
    }
}

/// Request from the dispatcher to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Extend the leases of a worker and read its lists.
    Poll(Poll),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Target),
    /// Set the CPU share of a run: the percentage of its CPU that it may use.
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
    /// Highest acknowledged sequence number of an end; the store holds all ends up to it.
    pub acked: u64,
    /// How long the worker may delay its answer until a run ends, in milliseconds.
    pub wait_ms: Millis,
}

/// Run that an order applies to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Key of the run in the dispatcher's run table.
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

/// Record in the store of a run that is assigned to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord(
    /// Number of the run.
    pub u32,
    /// Name of the worker.
    pub String,
    /// Start of the worker's incarnation in milliseconds since the Unix epoch.
    pub u64,
);

/// Record in the store of a worker that counts for the quorum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Voter(
    /// Name.
    pub String,
    /// Address at which it takes calls.
    pub String,
);

/// Record in the store of the voters, and of the leases that owners give.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", from = "StoredVoters")]
pub struct VoterRecord {
    /// Workers that count for the quorum.
    pub voters: Vec<Voter>,
    /// Longest lease that owners give, in milliseconds, but to incarnations that they do not know;
    /// none if a version that does not record it wrote the record.
    pub lease_ms: Option<Millis>,
}

/// Forms of [`VoterRecord`] that the store may hold.
#[derive(Deserialize)]
#[serde(untagged, rename_all_fields = "kebab-case")]
enum StoredVoters {
    Record {
        voters: Vec<Voter>,
        lease_ms: Option<Millis>,
    },
    /// Written by versions that do not record leases.
    Voters(Vec<Voter>),
}

impl From<StoredVoters> for VoterRecord {
    fn from(stored: StoredVoters) -> Self {
        match stored {
            StoredVoters::Record { voters, lease_ms } => Self { voters, lease_ms },
            StoredVoters::Voters(voters) => Self {
                voters,
                lease_ms: None,
            },
        }
    }
}

/// Record in the store of a task with at least one assignment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskRecord {
    /// Position of the task in its job: round, step and index; see [`TaskId`].
    pub at: (u32, u32, u32),
    /// Whether it is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Highest run number used.
    pub run: u32,
    /// Number of failed runs.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Number of crashes under it since a run of it last settled.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Number of those that no wider loss of workers explains.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unexplained: u32,
    /// Number of those under runs that may never have been ordered.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unproven: u32,
    /// Numbers of the runs that were last counted as crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub blamed: Vec<u32>,
    /// Runs that may still be running.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<RunRecord>,
    /// Runs that ended as the leases of their workers lapsed, which may have crashed under them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lapsed: Vec<RunRecord>,
    /// Numbers of the runs whose incarnations hold no longer leases than [`VoterRecord`] tells.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bounded: Vec<u32>,
    /// Numbers of the runs that may have begun, as far as known at the writing, and have not settled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<u32>,
    /// Numbers of the runs that lists have shown for long enough to be sound.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<u32>,
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
    /// Addresses of the incarnations that the runs are on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<HomeRecord>,
}

/// Record in the store of the address at which an incarnation of a worker takes calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HomeRecord(
    /// Name of the worker.
    pub String,
    /// Start of the incarnation in milliseconds since the Unix epoch.
    pub u64,
    /// Address.
    pub String,
);

/// Record in the store of what an owner that acts no more leaves behind. Times count from
/// the writing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Retirement {
    /// How long owners before it may still act, in milliseconds.
    pub acts_ms: Millis,
    /// Silent workers with runs, and how long their leases may still last, in milliseconds.
    pub lapses: Vec<(String, Millis)>,
}

/// Record to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Job.
    pub job: JobId,
    /// Version of the job's state that the record reflects.
    pub version: u64,
    /// Record.
    pub record: ProgressRecord,
}
