//! Hand-over of the ownership to a host that can carry more.
//!
//! The last transaction of a term puts the successor's record into the owner's key. It
//! has the conditions of a commit, so no commit of this term can follow it. A host that
//! still reads the state gives the ownership away at once.

use tokio::sync::{mpsc, watch};

use super::driver::Driver;
use super::{Outcome, OwnerEvent};
use crate::domain::Millis;
use crate::entry::election::Term;
use crate::entry::host::Shared;
use crate::entry::keys::{self, SuccessorRecord};
use crate::entry::succession::Capability;
use crate::event::{Entry, Kind};
use crate::port::{Clock, KeyValue, KvError, Platform, Put, Transaction};

/// Attempts at the transaction while its outcome is unknown.
const ATTEMPTS: u32 = 3;

impl<P: Platform> Driver<P> {
    /// Considers the request of another host for the ownership.
    pub(super) fn consider(&mut self, request: SuccessorRecord) -> Option<Outcome> {
        let successor = Capability {
            share: request.owner.share,
            slow: false,
        };
        let term_ms = self.clock.now().since(self.since);
        let yields = self.capability.yields_to(successor, term_ms);
        Entry::new(Kind::OwnershipRequested)
            .with("successor", &request.owner.name)
            .with("share", successor.share)
            .with("own-share", self.capability.share)
            .with("slow", self.capability.slow)
            .with("term-ms", term_ms)
            .with("yields", yields)
            .emit();
        if !yields {
            return None;
        }
        self.successor = Some(request);
        Some(Outcome::Outranked)
    }

    /// Records the lag of a probe.
    pub(super) fn record_lag(&mut self, lag_ms: Millis) {
        let slow = self.lag.record(lag_ms);
        if slow != self.capability.slow {
            self.capability.slow = slow;
            Entry::new(Kind::OwnerLag)
                .with("lag-ms", self.lag.mean_ms().round())
                .with("slow", slow)
                .emit();
            self.publish_slow(slow);
        }
    }

    /// Publishes whether this owner is slow. The key is removed with the owner's lease.
    fn publish_slow(&mut self, slow: bool) {
        let mut transaction = Transaction {
            expected: vec![(keys::OWNER.to_owned(), self.term.fence)],
            ..Transaction::default()
        };
        if slow {
            transaction.puts.push(Put {
                key: keys::SLOW.to_owned(),
                value: keys::encode(&self.term.fence),
                lease: self.term.lease,
            });
        } else {
            transaction.removes.push(keys::SLOW.to_owned());
        }
        let kv = self.shared.platform.kv().clone();
        self.calls.spawn_local(async move {
            if let Err(error) = kv.commit(&transaction).await {
                log::info!("the state of the owner's event loop was not published: {error}");
            }
        });
    }

    /// Gives the ownership to the successor; returns the outcome of the term, or `None`
    /// if this host remains owner.
    pub(super) async fn hand_over(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<OwnerEvent>,
    ) -> Option<Outcome> {
        let request = self.successor.take()?;
        if let Some(outcome) = self.finish_commit(events).await {
            return Some(outcome);
        }
        if self.pending_commit.is_some() {
            return None;
        }
        let transaction = Transaction {
            expected: vec![
                (keys::OWNER.to_owned(), self.term.fence),
                (keys::COMMIT.to_owned(), self.commit_revision),
            ],
            puts: [Put {
                key: keys::OWNER.to_owned(),
                value: keys::encode(&request.owner),
                lease: request.lease,
            }]
            .into_iter()
            .chain(self.retirement(true))
            .collect(),
            removes: vec![keys::SUCCESSOR.to_owned(), keys::SLOW.to_owned()],
        };
        replace_owner(self.shared.platform.kv(), &transaction, self.term.fence).await
    }
}

/// Request of a host that can carry more than this one, next after those seen.
pub(super) async fn next_request<P: Platform>(
    shared: &Shared<P>,
    offered: &mut watch::Receiver<Option<SuccessorRecord>>,
) -> SuccessorRecord {
    loop {
        if offered.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        let Some(request) = offered.borrow_and_update().clone() else {
            continue;
        };
        let successor = Capability {
            share: request.owner.share,
            slow: false,
        };
        if successor.should_succeed(shared.capability()) {
            return request;
        }
    }
}

/// Gives the ownership to the successor before anything was dispatched, so that there is
/// nothing to leave to it; `None` if this host remains owner.
pub(super) async fn concede<P: Platform>(
    shared: &Shared<P>,
    term: Term,
    request: SuccessorRecord,
) -> Option<Outcome> {
    Entry::new(Kind::OwnershipRequested)
        .with("successor", &request.owner.name)
        .with("share", request.owner.share)
        .with("own-share", shared.settings.share)
        .with("reading", true)
        .with("yields", true)
        .emit();
    let transaction = Transaction {
        expected: vec![(keys::OWNER.to_owned(), term.fence)],
        puts: vec![Put {
            key: keys::OWNER.to_owned(),
            value: keys::encode(&request.owner),
            lease: request.lease,
        }],
        removes: vec![keys::SUCCESSOR.to_owned()],
    };
    replace_owner(shared.platform.kv(), &transaction, term.fence).await
}

/// Carries out the transaction that gives the ownership away; returns the outcome of the
/// term, or `None` if this host remains owner.
async fn replace_owner<K: KeyValue>(
    kv: &K,
    transaction: &Transaction,
    fence: u64,
) -> Option<Outcome> {
    let mut may_be_applied = false;
    for _ in 0..ATTEMPTS {
        match kv.commit(transaction).await {
            Ok(_) => return Some(Outcome::HandedOver),
            // This attempt had no effect, such as when the successor has withdrawn.
            Err(
                KvError::NoLease
                | KvError::Refused { .. }
                | KvError::Rejected { .. }
                | KvError::Compacted,
            ) => {
                return may_be_applied.then_some(Outcome::HandedOver);
            }
            Err(KvError::Conflict { items }) => {
                let owner = items.iter().find(|item| item.key == keys::OWNER);
                let is_owner = owner.is_some_and(|item| item.revision == fence);
                return Some(match owner {
                    None => Outcome::LeaseEnded,
                    Some(_) if is_owner => Outcome::Superseded,
                    Some(_) => Outcome::HandedOver,
                });
            }
            Err(KvError::Unanswered { cause }) => {
                may_be_applied = true;
                log::info!("no answer to the hand-over, which is sent again: {cause}");
            }
        }
    }
    Some(Outcome::HandedOver)
}
