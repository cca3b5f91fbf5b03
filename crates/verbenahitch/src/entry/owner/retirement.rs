//! Planned end of a term: the record of the owner that ends it, and its reading by the next one.
//!
//! The record counts only if no other owner came between. The store's history of the owner's
//! key tells; it also shows an owner of a version that leaves no record.

use std::time::Duration;

use super::driver::Driver;
use crate::dispatch::Retirement;
use crate::domain::Millis;
use crate::entry::host::Shared;
use crate::entry::keys::{self, RetiredRecord};
use crate::entry::succession::PlannedEnd;
use crate::event::{Entry, Kind};
use crate::port::{Change, Clock, Item, KeyValue, KvError, Platform, Put, Transaction};

/// How long a stop waits for the commit of the record, and a new owner for the history, in
/// milliseconds.
const TIMEOUT_MS: Millis = 500;

/// Largest number of calls for the history between two owners.
const HISTORY_CALLS: u32 = 4;

impl<P: Platform> Driver<P> {
    /// Record of this owner, which must make no pass from now on if it is stored; none if it is too
    /// large for the store. Without it the next owner waits as after a crash.
    pub(super) fn retirement(&self, handed_over: bool) -> Option<Put> {
        let left = self.dispatcher.retirement(self.clock.now());
        Entry::new(Kind::OwnerRetired)
            .with("fence", self.term.fence)
            .with("acts-ms", left.acts_ms)
            .with("silent", left.lapses.len())
            .with(
                "lapse-ms",
                left.lapses.iter().map(|(_, lapse_ms)| *lapse_ms).max(),
            )
            .emit();
        let record = RetiredRecord { handed_over, left };
        let put = Put::persistent(keys::RETIRED.to_owned(), keys::encode(&record));
        if put.value.len() > self.shared.platform.kv().value_max() {
            log::warn!("the record of the end of the term is too large for the store");
            return None;
        }
        Some(put)
    }

    /// Ends the term in the store, with the record of this owner. Without an answer the
    /// owner's key ends with its lease.
    pub(super) async fn retire(&self) {
        let transaction = Transaction {
            expected: vec![(keys::OWNER.to_owned(), self.term.fence)],
            puts: self.retirement(false).into_iter().collect(),
            removes: vec![keys::OWNER.to_owned(), keys::SLOW.to_owned()],
        };
        let limit = Duration::from_millis(TIMEOUT_MS);
        let commit = self.shared.platform.kv().commit(&transaction);
        match tokio::time::timeout(limit, commit).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::info!("the end of the term was not recorded: {error}"),
            Err(_) => log::info!("no answer to the record of the end of the term"),
        }
    }
}

/// Reads the record of the owner before the one with the token `fence`; none if that owner
/// left none, or may not have been the last.
pub(super) async fn read<P: Platform>(
    shared: &Shared<P>,
    fence: u64,
) -> Result<Option<Retirement>, KvError> {
    let kv = shared.platform.kv();
    let Some(item) = kv.get(keys::RETIRED).await? else {
        return Ok(None);
    };
    let Some(RetiredRecord { handed_over, left }) = shared.read(&item, Item::decode) else {
        return Ok(None);
    };
    let mut end = PlannedEnd {
        revision: item.revision,
        handed_over,
        next: None,
    };
    if !handed_over {
        let limit = Duration::from_millis(TIMEOUT_MS);
        let history = tokio::time::timeout(limit, next_election(kv, item.revision)).await;
        end.next = history.unwrap_or_else(|_| {
            log::info!("no answer on the history of the owner's key");
            None
        });
    }
    Ok(end.is_last_before(fence).then_some(left))
}

/// Revision of the first election after the revision `ended`; none if the history does not
/// tell.
async fn next_election<K: KeyValue>(kv: &K, ended: u64) -> Option<u64> {
    let mut after = ended;
    for _ in 0..HISTORY_CALLS {
        let (changes, revision) = match kv.watch(keys::OWNER, after, 0).await {
            Ok(update) => update,
            Err(error) => {
                log::info!("the history of the owner's key cannot be read: {error}");
                return None;
            }
        };
        if let Some(owner) = changes.iter().find_map(elected) {
            return Some(owner.revision);
        }
        after = revision.max(after);
    }
    None
}

/// The owner's key as written by an election.
fn elected(change: &Change) -> Option<&Item> {
    match change {
        Change::Put(item) if item.key == keys::OWNER => Some(item),
        Change::Put(_) | Change::Removed(_) => None,
    }
}
