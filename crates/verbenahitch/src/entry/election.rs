//! Election of the owner by a key attached to a lease, and hand-over of the ownership.
//!
//! Load pattern: the owner crashes, hangs, loses its network or is stopped while
//! jobs arrive. All candidates wait until the key is removed. Larger hosts try
//! first; the store accepts the first write.
//!
//! A host that can carry more than the owner writes the key [`keys::SUCCESSOR`]. The
//! owner then replaces the record in its own key by the successor's, attached to the
//! successor's lease, in the last transaction of its term. So there is no moment
//! without an owner, and no third host can come between.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::sync::watch;

use super::host::{self, KnownOwner, Shared};
use super::keys::{self, OwnerRecord, SuccessorRecord};
use super::owner::Outcome;
use super::succession;
use super::watcher;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::port::{Item, KeyValue, KvError, Platform, Put, Transaction};

/// Length of the owner's lease in milliseconds. It makes up most of the time without
/// an owner after a crash, and allows three renewals at sixty times the usual
/// latency of the store.
pub(super) const LEASE_MS: Millis = 1_500;

/// Largest random addition to the delay, in milliseconds.
const JITTER_MS: Millis = 40;

/// One period of ownership.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    /// Lease that the owner's key is attached to.
    pub lease: u64,
    /// Fencing token: the revision at which the key was written.
    pub fence: u64,
}

/// Time between two requests of a host for the ownership, in milliseconds, and the time
/// over which the lag of its own event loop is measured before the first one.
const REQUEST_INTERVAL_MS: Millis = 700;

/// Lag of a host's own event loop up to which it asks for the ownership, in milliseconds.
const REQUEST_LAG_MS: Millis = 150;

/// How long a host waits for the owner's answer to its request, in milliseconds. Longer
/// than a commit at sixty times the usual latency of the store, shorter than the lease.
const ANSWER_TIMEOUT_MS: Millis = 1_200;

/// Takes part in elections until the host stops.
pub(super) async fn campaign<P: Platform>(shared: &Rc<Shared<P>>) {
    let mut owner = shared.owner.subscribe();
    let mut skip_wait = false;
    let mut unread = 0;
    loop {
        if *shared.stopping.borrow() {
            return;
        }
        let attempt = if skip_wait {
            elect(shared).await
        } else {
            match wait_for_chance(shared, &mut owner, unread).await {
                Some(Chance::Vacancy) => elect(shared).await,
                Some(Chance::Succession(fence)) => succeed(shared, &mut owner, fence).await,
                None => return,
            }
        };
        skip_wait = false;
        match attempt {
            Ok(Some(term)) => {
                Entry::new(Kind::OwnerElected)
                    .with("fence", term.fence)
                    .with("share", shared.settings.share)
                    .emit();
                let outcome = host::run_owner(shared, term).await;
                Entry::new(Kind::OwnerLost)
                    .with("fence", term.fence)
                    .with_text("cause", format!("{outcome:?}"))
                    .emit();
                shared.owner.send_if_modified(|owner| {
                    let is_own = owner.as_ref().is_some_and(|held| held.fence == term.fence);
                    if is_own {
                        *owner = None;
                    }
                    is_own
                });
                skip_wait = outcome == Outcome::LeaseEnded;
                unread = match outcome {
                    Outcome::Unreadable => unread + 1,
                    Outcome::LeaseEnded
                    | Outcome::Superseded
                    | Outcome::Outranked
                    | Outcome::HandedOver
                    | Outcome::Stopped => 0,
                };
            }
            Ok(None) => watcher::back_off().await,
            Err(error) => {
                log::info!("the attempt to become owner failed: {error}");
                watcher::back_off().await;
            }
        }
    }
}

/// Reason to try to become owner.
enum Chance {
    /// There is no owner.
    Vacancy,
    /// The owner with this fencing token can carry less than this host.
    Succession(u64),
}

/// Waits until this host should try to become owner; `None` when the host is dropped.
/// `unread` is the number of its last terms in a row in which it could not read the state.
async fn wait_for_chance<P: Platform>(
    shared: &Shared<P>,
    owner: &mut watch::Receiver<Option<KnownOwner>>,
    unread: u32,
) -> Option<Chance> {
    let step_back = succession::step_back_ms(unread);
    loop {
        if *shared.stopping.borrow() {
            return None;
        }
        let known = owner.borrow_and_update().clone();
        match known {
            None if shared.knows_owner.get() => {
                let wait = shared.capability().rank_wait(shared.largest_share.get());
                let jitter = rand::rng().random_range(0..=JITTER_MS);
                tokio::time::sleep(Duration::from_millis(wait + jitter + step_back)).await;
                if owner.borrow_and_update().is_none() && shared.knows_owner.get() {
                    return Some(Chance::Vacancy);
                }
                continue;
            }
            Some(known) if shared.capability().should_succeed(known.capability()) => {
                let jitter = rand::rng().random_range(0..REQUEST_INTERVAL_MS);
                let wait = Duration::from_millis(REQUEST_INTERVAL_MS + jitter + step_back);
                let began = Instant::now();
                // The term may end first. A vacancy lasts only until some host takes it.
                let has_changed = |held: &Option<KnownOwner>| {
                    held.as_ref().is_none_or(|held| held.fence != known.fence)
                };
                if let Ok(changed) = tokio::time::timeout(wait, owner.wait_for(has_changed)).await {
                    changed.ok()?;
                    continue;
                }
                let lag = began.elapsed().saturating_sub(wait);
                let is_on_time = lag <= Duration::from_millis(REQUEST_LAG_MS);
                let is_unchanged = owner
                    .borrow()
                    .as_ref()
                    .is_some_and(|held| held.fence == known.fence && held.slow == known.slow);
                if is_on_time && is_unchanged && shared.is_store_up() && shared.knows_owner.get() {
                    return Some(Chance::Succession(known.fence));
                }
                continue;
            }
            None | Some(_) => {}
        }
        owner.changed().await.ok()?;
    }
}

/// Asks the owner with the token `fence` for the ownership; `None` if it keeps it.
async fn succeed<P: Platform>(
    shared: &Shared<P>,
    owner: &mut watch::Receiver<Option<KnownOwner>>,
    fence: u64,
) -> Result<Option<Term>, KvError> {
    let kv = shared.platform.kv();
    let lease = kv.grant(LEASE_MS).await?;
    let record = own_record(shared);
    let nonce = record.nonce;
    let request = SuccessorRecord {
        owner: record,
        lease,
    };
    let mut transaction = Transaction {
        expected: vec![
            (keys::OWNER.to_owned(), fence),
            (keys::SUCCESSOR.to_owned(), 0),
        ],
        puts: vec![Put {
            key: keys::SUCCESSOR.to_owned(),
            value: keys::encode(&request),
            lease,
        }],
        removes: Vec::new(),
    };
    let mut result = kv.commit(&transaction).await;
    if let Err(KvError::Conflict { items }) = &result
        && let Some(revision) = odd_request(items)
    {
        // No owner can grant it, and perhaps no lease ends it.
        transaction.expected[1].1 = revision;
        result = kv.commit(&transaction).await;
    }
    match result {
        Ok(_) | Err(KvError::Unanswered { .. }) => {}
        Err(error) => {
            revoke_lease(kv, lease).await;
            return match error {
                KvError::Conflict { .. } | KvError::NoLease => Ok(None),
                error => Err(error),
            };
        }
    }
    let is_own = |known: &Option<KnownOwner>| {
        known
            .as_ref()
            .is_some_and(|known| known.record.nonce == nonce)
    };
    let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
    let answer = tokio::time::timeout(limit, owner.wait_for(is_own)).await;
    if let Ok(Ok(known)) = answer
        && let Some(known) = known.as_ref()
    {
        return Ok(Some(Term {
            lease,
            fence: known.fence,
        }));
    }
    // Also removes the owner's key if the owner has just handed it over.
    revoke_lease(kv, lease).await;
    Ok(None)
}

/// Revision of a request for the ownership that cannot be read, as a conflict shows it.
fn odd_request(items: &[Item]) -> Option<u64> {
    let mut items = items.iter();
    let request = items.find(|item| item.key == keys::SUCCESSOR && item.revision > 0)?;
    let is_odd = request.decode::<SuccessorRecord>().is_err();
    is_odd.then_some(request.revision)
}

fn own_record<P: Platform>(shared: &Shared<P>) -> OwnerRecord {
    OwnerRecord {
        name: shared.settings.name.clone(),
        address: shared.settings.address.to_string(),
        nonce: rand::rng().random(),
        share: shared.settings.share,
    }
}

/// Tries to create the owner's key; `None` if another host holds it.
async fn elect<P: Platform>(shared: &Shared<P>) -> Result<Option<Term>, KvError> {
    let kv = shared.platform.kv();
    let lease = kv.grant(LEASE_MS).await?;
    let record = own_record(shared);
    let transaction = Transaction {
        expected: vec![(keys::OWNER.to_owned(), 0)],
        puts: vec![Put {
            key: keys::OWNER.to_owned(),
            value: keys::encode(&record),
            lease,
        }],
        removes: Vec::new(),
    };
    match kv.commit(&transaction).await {
        Ok(fence) => Ok(Some(Term { lease, fence })),
        Err(KvError::Conflict { .. } | KvError::NoLease) => {
            revoke_lease(kv, lease).await;
            Ok(None)
        }
        Err(KvError::Unanswered { cause }) => {
            log::info!("no answer to the creation of the owner's key: {cause}");
            // The store may have created the key all the same; the nonce identifies it.
            let held = kv.get(keys::OWNER).await?;
            let own_key = held.filter(|item| {
                item.decode::<OwnerRecord>()
                    .is_ok_and(|held| held.nonce == record.nonce)
            });
            if own_key.is_none() {
                revoke_lease(kv, lease).await;
            }
            Ok(own_key.map(|item| Term {
                lease,
                fence: item.revision,
            }))
        }
        Err(error) => {
            revoke_lease(kv, lease).await;
            Err(error)
        }
    }
}

/// Revokes a lease, so that its key is removed at once instead of when it expires.
pub(super) async fn revoke_lease<K: KeyValue>(kv: &K, lease: u64) {
    if let Err(error) = kv.revoke(lease).await {
        log::info!("lease {lease} could not be revoked and will expire: {error}");
    }
}
