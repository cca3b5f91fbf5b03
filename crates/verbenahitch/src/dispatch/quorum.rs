//! Quorum of workers: what an owner that the store does not answer may still do, and when
//! its successor may count on it having stopped.
//!
//! The store holds the names of the workers that count, the voters. An owner that is cut
//! off from the store acts while most voters answer it, and its successor, which reads
//! the same record, knows that this has ended once most voters have answered the successor:
//! they refuse the orders of the earlier owner from then on. Both must count the same
//! voters, and the record stays until the earlier owner has stopped. The registry is no
//! substitute: entries vanish while their workers go on.
//!
//! The time for which an owner acts without the store is limited as well, so that the
//! tasks of lost workers start elsewhere even if most voters are lost.
//!
//! The record also says how long the leases are that owners give. Workers allow longer ones, which
//! an incarnation may take that the owner does not know, as its clock may be behind. If a
//! successor assumed these for all runs, the standing tasks of lost workers would be away for too
//! long after an owner was killed. A run is recorded as bounded once its incarnation has listed
//! it and holds no longer lease.

use serde::Serialize;

use super::report::{Voter, VoterRecord};
use super::worker::{WorkerInfo, WorkerKey, lapse_ms};
use super::{Dispatcher, Millis, Monotonic, Worker};
use crate::collections::HashSet;

/// How long an owner acts without a confirmation by the store, in milliseconds. Longer
/// than usual outages of the store.
const OUTAGE_LIMIT_MS: Millis = 12_000;

/// Shortest time between two records of the voters, in milliseconds.
const RECORD_INTERVAL_MS: Millis = 1_000;

/// What bounds the leases of a worker that does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum LapseBound {
    /// The longest time for which an earlier owner acts without the store.
    Outage,
    /// The answers of most voters.
    Quorum,
    /// The record of an owner that retired.
    Retired,
    /// What that record says of the worker.
    Recorded,
    /// The leases that this owner gave.
    Session,
}

/// The voters as this owner and the store know them.
#[derive(Debug, Default)]
pub(super) struct Voters {
    /// Voters that the earlier owner counted.
    inherited: HashSet<WorkerKey>,
    /// Voters that the store holds.
    stored: HashSet<WorkerKey>,
    /// Longest lease that earlier owners gave to bounded runs, none if they recorded none.
    inherited_lease: Option<Millis>,
    /// Longest lease that the store holds, none without a record.
    stored_lease: Option<Millis>,
    /// Voters and lease that are being written; the store may hold either.
    writing: Option<(HashSet<WorkerKey>, Millis)>,
    /// Whether the known workers have changed since the last record.
    is_dirty: bool,
    /// When the last record was taken.
    recorded_at: Option<Monotonic>,
}

impl Voters {
    /// Records that a worker was added, moved or dropped.
    pub fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }
}

impl Dispatcher {
    /// Restores the voters that the store holds. Without a record, as from a version
    /// that wrote none, the workers known so far count for the wait, and this owner has no
    /// quorum before its first record.
    pub fn restore_voters(&mut self, record: Option<VoterRecord>) {
        if let Some(VoterRecord { voters, lease_ms }) = record {
            self.voters.inherited_lease = lease_ms;
            self.voters.stored_lease = lease_ms;
            let keys: HashSet<WorkerKey> = voters.into_iter().map(|v| self.voter_key(v)).collect();
            self.voters.inherited.clone_from(&keys);
            self.voters.stored = keys;
        } else {
            self.voters.inherited = self.workers.keys().collect();
        }
        self.voters.is_dirty = true;
    }

    /// Worker of a voter; one that is unknown is added unlisted.
    fn voter_key(&mut self, voter: Voter) -> WorkerKey {
        let Voter(name, address) = voter;
        if let Some(key) = self.worker_keys.get(&name) {
            return *key;
        }
        self.add_unlisted(WorkerInfo {
            name,
            address,
            ..WorkerInfo::default()
        })
    }

    /// Takes the voters to be written with the next commit, if they have changed. While an
    /// earlier owner may act, its voters stay, so that a further owner counts them too.
    pub fn take_voters(&mut self, now: Monotonic) -> Option<VoterRecord> {
        if now < self.inherited_end() {
            return None;
        }
        let lease_ms = self.lease_to_record(now);
        let voters = &mut self.voters;
        let is_early = voters
            .recorded_at
            .is_some_and(|at| now.since(at) < RECORD_INTERVAL_MS);
        if !voters.is_dirty || is_early || voters.writing.is_some() || self.is_fenced {
            return None;
        }
        // Once earlier leases have lapsed, a record of this owner's follows.
        voters.is_dirty = lease_ms != self.bounds.lease_ms;
        voters.recorded_at = Some(now);
        let known = self.workers.iter();
        let counts = |worker: &Worker| !worker.info.address.is_empty() && !worker.is_vanished();
        let known: Vec<_> = known.filter(|(_, worker)| counts(worker)).collect();
        voters.writing = Some((known.iter().map(|(key, _)| *key).collect(), lease_ms));
        let voter = |worker: &Worker| Voter(worker.info.name.clone(), worker.info.address.clone());
        Some(VoterRecord {
            voters: known.iter().map(|(_, worker)| voter(worker)).collect(),
            lease_ms: Some(lease_ms),
        })
    }

    /// Longest lease that a bounded run has or will be given.
    fn lease_to_record(&self, now: Monotonic) -> Millis {
        let own = self.bounds.lease_ms;
        match self.voters.inherited_lease {
            Some(_) if now < self.bounded_lapse() => own.max(self.inherited_lease_ms()),
            Some(_) | None => own,
        }
    }

    /// Length of the leases that this owner gives: no longer than a successor assumes.
    pub(super) fn lease_ms(&self) -> Millis {
        let own = self.bounds.lease_ms;
        self.voters.stored_lease.map_or(own, |ms| ms.min(own))
    }

    /// Longest lease that earlier owners may have given to bounded runs. Workers shorten longer ones,
    /// whatever the record says.
    pub(super) fn inherited_lease_ms(&self) -> Millis {
        let longest = self.bounds.lease_max_ms;
        let recorded = self.voters.inherited_lease;
        recorded.map_or(longest, |lease_ms| lease_ms.min(longest))
    }

    /// Applies the commit of the voters last taken.
    pub(super) fn voters_stored(&mut self) {
        if let Some((stored, lease_ms)) = self.voters.writing.take() {
            self.voters.stored = stored;
            self.voters.stored_lease = Some(lease_ms);
        }
    }

    /// Marks the voters last taken as not stored: they are to be taken again.
    pub fn return_voters(&mut self) {
        if self.voters.writing.take().is_some() {
            self.voters.is_dirty = true;
            self.voters.recorded_at = None;
        }
    }

    /// Whether leases may be extended and runs started: the store has confirmed the
    /// ownership within `quorum_ms`, or most voters have answered within that time and
    /// the outage is not too long.
    pub(super) fn may_act(&self, now: Monotonic) -> bool {
        if self.is_fenced || self.suspended_at.is_some() {
            return false;
        }
        let unconfirmed_ms = now.since(self.ownership_at);
        unconfirmed_ms <= self.bounds.quorum_ms
            || (unconfirmed_ms <= OUTAGE_LIMIT_MS && self.has_quorum(now))
    }

    fn has_quorum(&self, now: Monotonic) -> bool {
        let limit = self.bounds.quorum_ms;
        // A worker that restarted since may have forgotten the token of a later owner.
        let confirmed_at = self.ownership_at;
        let answers = |worker: &Worker| {
            let session = worker.session.as_ref();
            session.is_some_and(|session| session.began_at <= confirmed_at)
                && worker.answered_within(now, limit)
        };
        let writing = self.voters.writing.iter().map(|(voters, _)| voters);
        let mut views = writing.chain([&self.voters.stored]);
        views.all(|voters| self.is_majority(voters, answers))
    }

    fn is_majority(&self, voters: &HashSet<WorkerKey>, counts: impl Fn(&Worker) -> bool) -> bool {
        let workers = voters.iter().filter_map(|key| self.workers.get(*key));
        workers.filter(|worker| counts(worker)).count() * 2 > voters.len()
    }

    /// Records when most voters of the earlier owner have answered this one.
    pub(super) fn check_takeover(&mut self, now: Monotonic) {
        if self.quorum_at.is_some() {
            return;
        }
        let has_answered = |worker: &Worker| worker.answered_at.is_some();
        if self.is_majority(&self.voters.inherited, has_answered) {
            self.quorum_at = Some(now);
        }
    }

    /// Whether an earlier owner may have given leases.
    pub(super) fn has_predecessor(&self) -> bool {
        !self.voters.inherited.is_empty()
    }

    /// When an earlier owner acts no more.
    pub(super) fn inherited_end(&self) -> Monotonic {
        self.inherited_bound().0
    }

    /// When an earlier owner acts no more, and what tells so.
    pub(super) fn inherited_bound(&self) -> (Monotonic, LapseBound) {
        let outage = (self.began_at + OUTAGE_LIMIT_MS, LapseBound::Outage);
        if !self.has_predecessor() {
            return (self.began_at, LapseBound::Outage);
        }
        let quorum_end = self.quorum_at.map(|at| at + self.bounds.quorum_ms);
        let quorum = quorum_end.map(|at| (at, LapseBound::Quorum));
        let retired = self.retired_end.map(|at| (at, LapseBound::Retired));
        let bounds = [Some(outage), quorum, retired];
        let earliest = bounds.into_iter().flatten().min_by_key(|(at, _)| *at);
        earliest.unwrap_or(outage)
    }

    /// When all leases that an earlier owner gave have lapsed. A worker that has restarted may
    /// have taken a lease for the longest that it allows.
    pub(super) fn inherited_lapse(&self) -> Monotonic {
        self.lapse_after_end(self.bounds.lease_max_ms)
    }

    /// When those of bounded runs have.
    pub(super) fn bounded_lapse(&self) -> Monotonic {
        self.lapse_after_end(self.inherited_lease_ms())
    }

    fn lapse_after_end(&self, lease_ms: Millis) -> Monotonic {
        self.inherited_end() + lapse_ms(lease_ms)
    }
}
