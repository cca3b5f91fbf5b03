//! Jobs, tasks, and what the store keeps of them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Checkpoint, EndedTasks, Millis, TaskSet};

/// Identity of a job: team and the caller's own key for the submission.
///
/// The same pair names the same job for ever, which makes submission idempotent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(String);

impl JobId {
    /// Creates the identity from a team's name and its key for the submission.
    pub fn new(team: &str, key: &str) -> Self {
        Self(format!("{team}.{key}"))
    }

    /// Identity as kept in store keys.
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
    /// Index of the task in its job, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Identity of a shard: a bounded group of one availability zone's workers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Availability zone of all workers of the shard.
    pub zone: String,
    /// Number of the shard in its zone, from zero.
    pub index: u32,
}

impl ShardId {
    /// Shard of `worker` in a zone that is divided into `shards`.
    ///
    /// The division rests on a digest that is the same in every version, so
    /// that two processes never disagree about it.
    pub fn holding(zone: &str, worker: &str, shards: u32) -> Self {
        let digest = Sha256::digest(worker.as_bytes());
        let (head, _) = digest.split_at(size_of::<u64>());
        let number = head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        let index = number % u64::from(shards.max(1));
        Self {
            zone: zone.to_owned(),
            index: u32::try_from(index).expect("an index is below a number of 32 bits"),
        }
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.zone, self.index)
    }
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobSpec {
    /// Profile that every task runs under.
    pub profile: String,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Declared run time of one task, in milliseconds.
    pub run_ms: Millis,
    /// Input handed to every task.
    #[serde(default)]
    pub payload: String,
}

/// How a task ended, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// Ran to its end once.
    Done,
    /// Ran and failed for good.
    Failed,
    /// Cancelled before its end.
    Cancelled,
    /// May or may not have run to its end; not run again.
    Unknown,
}

/// What the store keeps of a job.
///
/// A task may be running, or may have ended unreported, only if its index is in
/// `marked`: the owner commits the mark before it sends the start, and commits
/// the end of a run, which takes the mark away, before it starts the task again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Identity of the job.
    pub id: JobId,
    /// What was asked for.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: Millis,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// Tasks that may have been started since the end of their last noted run.
    pub marked: TaskSet,
    /// Tasks that have ended, with their outcome.
    pub ended: EndedTasks,
    /// Unfinished tasks that ran before, with the end of their last noted run.
    #[serde(default)]
    pub checkpoints: BTreeMap<u32, Checkpoint>,
}

impl JobRecord {
    /// Creates the record of a job that has just been accepted.
    pub fn new(id: JobId, spec: JobSpec, accepted_ms: Millis) -> Self {
        Self {
            id,
            spec,
            accepted_ms,
            cancelled: false,
            marked: TaskSet::default(),
            ended: EndedTasks::default(),
            checkpoints: BTreeMap::new(),
        }
    }

    /// Whether every task has ended.
    pub fn is_finished(&self) -> bool {
        self.ended.len() >= self.spec.tasks
    }
}
