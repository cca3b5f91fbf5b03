//! Records that workers and callers keep.

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

/// One run of a task. Times are wall-clock milliseconds since the Unix epoch.
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
}

/// One request that an upstream ran. Times are wall-clock milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestRecord {
    /// First part of the request's path.
    pub kind: String,
    /// Value of `x-request-id`, empty if absent.
    pub request_id: String,
    /// Value of `idempotency-key`, if any.
    pub key: Option<String>,
    /// Start.
    pub start: Millis,
    /// End; `None` while the request is running.
    pub end: Option<Millis>,
}
