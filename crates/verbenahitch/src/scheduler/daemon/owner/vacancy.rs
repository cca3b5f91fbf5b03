//! Reads the inboxes of owned shards and acquires shards without an owner.

use super::{INBOX_ROUNDS, Owner};
use crate::collections::HashSet;
use crate::domain::{Monotonic, ShardId};
use crate::membership::AcquireDecision;
use crate::scheduler::daemon::driver::Message;
use crate::scheduler::daemon::session::Session;
use crate::scheduler::daemon::store_poll::{PollResult, StorePoll};

impl Owner {
    /// Applies the result of the last poll and starts the next one if it is due.
    ///
    /// The poll runs in the background: the store may answer slowly, and drivers need updates of
    /// permits and leases meanwhile.
    pub(super) async fn poll_store(&mut self, session: &Session, now: Monotonic) {
        if self.poll.as_ref().is_some_and(|poll| !poll.is_finished()) {
            return;
        }
        if let Some(poll) = self.poll.take() {
            let result = poll.await.unwrap_or_default();
            self.apply_poll(result, session);
        }
        let due_inboxes: Vec<ShardId> = if self.rounds >= self.next_inbox_round {
            self.next_inbox_round = self.rounds + INBOX_ROUNDS;
            self.owned.keys().cloned().collect()
        } else {
            Vec::new()
        };
        let to_acquire = self.shards_to_acquire(now);
        if due_inboxes.is_empty() && to_acquire.is_empty() {
            return;
        }
        let poll = StorePoll {
            store: self.store.clone(),
            session: session.clone(),
            name: self.name.clone(),
            due_inboxes,
            to_acquire,
        };
        self.poll = Some(tokio::spawn(poll.run()));
    }

    pub(super) fn apply_poll(&mut self, result: PollResult, session: &Session) {
        for (shard, records) in result.handed_over {
            let Some(owned) = self.owned.get_mut(&shard) else {
                continue;
            };
            for record in records {
                if owned.forwarded.insert(record.id.clone()) {
                    owned
                        .sender
                        .send(Message::HandedOver(Box::new(record)))
                        .ok();
                }
            }
        }
        for (shard, session_id, acquired) in result.acquired {
            // A shard acquired under an earlier session is not locked by this one.
            if session_id == session.id {
                let owned = self.start_driver(&shard, session, acquired);
                self.owned.insert(shard, owned);
            }
        }
    }

    /// Shards that have no known owner and that this process should acquire now.
    pub(super) fn shards_to_acquire(&mut self, now: Monotonic) -> Vec<ShardId> {
        let declarations = self.current.load();
        let members = self.handle.members();
        let claimed: HashSet<&str> = members
            .iter()
            .flat_map(|member| member.shards.iter().map(|claim| claim.shard.as_str()))
            .collect();
        let mut wanted = Vec::new();
        for shard in declarations.shards() {
            if self.cooldowns.get(&shard).is_some_and(|until| now < *until) {
                continue;
            }
            if self.owned.contains_key(&shard) || claimed.contains(shard.to_string().as_str()) {
                self.vacant_since.remove(&shard);
                continue;
            }
            let since = *self.vacant_since.entry(shard.clone()).or_insert(now);
            match AcquireDecision::of(&shard, &self.name, &members, self.settings.peers.timeout_ms)
            {
                AcquireDecision::Now => wanted.push(shard),
                AcquireDecision::After(delay) if now.since(since) >= delay => wanted.push(shard),
                AcquireDecision::After(_) | AcquireDecision::No => {}
            }
        }
        wanted
    }
}
