//! Refusals that stay true: the digest that a host decides by, and the store's key that
//! excludes a refused job.
//!
//! Load pattern: overload, while answers of the store are lost and writes are carried out
//! seconds late. An earlier attempt to submit the same job, perhaps at another host, may be
//! such a write. A refusal therefore creates a key, in one transaction that fails if the job
//! is stored, and an acceptance names that key's revision. The key is attached to a lease, so
//! that it goes away by itself.

use std::cell::{Cell, RefCell};

use super::admission::{self, KnownDigest, Refusal};
use super::intake::IntakeOutcome;
use super::keys;
use super::link::{Inbox, SentDigest};
use crate::dispatch::{JobId, JobRecord};
use crate::domain::{Millis, Monotonic};
use crate::port::{Clock, Item, KeyValue, KvError, Put, SystemClock, Transaction};

/// Length of the leases of keys of refused jobs, in milliseconds. Writes are carried out
/// seconds late at most.
const LEASE_MS: Millis = 60_000;

/// Age up to which a lease gets further keys, in milliseconds.
const LEASE_USE_MS: Millis = 30_000;

/// Largest number of times that a write is sent: again after a lost answer, and again if
/// its job was refused before.
const STORE_ATTEMPTS: usize = 3;

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
#[derive(Debug, Default)]
pub struct Refusals {
    clock: SystemClock,
    known: RefCell<Option<KnownDigest>>,
    /// Lease of the keys, with the time of its grant.
    lease: Cell<Option<(u64, Monotonic)>>,
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
        let Some(lease) = self.lease(kv).await else {
            return Exclusion::Unconfirmed;
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
                        self.lease.set(None);
                    }
                    log::info!("job {id} was not excluded: {error}");
                    return Exclusion::Unconfirmed;
                }
            }
        }
        Exclusion::Unconfirmed
    }

    async fn lease<K: KeyValue>(&self, kv: &K) -> Option<u64> {
        let now = self.clock.now();
        if let Some((lease, since)) = self.lease.get()
            && now.since(since) <= LEASE_USE_MS
        {
            return Some(lease);
        }
        match kv.grant(LEASE_MS).await {
            Ok(lease) => {
                self.lease.set(Some((lease, now)));
                Some(lease)
            }
            Err(error) => {
                log::info!("no lease for refused jobs, they are accepted: {error}");
                None
            }
        }
    }
}

/// Creates a key. An existing key counts as stored: it is from an earlier attempt. The
/// key that excludes a `refused` job is removed.
pub async fn create<K: KeyValue>(
    kv: &K,
    key: String,
    value: Vec<u8>,
    refused: Option<String>,
) -> IntakeOutcome {
    let mut transaction = Transaction {
        expected: vec![(key.clone(), 0)],
        puts: vec![Put::persistent(key.clone(), value)],
        removes: Vec::new(),
    };
    transaction.expected.extend(refused.map(|key| (key, 0)));
    let mut was_unanswered = false;
    for _ in 0..STORE_ATTEMPTS {
        match kv.commit(&transaction).await {
            Ok(_) => return IntakeOutcome::Stored,
            Err(KvError::Conflict { items }) => {
                if !expect_refusal(&mut transaction, &items) {
                    return IntakeOutcome::Stored;
                }
            }
            Err(KvError::Unanswered { cause }) if !was_unanswered => {
                log::info!("no answer to a write of {key}, which is sent again: {cause}");
                was_unanswered = true;
            }
            Err(error) if was_unanswered => {
                log::warn!("a write of {key} may or may not have been applied: {error}");
                return IntakeOutcome::Unknown;
            }
            Err(KvError::Rejected { cause }) => {
                log::warn!("the store rejects {key} as it is: {cause}");
                return IntakeOutcome::Unstorable;
            }
            Err(error) => {
                log::info!("the store refused a write: {error}");
                return IntakeOutcome::Refused;
            }
        }
    }
    log::info!("{key} was refused elsewhere meanwhile");
    if was_unanswered {
        IntakeOutcome::Unknown
    } else {
        IntakeOutcome::Refused
    }
}

/// Lets a transaction expect the key of a refused job as a conflict shows it, or its absence
/// if its lease has ended meanwhile. False if the transaction's own key exists.
fn expect_refusal(transaction: &mut Transaction, items: &[Item]) -> bool {
    let [(key, _), (refused, revision)] = transaction.expected.as_mut_slice() else {
        return false;
    };
    if find(items, key).is_some() {
        return false;
    }
    let item = find(items, refused);
    *revision = item.map_or(0, |item| item.revision);
    transaction.removes = item.map(|_| refused.clone()).into_iter().collect();
    true
}

/// Item with that key among those of a conflict.
fn find<'a>(items: &'a [Item], key: &str) -> Option<&'a Item> {
    items
        .iter()
        .find(|item| item.key == key && item.revision > 0)
}
