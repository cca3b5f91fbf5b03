//! Refusals that stay true: the digest that a host decides by, and the store's key that
//! excludes a refused job.
//!
//! Load pattern: overload, while answers of the store are lost and writes are carried out
//! seconds late. An earlier attempt to submit the same job, perhaps at another host, may be
//! such a write. A refusal therefore creates a key, in one transaction that fails if the job
//! is stored, and an [acceptance](super::acceptance) names that key's revision. The key is
//! attached to a lease, so that it goes away by itself.

use std::cell::RefCell;

use super::admission::{self, KnownDigest, Refusal};
use super::keys;
use super::lease::SharedLease;
use super::link::{Inbox, SentDigest};
use crate::dispatch::{JobId, JobRecord};
use crate::domain::{Millis, Monotonic};
use crate::port::{Clock, KeyValue, KvError, Put, SystemClock, Transaction, find};

/// Length of the leases of keys of refused jobs, in milliseconds. Writes are carried out
/// seconds late at most.
const LEASE_MS: Millis = 60_000;

/// Result of excluding a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The job will not run unless it is accepted later. It was first refused that many
    /// milliseconds ago.
    Excluded(Millis),
    /// The store holds the job from an earlier attempt.
    Stored,
    /// The store did not confirm it.
    Unconfirmed,
}

/// What a host needs to refuse jobs.
#[derive(Debug)]
pub struct Refusals {
    clock: SystemClock,
    known: RefCell<Option<KnownDigest>>,
    lease: SharedLease,
}

impl Default for Refusals {
    fn default() -> Self {
        Self {
            clock: SystemClock::default(),
            known: RefCell::default(),
            lease: SharedLease::new(LEASE_MS),
        }
    }
}

impl Refusals {
    /// Time by the clock of the digests.
    pub(super) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Takes a digest that the owner sent with its answer to a call made at `asked_at`. One
    /// of an earlier owner, or an older one, is dropped.
    pub(super) fn learn(&self, sent: Option<SentDigest>, asked_at: Monotonic) {
        let Some(sent) = sent else {
            return;
        };
        let measured_at = asked_at - sent.age_ms;
        let mut known = self.known.borrow_mut();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| (sent.fence, measured_at) > (known.fence, known.measured_at));
        if is_newer {
            *known = Some(KnownDigest {
                digest: sent.digest,
                fence: sent.fence,
                measured_at,
            });
        }
    }

    /// Decides on a job; `fence` is that of the owner which the store names.
    pub(super) fn decide(
        &self,
        record: &JobRecord,
        inbox: &Inbox,
        fence: Option<u64>,
    ) -> Option<Refusal> {
        let now = self.clock.now();
        self.learn(inbox.digest(), now);
        admission::decide(record, self.known.borrow().as_ref(), fence, now)
    }

    /// Excludes a job that the store does not hold.
    pub async fn exclude<K: KeyValue>(&self, kv: &K, id: JobId) -> Exclusion {
        let lease = match self.lease.get(kv).await {
            Ok(lease) => lease,
            Err(error) => {
                log::info!("no lease for refused jobs, they are accepted: {error}");
                return Exclusion::Unconfirmed;
            }
        };
        let wall_ms = self.clock.wall_ms();
        let key = keys::refused(id);
        let mut revision = 0;
        let mut first_ms = wall_ms;
        // The second attempt is for a job that was refused before.
        for _ in 0..2 {
            let transaction = Transaction {
                expected: vec![(keys::job(id), 0), (key.clone(), revision)],
                puts: vec![Put {
                    key: key.clone(),
                    value: keys::encode(&first_ms),
                    lease,
                }],
                removes: Vec::new(),
            };
            match kv.commit(&transaction).await {
                Ok(_) => return Exclusion::Excluded(wall_ms.saturating_sub(first_ms)),
                Err(KvError::Conflict { items }) => {
                    if find(&items, &keys::job(id)).is_some() {
                        return Exclusion::Stored;
                    }
                    let Some(item) = find(&items, &key) else {
                        return Exclusion::Unconfirmed;
                    };
                    revision = item.revision;
                    first_ms = item.decode().unwrap_or_else(|error| {
                        log::warn!("{key} cannot be parsed, its time counts as now: {error}");
                        wall_ms
                    });
                }
                Err(error) => {
                    if error == KvError::NoLease {
                        self.lease.forget();
                    }
                    log::info!("job {id} was not excluded: {error}");
                    return Exclusion::Unconfirmed;
                }
            }
        }
        Exclusion::Unconfirmed
    }
}
