//! Permit to start tasks of an availability zone.
//!
//! A permit lapses `permit-ms` after an instant at which the zone was certainly
//! not known to be out of service. It rests on one of three kinds of evidence:
//!
//! * the store answered a read of the declarations that was sent then;
//! * a peer said that the store had answered its own read, and which revision
//!   it had in force; the instant is that of the peer's read;
//! * the store is down for everybody: all processes that are heard said so, and
//!   at least one of every other declared availability zone is among them. A
//!   change that an unheard zone accepted could not be excluded otherwise. The
//!   instant is that of the oldest of these words.
//!
//! In each case this process must have in force what the witness had.

use super::Declarations;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::membership::Testimony;
use crate::peer::Evidence;

/// What a permit rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ground {
    /// The store answered this process.
    Store,
    /// The store answered a peer.
    Peer(String),
    /// The store answers nobody.
    Outage,
}

/// Evidence that a zone was in service at an instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    /// What it rests on.
    pub ground: Ground,
    /// Instant.
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
    /// Creates a permit that has lapsed and will last `permit_ms` at a time.
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

    /// Weighs all evidence at `now` and returns when the permit lapses.
    ///
    /// `store` is the sending time of this process's newest answered read of the
    /// declarations, `declarations` is what is in force here.
    pub fn review(
        &mut self,
        store: Option<Monotonic>,
        evidence: &Evidence,
        declarations: &Declarations,
        zone: &str,
        now: Monotonic,
    ) -> Monotonic {
        if !declarations.is_in(zone) {
            self.until = Monotonic::default();
            return self.until;
        }
        let witnesses = &evidence.testimonies;
        let own = store.map(|at| Proof {
            ground: Ground::Store,
            at,
        });
        let peers = witnesses
            .iter()
            .filter_map(|witness| peer_proof(witness, declarations.revision));
        let outage = self.outage_proof(store, witnesses, declarations, zone, now);
        let proofs = own.into_iter().chain(peers).chain(outage);
        if let Some(proof) = proofs.max_by_key(|proof| proof.at) {
            self.observe(&proof, now);
        }
        self.until
    }

    /// Takes one proof into account.
    pub fn observe(&mut self, proof: &Proof, now: Monotonic) {
        let at = proof.at.min(now);
        self.until = self.until.max(at + self.permit_ms);
    }

    /// Entry to log if the permit has lapsed or was renewed since the last call.
    pub fn turn(&mut self, zone: &str, now: Monotonic) -> Option<Entry> {
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
        store: Option<Monotonic>,
        witnesses: &[Testimony],
        declarations: &Declarations,
        zone: &str,
        now: Monotonic,
    ) -> Option<Proof> {
        let is_recent = |at: Monotonic| now.since(at) <= self.permit_ms;
        if store.is_some_and(is_recent) {
            return None;
        }
        let heard: Vec<&Testimony> = witnesses.iter().filter(|w| is_recent(w.heard)).collect();
        let others = declarations.zones.keys().filter(|name| *name != zone);
        for other in others {
            heard.iter().find(|witness| witness.zone == *other)?;
        }
        let mut at = now;
        for witness in heard {
            at = at.min(self.denial(witness, declarations.revision)?);
        }
        let ground = Ground::Outage;
        Some(Proof { ground, at })
    }

    /// Instant at which the witness certainly could not reach the store.
    fn denial(&self, witness: &Testimony, revision: u64) -> Option<Monotonic> {
        let unreached = witness.store_age_ms.is_none_or(|age| age > self.permit_ms);
        let known = witness.revision <= revision;
        witness.proven.filter(|_| unreached && known)
    }
}

fn peer_proof(witness: &Testimony, revision: u64) -> Option<Proof> {
    let age = witness.store_age_ms?;
    let proven = witness.proven.filter(|_| witness.revision <= revision)?;
    Some(Proof {
        ground: Ground::Peer(witness.name.clone()),
        at: Monotonic(proven.0.checked_sub(age)?),
    })
}
