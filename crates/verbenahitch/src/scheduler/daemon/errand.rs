//! One round of calls to the store for the shards of a process.

use super::acquire::{self, Acquired};
use super::session::Session;
use crate::adapter::Store;
use crate::domain::{JobRecord, ShardId};

/// What to ask the store.
pub(super) struct Errand {
    pub(super) store: Store,
    pub(super) session: Session,
    pub(super) name: String,
    /// Owned shards whose inbox is due.
    pub(super) inboxes: Vec<ShardId>,
    /// Shards to acquire.
    pub(super) vacant: Vec<ShardId>,
}

/// What the store said.
#[derive(Debug, Default)]
pub(super) struct Found {
    /// Jobs that were handed over.
    pub(super) handed: Vec<(ShardId, Vec<JobRecord>)>,
    /// Acquired shards, each with the session that locks it.
    pub(super) acquired: Vec<(ShardId, String, Acquired)>,
}

impl Errand {
    /// Asks until the store gives no answer.
    pub(super) async fn run(self) -> Found {
        let mut found = Found::default();
        for shard in self.inboxes {
            match acquire::handed(&self.store, &shard).await {
                Ok(records) => found.handed.push((shard, records)),
                Err(_) => return found,
            }
        }
        let session = self.session.id;
        for shard in self.vacant {
            match acquire::acquire(&self.store, &shard, &session, &self.name).await {
                Ok(Some(acquired)) => found.acquired.push((shard, session.clone(), acquired)),
                Ok(None) => {}
                Err(error) => {
                    log::warn!("shard {shard} could not be acquired: {error}");
                    return found;
                }
            }
        }
        found
    }
}
