//! Releases shards: at a planned stop, and to balance them over the schedulers.

use super::Owner;
use crate::domain::{Monotonic, ShardId};
use crate::event::Kind;
use crate::membership;
use crate::scheduler::daemon::acquire;
use crate::scheduler::daemon::driver::{Exit, Message, ownership_event};
use crate::scheduler::daemon::session::Session;

/// Reconciliation rounds between two checks for a shard to release to another scheduler.
const BALANCE_ROUNDS: u64 = 25;

/// Time for which a released shard is not acquired again, in milliseconds.
const COOLDOWN_MS: u64 = 15_000;

impl Owner {
    /// Releases a shard that another scheduler should own, one at a time.
    pub(super) fn balance(&mut self, session: &Session, now: Monotonic) {
        while self.releases.try_join_next().is_some() {}
        if !self.rounds.is_multiple_of(BALANCE_ROUNDS) || !self.releases.is_empty() {
            return;
        }
        let members = self.handle.members();
        let excess =
            membership::shard_to_release(&self.name, &members, self.settings.peers.timeout_ms);
        let Some(name) = excess else {
            return;
        };
        let owned = self.owned.keys().find(|shard| shard.to_string() == name);
        if let Some(shard) = owned.cloned() {
            self.cooldowns.insert(shard.clone(), now + COOLDOWN_MS);
            self.release_shard(shard, session);
        }
    }

    /// Tells a driver to release its shard, then releases the lock in the store.
    pub(super) fn release_shard(&mut self, shard: ShardId, session: &Session) {
        let Some(owned) = self.owned.remove(&shard) else {
            return;
        };
        owned.sender.send(Message::Release).ok();
        let store = self.store.clone();
        let name = self.name.clone();
        let session = session.id.clone();
        self.releases.spawn(async move {
            let Ok(Exit::Released { recovered }) = owned.driver.await else {
                return;
            };
            let released = acquire::release(&store, &shard, &session, &name, recovered).await;
            ownership_event(Kind::ShardReleased, &shard.to_string(), owned.epoch)
                .with("in-store", released == Ok(true))
                .emit();
        });
    }

    pub(super) async fn release_all(mut self) {
        if let Some(poll) = self.poll.take() {
            // The lock of a shard that this poll acquires is released when the session ends.
            poll.await.ok();
        }
        let session = self.sessions.borrow().clone();
        if let Some(session) = session {
            let shards: Vec<ShardId> = self.owned.keys().cloned().collect();
            for shard in shards {
                self.release_shard(shard, &session);
            }
        }
        while self.releases.join_next().await.is_some() {}
        self.handle.set_shards(Vec::new());
    }
}
