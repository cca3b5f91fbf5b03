//! Records that workers and callers keep.
//!
//! Times are wall-clock milliseconds since the Unix epoch.

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Resources, TaskId};
use verbenahitch::port::EndKind;

/// Everything that one worker did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerHistory {
    /// Name of the worker.
    pub worker: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Size of the worker.
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
    /// What the run commits.
    pub resources: Resources,
    /// Checkpoint that the run resumed from: progress in milliseconds of work.
    pub resumed_ms: Millis,
    /// Start.
    pub start: Millis,
    /// End; `None` while the run goes on.
    pub end: Option<RunEnd>,
}

/// End of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunEnd {
    /// When.
    pub at: Millis,
    /// How; `None` if the worker died.
    pub kind: Option<EndKind>,
    /// Newest checkpoint: progress in milliseconds of work.
    pub checkpoint_ms: Millis,
    /// Whether the worker lost its memory of the end before its acknowledgement.
    #[serde(default)]
    pub memory: EndMemory,
}

/// What a worker that lost power knew of an end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndMemory {
    /// The end is remembered, or was acknowledged.
    #[default]
    Kept,
    /// The end was told and then forgotten without an acknowledgement.
    Told,
    /// The end was forgotten before anybody was told.
    Untold,
}

/// One request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestRecord {
    /// First part of the request's path.
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

/// One call as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallRecord {
    /// Value of `x-call-id`, unique in the session.
    pub call_id: String,
    /// First part of the request's path.
    pub kind: String,
    /// Value of `idempotency-key`, if any.
    pub key: Option<String>,
    /// When it was sent.
    pub sent: Millis,
    /// What came back.
    pub outcome: CallOutcome,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// An upstream's answer.
    Answered {
        /// Call that the answer belongs to, as the answer says.
        call_id: String,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// A refusal that says that the request has not run.
    NotRun,
    /// An answer that says that the request may have run.
    Unknown,
    /// No answer, or one that says nothing of it.
    Broken,
}

/// Time for which an availability zone was out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outage {
    /// Availability zone.
    pub zone: String,
    /// When operators' change was accepted.
    pub from: Millis,
    /// When it was brought back; `None` if it was not.
    pub until: Option<Millis>,
}

/// Everything that was seen in a session.
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
