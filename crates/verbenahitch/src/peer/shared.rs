//! State that the node's thread and the handles share without locks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};

use super::Identity;
use crate::adapter::Store;
use crate::config::CurrentDeclarations;
use crate::domain::Monotonic;
use crate::membership::{Member, OwnedShard, StoreReport};
use crate::port::Clock;

/// Reports of the other processes on their contact with the store.
#[derive(Clone, Debug, Default)]
pub struct StoreReports {
    /// Newest report of each known process except this one.
    pub reports: Arc<Vec<StoreReport>>,
}

pub(super) struct Shared {
    pub(super) identity: Identity,
    pub(super) address: SocketAddr,
    pub(super) token: String,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) current: CurrentDeclarations,
    pub(super) members: ArcSwap<Vec<Member>>,
    pub(super) store_reports: ArcSwap<Vec<StoreReport>>,
    pub(super) shards: ArcSwap<Vec<OwnedShard>>,
    pub(super) store: ArcSwapOption<Store>,
    pub(super) leaving: AtomicBool,
    /// Sending time of the newest call that the store answered, plus one; zero for never.
    store_contact: AtomicU64,
    permit_until: AtomicU64,
    incarnation: AtomicU64,
    beat: AtomicU64,
}

impl Shared {
    pub(super) fn new(
        identity: Identity,
        address: SocketAddr,
        token: String,
        current: CurrentDeclarations,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            incarnation: AtomicU64::new(identity.incarnation),
            identity,
            address,
            token,
            clock,
            current,
            members: ArcSwap::default(),
            store_reports: ArcSwap::default(),
            shards: ArcSwap::default(),
            store: ArcSwapOption::empty(),
            leaving: AtomicBool::new(false),
            store_contact: AtomicU64::new(0),
            permit_until: AtomicU64::new(0),
            beat: AtomicU64::new(0),
        }
    }

    pub(super) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    pub(super) fn set_store_contact(&self, sent: Monotonic) {
        let sent = sent.0.saturating_add(1);
        self.store_contact.fetch_max(sent, Ordering::Relaxed);
    }

    pub(super) fn store_contact(&self) -> Option<Monotonic> {
        let contact = self.store_contact.load(Ordering::Relaxed);
        contact.checked_sub(1).map(Monotonic)
    }

    pub(super) fn set_permit(&self, until: Monotonic) {
        self.permit_until.store(until.0, Ordering::Relaxed);
    }

    /// Raises the incarnation above `other`, that of an earlier process of the same name.
    pub(super) fn raise_incarnation(&self, other: u64) {
        let above = other.saturating_add(1);
        self.incarnation.fetch_max(above, Ordering::Relaxed);
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// New record of this process.
    pub(super) fn record(&self) -> Member {
        let now = self.now();
        let store_age_ms = self.store_contact().map(|sent| now.since(sent));
        let permit_until = Monotonic(self.permit_until.load(Ordering::Relaxed));
        Member {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            role: self.identity.role,
            address: self.address,
            incarnation: self.incarnation(),
            beat: self.beat.fetch_add(1, Ordering::Relaxed),
            // Read after the store age: a record must not combine a new store
            // contact with a revision from before it.
            revision: self.current.load().revision,
            store_age_ms,
            permit_left_ms: permit_until.since(now),
            shards: self.shards.load().to_vec(),
            leaving: self.leaving.load(Ordering::Relaxed),
            age_ms: 0,
        }
    }
}
