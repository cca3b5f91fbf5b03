//! Taking over a shard in the store, and giving it back.

use super::keys::{self, OwnerValue};
use crate::adapter::Store;
use crate::domain::{JobRecord, ShardId};
use crate::port::{Entry, StoreError};

/// What a new owner has read of its shard.
#[derive(Debug)]
pub(super) struct Acquired {
    /// Epoch of the ownership.
    pub(super) epoch: u64,
    /// Whether the previous owner gave the shard up by itself.
    pub(super) released: bool,
    /// Index of the newest change of the batch key.
    pub(super) index: u64,
    /// Records of the jobs.
    pub(super) jobs: Vec<JobRecord>,
}

/// Tries to own `shard` under `session`; `None` if another process owns it.
///
/// # Errors
///
/// When the store gives no answer. The next try copes with a lock that was
/// taken all the same.
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
        // An earlier try took the lock; only locking it anew brings a new epoch.
        store.release(&key, value.clone(), session).await?;
    }
    // Whether a lost answer took effect shows in the reading below.
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
    Ok(Some(Acquired {
        epoch: after.lock,
        released: was_released(before.as_ref(), &after),
        index: batch.map_or(0, |entry| entry.modify),
        jobs: jobs.iter().filter_map(decode).collect(),
    }))
}

/// Jobs that were handed over to `shard`.
///
/// # Errors
///
/// When the store gives no answer.
pub(super) async fn handed(store: &Store, shard: &ShardId) -> Result<Vec<JobRecord>, StoreError> {
    let entries = store.list(&keys::inbox(shard)).await?;
    Ok(entries.iter().filter_map(decode).collect())
}

/// Gives `shard` up; `settled` says that only this owner's leases are left on it.
///
/// # Errors
///
/// When the store gives no answer; the session's end unlocks the shard then.
pub(super) async fn release(
    store: &Store,
    shard: &ShardId,
    session: &str,
    name: &str,
    settled: bool,
) -> Result<bool, StoreError> {
    let value = keys::encode(&OwnerValue {
        owner: name.to_owned(),
        released: settled,
    });
    store.release(&keys::owner(shard), value, session).await
}

/// Whether nobody owned the shard between `before` and `after` and the owner before gave it up.
fn was_released(before: Option<&Entry>, after: &Entry) -> bool {
    let Some(before) = before else {
        return after.lock == 1;
    };
    let value: OwnerValue = serde_json::from_slice(&before.value).unwrap_or_default();
    value.released && before.lock + 1 == after.lock
}

fn decode(entry: &Entry) -> Option<JobRecord> {
    let record = serde_json::from_slice(&entry.value);
    match record {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!("record {} is kept but cannot be read: {error}", entry.key);
            None
        }
    }
}
