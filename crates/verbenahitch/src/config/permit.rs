//! Permit to start tasks in an availability zone.
//!
//! A permit lapses `permit-ms` after the latest instant at which the zone was
//! provably not known to be out of service. There are three kinds of proof:
//!
//! * The store answered a read of the declarations by this process; the instant
//!   is the sending time of the read.
//! * A peer reported that the store answered the peer's own read, and which
//!   revision it had in force; the instant is that of the peer's read.
//! * The store is unreachable for all processes: every live process reported so,
//!   and at least one of every other declared availability zone is among them.
//!   Otherwise a change accepted through a zone without a live process could not
//!   be ruled out. The instant is that of the oldest of these reports.
//!
//! A peer's report counts only if its revision is not newer than the one in
//! force in this process.

use super::Declarations;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::membership::StoreReport;
use crate::peer::StoreReports;

/// Origin of a proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProofSource {
    /// The store answered a read of this process.
    Store,
    /// The store answered a read of the named peer.
    Peer(String),
    /// No process can reach the store.
    Outage,
}

/// Proof that a zone was not known to be out of service at an instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Origin.
    pub source: ProofSource,
    /// Instant that the proof holds for.
    pub at: Monotonic,
}

/// Permit of one availability zone in one process.
#[derive(Clone, Debug)]
pub struct Permit {
    permit_ms: Millis,
    until: Monotonic,
    lapsed: bool,
}

impl Permit {
    /// Creates a lapsed permit that each proof extends to `permit_ms` after its instant.
    pub fn new(permit_ms: Millis) -> Self {
        Self {
            permit_ms,
            until: Monotonic::default(),
            lapsed: true,
        }
    }

    /// Instant at which the permit lapses.
    pub fn until(&self) -> Monotonic {
        self.until
    }

    /// Evaluates all evidence at `now` and returns the instant at which the permit lapses.
    ///
    /// `store_contact` is the sending time of this process's newest answered read
    /// of the declarations; `declarations` are those in force in this process.
    pub fn evaluate(
        &mut self,
        store_contact: Option<Monotonic>,
        store_reports: &StoreReports,
        declarations: &Declarations,
        zone: &str,
        now: Monotonic,
    ) -> Monotonic {
        if !declarations.is_in_service(zone) {
            self.until = Monotonic::default();
            return self.until;
        }
        let reports = &store_reports.reports;
        let own = store_contact.map(|at| Proof {
            source: ProofSource::Store,
            at,
        });
        let peers = reports
            .iter()
            .filter_map(|report| peer_proof(report, declarations.revision));
        let outage = self.outage_proof(store_contact, reports, declarations, zone, now);
        let proofs = own.into_iter().chain(peers).chain(outage);
        if let Some(proof) = proofs.max_by_key(|proof| proof.at) {
            self.extend(&proof, now);
        }
        self.until
    }

    /// Extends the permit by one proof; never shortens it.
    pub fn extend(&mut self, proof: &Proof, now: Monotonic) {
        let at = proof.at.min(now);
        self.until = self.until.max(at + self.permit_ms);
    }

    /// Log entry if the permit has lapsed or was renewed since the last call.
    pub fn take_transition(&mut self, zone: &str, now: Monotonic) -> Option<Entry> {
        let lapsed = self.until <= now;
        if lapsed == self.lapsed {
            return None;
        }
        self.lapsed = lapsed;
        let kind = if lapsed {
            Kind::PermitLapsed
        } else {
            Kind::PermitRenewed
        };
        Some(Entry::new(kind).with("zone", zone))
    }

    fn outage_proof(
        &self,
        store_contact: Option<Monotonic>,
        reports: &[StoreReport],
        declarations: &Declarations,
        zone: &str,
        now: Monotonic,
    ) -> Option<Proof> {
        let is_recent = |at: Monotonic| now.since(at) <= self.permit_ms;
        if store_contact.is_some_and(is_recent) {
            return None;
        }
        let live: Vec<&StoreReport> = reports
            .iter()
            .filter(|report| is_recent(report.heard))
            .collect();
        let others = declarations.zones.keys().filter(|name| *name != zone);
        for other in others {
            live.iter().find(|report| report.zone == *other)?;
        }
        let mut at = now;
        for report in live {
            at = at.min(self.unreachable_at(report, declarations.revision)?);
        }
        let source = ProofSource::Outage;
        Some(Proof { source, at })
    }

    /// Instant at which the reporting process provably could not reach the store.
    fn unreachable_at(&self, report: &StoreReport, revision: u64) -> Option<Monotonic> {
        let unreachable = report.store_age_ms.is_none_or(|age| age > self.permit_ms);
        let revision_known = report.revision <= revision;
        report.made_after.filter(|_| unreachable && revision_known)
    }
}

fn peer_proof(report: &StoreReport, revision: u64) -> Option<Proof> {
    let age = report.store_age_ms?;
    let made_after = report.made_after.filter(|_| report.revision <= revision)?;
    Some(Proof {
        source: ProofSource::Peer(report.name.clone()),
        at: Monotonic(made_after.0.checked_sub(age)?),
    })
}
