//! One round of store calls: reads inboxes and tries to acquire vacant shards.

use super::acquire::{self, Acquired};
use super::session::Session;
use crate::adapter::Store;
use crate::domain::{JobRecord, ShardId};

/// One round of store calls.
pub(super) struct StorePoll {
    pub(super) store: Store,
    pub(super) session: Session,
    /// Name of this process, written as the owner.
    pub(super) name: String,
    /// Owned shards whose inbox is due to be read.
    pub(super) due_inboxes: Vec<ShardId>,
    /// Shards without an owner, to be acquired.
    pub(super) to_acquire: Vec<ShardId>,
}

/// Result of one round.
#[derive(Debug, Default)]
pub(super) struct PollResult {
    /// Jobs that other processes handed over, by receiving shard.
    pub(super) handed_over: Vec<(ShardId, Vec<JobRecord>)>,
    /// Acquired shards, each with the session that locks it.
    pub(super) acquired: Vec<(ShardId, String, Acquired)>,
}

impl StorePoll {
    /// Makes the calls; stops at the first that the store does not answer.
    pub(super) async fn run(self) -> PollResult {
        let mut result = PollResult::default();
        for shard in self.due_inboxes {
            match acquire::read_inbox(&self.store, &shard).await {
                Ok(records) => result.handed_over.push((shard, records)),
                Err(_) => return result,
            }
        }
        let session = self.session.id;
        for shard in self.to_acquire {
            match acquire::acquire(&self.store, &shard, &session, &self.name).await {
                Ok(Some(acquired)) => result.acquired.push((shard, session.clone(), acquired)),
                Ok(None) => {}
                Err(error) => {
                    log::warn!("shard {shard} could not be acquired: {error}");
                    return result;
                }
            }
        }
        result
    }
}
