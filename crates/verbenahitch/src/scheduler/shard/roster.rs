//! Record in the store of the workers that may be running tasks of the shard.
//!
//! The list of workers may lack one that an earlier owner still uses. A worker is therefore
//! given tasks only once the store holds its address, and a new owner counts on the answers
//! of the listed workers only if all recorded ones are among them.

use std::collections::BTreeSet;

use super::Shard;
use crate::domain::{Monotonic, WorkerKey};

/// Recorded workers, by address.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// Addresses that earlier owners recorded; `None` if they are not known.
    inherited: Option<BTreeSet<String>>,
    /// Addresses in the store.
    stored: BTreeSet<String>,
    /// Addresses in the commit in flight.
    inflight: Option<BTreeSet<String>>,
}

impl Roster {
    /// Creates the roster of a new owner from what the store holds.
    pub fn new(inherited: Option<BTreeSet<String>>) -> Self {
        Self {
            stored: inherited.clone().unwrap_or_default(),
            inherited,
            inflight: None,
        }
    }

    fn holds(&self, address: &str) -> bool {
        let kept = self.inflight.as_ref();
        self.stored.contains(address) && kept.is_none_or(|kept| kept.contains(address))
    }
}

impl Shard {
    /// Whether every worker that earlier owners recorded is known under its address.
    pub(super) fn knows_roster(&self) -> bool {
        let current = self.addresses();
        let inherited = self.roster.inherited.as_ref();
        inherited.is_some_and(|inherited| inherited.is_subset(&current))
    }

    fn addresses(&self) -> BTreeSet<String> {
        let workers = self.workers.values();
        workers.map(|worker| worker.host.control.clone()).collect()
    }

    /// Addresses to be stored, if they differ from those in the store.
    ///
    /// Until the shard is recovered, those of earlier owners stay.
    pub(super) fn next_roster(&self) -> Option<BTreeSet<String>> {
        let mut next = self.addresses();
        if !self.is_recovered() {
            next.extend(self.roster.inherited.clone()?);
        }
        (next != self.roster.stored).then_some(next)
    }

    pub(super) fn begin_roster(&mut self, addresses: BTreeSet<String>) {
        self.roster.inflight = Some(addresses);
    }

    /// Opens the workers whose addresses are in the store now.
    pub(super) fn on_roster_durable(&mut self, now: Monotonic) {
        if let Some(stored) = self.roster.inflight.take() {
            self.roster.stored = stored;
            self.record_workers(now);
        }
    }

    /// Derives which workers are recorded.
    pub(super) fn record_workers(&mut self, now: Monotonic) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.record_worker(key, now);
        }
    }

    /// Derives whether a worker is recorded; if not, it is with the next commit.
    pub(super) fn record_worker(&mut self, key: WorkerKey, now: Monotonic) {
        let worker = &mut self.workers[key];
        worker.recorded = self.roster.holds(&worker.host.control);
        if !worker.recorded {
            self.committer.queue_roster();
        }
        self.refresh_worker(key, now);
    }
}
