//! Calls to the store for inboxes and for shards that nobody owns.

use super::{INBOX_LOOKS, Owner};
use crate::collections::HashSet;
use crate::domain::{Monotonic, ShardId};
use crate::membership::Choice;
use crate::scheduler::daemon::driver::Message;
use crate::scheduler::daemon::errand::{Errand, Found};
use crate::scheduler::daemon::session::Session;

impl Owner {
    /// Takes in what the store said, and asks it for what is due next.
    ///
    /// The store may take long to answer; permits and leases are fed meanwhile.
    pub(super) async fn consult_store(&mut self, session: &Session, now: Monotonic) {
        if self
            .errand
            .as_ref()
            .is_some_and(|errand| !errand.is_finished())
        {
            return;
        }
        if let Some(errand) = self.errand.take() {
            let found = errand.await.unwrap_or_default();
            self.take_in(found, session);
        }
        let inboxes: Vec<ShardId> = if self.looks >= self.inbox_due {
            self.inbox_due = self.looks + INBOX_LOOKS;
            self.owned.keys().cloned().collect()
        } else {
            Vec::new()
        };
        let vacant = self.wanted(now);
        if inboxes.is_empty() && vacant.is_empty() {
            return;
        }
        let errand = Errand {
            store: self.store.clone(),
            session: session.clone(),
            name: self.name.clone(),
            inboxes,
            vacant,
        };
        self.errand = Some(tokio::spawn(errand.run()));
    }

    pub(super) fn take_in(&mut self, found: Found, session: &Session) {
        for (shard, records) in found.handed {
            let Some(owned) = self.owned.get_mut(&shard) else {
                continue;
            };
            for record in records {
                if owned.handed.insert(record.id.clone()) {
                    owned.sender.send(Message::Handed(Box::new(record))).ok();
                }
            }
        }
        for (shard, under, acquired) in found.acquired {
            if under == session.id {
                let owned = self.drive(&shard, session, acquired);
                self.owned.insert(shard, owned);
            }
        }
    }

    /// Shards that nobody is known to own and that this process should take now.
    pub(super) fn wanted(&mut self, now: Monotonic) -> Vec<ShardId> {
        let declared = self.current.load();
        let members = self.handle.members();
        let claimed: HashSet<&str> = members
            .iter()
            .flat_map(|member| member.shards.iter().map(|claim| claim.shard.as_str()))
            .collect();
        let mut wanted = Vec::new();
        for shard in declared.shards() {
            if self.shunned.get(&shard).is_some_and(|until| now < *until) {
                continue;
            }
            if self.owned.contains_key(&shard) || claimed.contains(shard.to_string().as_str()) {
                self.vacant.remove(&shard);
                continue;
            }
            let since = *self.vacant.entry(shard.clone()).or_insert(now);
            match Choice::of(&shard, &self.name, &members, self.settings.peers.timeout_ms) {
                Choice::Now => wanted.push(shard),
                Choice::After(delay) if now.since(since) >= delay => wanted.push(shard),
                Choice::After(_) | Choice::No => {}
            }
        }
        wanted
    }
}
