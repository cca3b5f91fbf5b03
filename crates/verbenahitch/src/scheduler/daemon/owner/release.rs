//! Giving shards up: on a planned stop, and to schedulers that should rather own them.

use super::Owner;
use crate::domain::{Monotonic, ShardId};
use crate::event::Kind;
use crate::membership;
use crate::scheduler::daemon::acquire;
use crate::scheduler::daemon::driver::{Ended, Message, ownership};
use crate::scheduler::daemon::session::Session;

/// Looks between two thoughts about giving a shard to another scheduler.
const BALANCE_LOOKS: u64 = 25;

/// Time for which a shard that was given up is left to others, in milliseconds.
const SHUN_MS: u64 = 15_000;

impl Owner {
    /// Hands a shard to a scheduler that should rather own it, one at a time.
    pub(super) fn balance(&mut self, session: &Session, now: Monotonic) {
        while self.leaving.try_join_next().is_some() {}
        if !self.looks.is_multiple_of(BALANCE_LOOKS) || !self.leaving.is_empty() {
            return;
        }
        let members = self.handle.members();
        let surplus = membership::surplus(&self.name, &members, self.settings.peers.timeout_ms);
        let Some(name) = surplus else {
            return;
        };
        let owned = self.owned.keys().find(|shard| shard.to_string() == name);
        if let Some(shard) = owned.cloned() {
            self.shunned.insert(shard.clone(), now + SHUN_MS);
            self.give_up(shard, session);
        }
    }

    /// Tells a driver to release its shard, and gives the shard back to the store then.
    pub(super) fn give_up(&mut self, shard: ShardId, session: &Session) {
        let Some(owned) = self.owned.remove(&shard) else {
            return;
        };
        owned.sender.send(Message::Release).ok();
        let store = self.store.clone();
        let name = self.name.clone();
        let session = session.id.clone();
        self.leaving.spawn(async move {
            let Ok(Ended::Released { settled }) = owned.driver.await else {
                return;
            };
            let released = acquire::release(&store, &shard, &session, &name, settled).await;
            ownership(Kind::ShardReleased, &shard.to_string(), owned.epoch)
                .with("in-store", released == Ok(true))
                .emit();
        });
    }

    pub(super) async fn release_all(mut self) {
        if let Some(errand) = self.errand.take() {
            // A shard that is acquired now is unlocked by the end of the session.
            errand.await.ok();
        }
        let session = self.sessions.borrow().clone();
        if let Some(session) = session {
            let shards: Vec<ShardId> = self.owned.keys().cloned().collect();
            for shard in shards {
                self.give_up(shard, &session);
            }
        }
        while self.leaving.join_next().await.is_some() {}
        self.handle.set_shards(Vec::new());
    }
}
