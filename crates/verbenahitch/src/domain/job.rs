//! Jobs, tasks, and their stored records.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Checkpoint, EndedTasks, Millis, TaskSet};

/// Identity of a job: the team and the caller's key for the submission.
///
/// The same pair always identifies the same job, which makes submission idempotent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(String);

impl JobId {
    /// Creates an identity from a team name and the caller's key.
    pub fn new(team: &str, key: &str) -> Self {
        Self(format!("{team}.{key}"))
    }

    /// Identity as it appears in store keys.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<String> for JobId {
    fn from(text: String) -> Self {
        Self(text)
    }
}

/// Identity of one task on the wire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within its job, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Identity of a shard: a group of workers in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Availability zone of all workers in the shard.
    pub zone: String,
    /// Index of the shard within its zone, from zero.
    pub index: u32,
}

impl ShardId {
    /// Shard of `worker` in a zone that is divided into `shards`.
    ///
    /// The worker name is hashed with a digest that must not change between
    /// versions, so that all processes assign a worker to the same shard.
    pub fn of_worker(zone: &str, worker: &str, shards: u32) -> Self {
        let digest = Sha256::digest(worker.as_bytes());
        let (prefix, _) = digest.split_at(size_of::<u64>());
        let number = prefix
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        let index = number % u64::from(shards.max(1));
        Self {
            zone: zone.to_owned(),
            index: u32::try_from(index).expect("the index is below `shards`, a u32"),
        }
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.zone, self.index)
    }
}

/// Specification of a job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobSpec {
    /// Profile that every task runs under.
    pub profile: String,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Declared run time of one task, in milliseconds.
    pub run_ms: Millis,
    /// Input passed to every task.
    #[serde(default)]
    pub payload: String,
}

/// Known outcome of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// Ran to completion once.
    Done,
    /// Ran and failed permanently.
    Failed,
    /// Cancelled before completion.
    Cancelled,
    /// May or may not have run to completion; not run again.
    Unknown,
}

/// Stored record of a job.
///
/// A task may be running, or may have ended unreported, only if its index is in
/// `marked`: the owner commits the mark before it sends the start. It commits the
/// end of a run, which clears the mark, before it starts the task again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Identity of the job.
    pub id: JobId,
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance in milliseconds since the Unix epoch.
    pub accepted_ms: Millis,
    /// Whether the job was cancelled by the caller.
    pub cancelled: bool,
    /// Tasks that may have been started since the end of their last recorded run.
    pub marked: TaskSet,
    /// Ended tasks by outcome.
    pub ended: EndedTasks,
    /// Checkpoints of unfinished tasks that ran before, by task index.
    #[serde(default)]
    pub checkpoints: BTreeMap<u32, Checkpoint>,
    /// Last run of the shard before it accepted the job; runs up to it do not belong to this stay.
    #[serde(default)]
    pub since_run: u64,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    pub fn new(id: JobId, spec: JobSpec, accepted_ms: Millis) -> Self {
        Self {
            id,
            spec,
            accepted_ms,
            cancelled: false,
            marked: TaskSet::default(),
            ended: EndedTasks::default(),
            checkpoints: BTreeMap::new(),
            since_run: 0,
        }
    }

    /// Whether every task has ended.
    pub fn is_finished(&self) -> bool {
        self.ended.len() >= self.spec.tasks
    }
}
