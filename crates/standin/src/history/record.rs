//! Records that workers and callers keep.
//!
//! Times are wall-clock milliseconds since the Unix epoch.

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Resources, TaskId};
use verbenahitch::port::EndKind;

/// Runs and requests of one worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerHistory {
    /// Name of the worker.
    pub worker: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Runs in the order of their starts.
    pub runs: Vec<RunRecord>,
    /// Requests in the order of their starts.
    pub requests: Vec<RequestRecord>,
}

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunRecord {
    /// Task.
    pub task: TaskId,
    /// Shard whose owner started the run.
    pub shard: String,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the run.
    pub run: u64,
    /// Profile of the task.
    pub profile: String,
    /// Resources that the run commits.
    pub resources: Resources,
    /// Checkpoint that the run resumed from: progress in milliseconds of work.
    pub resumed_ms: Millis,
    /// Start.
    pub start: Millis,
    /// End; `None` while the run is in progress.
    pub end: Option<RunEnd>,
}

/// End of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunEnd {
    /// Time of the end.
    pub at: Millis,
    /// Kind of end; `None` if the worker crashed.
    pub kind: Option<EndKind>,
    /// Newest checkpoint: progress in milliseconds of work.
    pub checkpoint_ms: Millis,
    /// Whether the worker kept its record of the end until the acknowledgement.
    #[serde(default)]
    pub memory: EndMemory,
}

/// State of a worker's record of an end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndMemory {
    /// The end is still recorded, or was acknowledged.
    #[default]
    Kept,
    /// The end was reported, but the record was lost before an acknowledgement.
    Told,
    /// The record was lost before the end was reported.
    Untold,
}

/// One request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestRecord {
    /// First segment of the request's path.
    pub kind: String,
    /// Value of `x-request-id`, empty if absent.
    pub request_id: String,
    /// Value of `x-call-id`, empty if absent.
    pub call_id: String,
    /// Value of `idempotency-key`, if any.
    pub key: Option<String>,
    /// Start.
    pub start: Millis,
    /// End; `None` while the request is running.
    pub end: Option<Millis>,
}

/// One call, recorded by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallRecord {
    /// Value of `x-call-id`, unique in the session.
    pub call_id: String,
    /// First segment of the request's path.
    pub kind: String,
    /// Value of `idempotency-key`, if any.
    pub key: Option<String>,
    /// Time at which it was sent.
    pub sent: Millis,
    /// Outcome for the caller.
    pub outcome: CallOutcome,
}

/// Outcome of a call for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// An upstream's answer.
    Answered {
        /// Call ID that the answer states.
        call_id: String,
        /// Whether the answer is complete.
        whole: bool,
    },
    /// A refusal which states that the request has not run.
    NotRun,
    /// An answer which states that the request may have run.
    Unknown,
    /// No answer, or one that does not state whether the request has run.
    Broken,
}

/// Time for which an availability zone was out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outage {
    /// Availability zone.
    pub zone: String,
    /// Time at which operators took it out.
    pub from: Millis,
    /// Time at which it was brought back; `None` if it was not.
    pub until: Option<Millis>,
}

/// Histories of a whole session.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Session {
    /// Histories of all workers.
    pub workers: Vec<WorkerHistory>,
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Availability zones that were taken out.
    pub outages: Vec<Outage>,
}
