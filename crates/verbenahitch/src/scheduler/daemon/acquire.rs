//! Acquires and releases the lock of a shard in the store.

use std::collections::BTreeSet;

use super::keys::{self, OwnerValue};
use crate::adapter::Store;
use crate::domain::{JobRecord, ShardId};
use crate::port::{Entry, StoreError};

/// State of a shard that a new owner has read from the store.
#[derive(Debug)]
pub(super) struct Acquired {
    /// Epoch of the ownership.
    pub(super) epoch: u64,
    /// Whether the previous owner released the shard.
    pub(super) released: bool,
    /// Modify index of the batch key.
    pub(super) index: u64,
    /// Records of the jobs.
    pub(super) jobs: Vec<JobRecord>,
    /// Addresses of the workers that earlier owners may have used; `None` if not recorded.
    pub(super) workers: Option<BTreeSet<String>>,
}

/// Tries to acquire `shard` under `session`; `None` if another process owns it.
///
/// # Errors
///
/// When the store gives no answer. The lock may have been acquired all the same;
/// the next attempt handles this.
pub(super) async fn acquire(
    store: &Store,
    shard: &ShardId,
    session: &str,
    name: &str,
) -> Result<Option<Acquired>, StoreError> {
    let key = keys::owner(shard);
    let before = store.get(&key).await?;
    let holder = before.as_ref().and_then(|entry| entry.session.as_deref());
    if holder.is_some_and(|holder| holder != session) {
        return Ok(None);
    }
    let value = keys::encode(&OwnerValue {
        owner: name.to_owned(),
        released: false,
    });
    if holder.is_some() {
        // An earlier attempt acquired the lock; only acquiring it anew gives a new epoch.
        store.release(&key, value.clone(), session).await?;
    }
    // If the answer is lost, the read below shows whether the lock was acquired.
    if store.acquire(&key, value, session).await == Ok(false) {
        return Ok(None);
    }
    let Some(after) = store.get(&key).await? else {
        return Ok(None);
    };
    if after.session.as_deref() != Some(session) {
        return Ok(None);
    }
    let batch = store.get(&keys::batch(shard)).await?;
    let jobs = store.list(&keys::jobs(shard)).await?;
    let workers = store.get(&keys::workers(shard)).await?;
    Ok(Some(Acquired {
        epoch: after.lock_index,
        released: was_released(before.as_ref(), &after),
        index: batch.map_or(0, |entry| entry.modify_index),
        jobs: jobs.iter().filter_map(decode).collect(),
        workers: match workers {
            Some(entry) => serde_json::from_slice(&entry.value).ok(),
            None => (after.lock_index == 1).then(BTreeSet::new),
        },
    }))
}

/// Jobs that were handed over to `shard`.
///
/// # Errors
///
/// When the store gives no answer.
pub(super) async fn read_inbox(
    store: &Store,
    shard: &ShardId,
) -> Result<Vec<JobRecord>, StoreError> {
    let entries = store.list(&keys::inbox(shard)).await?;
    Ok(entries.iter().filter_map(decode).collect())
}

/// Releases `shard`; `recovered` tells whether only leases of this owner can remain on it.
///
/// # Errors
///
/// When the store gives no answer; the lock is then released when the session ends.
pub(super) async fn release(
    store: &Store,
    shard: &ShardId,
    session: &str,
    name: &str,
    recovered: bool,
) -> Result<bool, StoreError> {
    let value = keys::encode(&OwnerValue {
        owner: name.to_owned(),
        released: recovered,
    });
    store.release(&keys::owner(shard), value, session).await
}

/// Whether the previous owner released the shard and no other process owned it between `before`
/// and `after`.
fn was_released(before: Option<&Entry>, after: &Entry) -> bool {
    let Some(before) = before else {
        return after.lock_index == 1;
    };
    let value: OwnerValue = serde_json::from_slice(&before.value).unwrap_or_default();
    value.released && before.lock_index + 1 == after.lock_index
}

fn decode(entry: &Entry) -> Option<JobRecord> {
    let record = serde_json::from_slice(&entry.value);
    match record {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(
                "job record {} cannot be read; it is skipped and stays in the store: {error}",
                entry.key
            );
            None
        }
    }
}
