//! Keys of a shard in the store, and the values of its lock and batch keys.

use serde::{Deserialize, Serialize};

use crate::domain::{JobId, ShardId};

/// Prefix of all keys of the system.
const ROOT: &str = "verbenahitch";

/// Value of the lock of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct OwnerValue {
    /// Name of the process that wrote it.
    pub(super) owner: String,
    /// Whether that process released the shard and no longer acts on it.
    pub(super) released: bool,
}

/// Value that every batch writes, which shows whether a batch with a lost answer took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct BatchValue {
    /// Epoch of the writer.
    pub(super) epoch: u64,
    /// Number of the batch.
    pub(super) number: u64,
}

/// Key of the lock of a shard.
pub(super) fn owner(shard: &ShardId) -> String {
    format!("{ROOT}/shards/{shard}/owner")
}

/// Key of the newest batch of a shard.
pub(super) fn batch(shard: &ShardId) -> String {
    format!("{ROOT}/shards/{shard}/batch")
}

/// Key of the workers that the owner of a shard may use.
pub(super) fn workers(shard: &ShardId) -> String {
    format!("{ROOT}/shards/{shard}/workers")
}

/// Prefix of the job records of a shard.
pub(super) fn jobs(shard: &ShardId) -> String {
    format!("{ROOT}/jobs/{shard}/")
}

/// Key of a job's record.
pub(super) fn job(shard: &ShardId, id: &JobId) -> String {
    format!("{}{id}", jobs(shard))
}

/// Prefix of the jobs that were handed over to a shard.
pub(super) fn inbox(shard: &ShardId) -> String {
    format!("{ROOT}/inbox/{shard}/")
}

/// Key of a job that was handed over to a shard.
pub(super) fn inbox_job(shard: &ShardId, id: &JobId) -> String {
    format!("{}{id}", inbox(shard))
}

/// Key that says which shard holds a job.
pub(crate) fn name(id: &JobId) -> String {
    format!("{ROOT}/names/{id}")
}

/// Value in its stored form.
pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("values in the store have only string keys")
}
