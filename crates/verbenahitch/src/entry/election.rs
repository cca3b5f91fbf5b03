//! Election of the owner by a key attached to a lease.
//!
//! Load pattern: the owner crashes, hangs, loses its network or is stopped while
//! jobs arrive. All candidates wait until the key is removed. Larger hosts try
//! first; the store accepts the first write.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::host::{self, Shared};
use super::keys::{self, OwnerRecord};
use super::owner::Outcome;
use super::watcher;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::port::{KeyValue, KvError, Platform, Put, Transaction};

/// Length of the owner's lease in milliseconds. It makes up most of the time without
/// an owner after a crash, and allows three renewals at sixty times the usual
/// latency of the store.
pub(super) const LEASE_MS: Millis = 1_500;

/// Delay of the smallest host before it tries, in milliseconds; larger hosts wait less.
const RANK_WAIT_MS: f64 = 120.0;

/// Largest random addition to the delay, in milliseconds.
const JITTER_MS: Millis = 40;

/// One period of ownership.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    /// Lease that the owner's key is attached to.
    pub lease: u64,
    /// Fencing token: the revision at which the key was created.
    pub fence: u64,
}

/// Takes part in elections until the host stops.
pub(super) async fn campaign<P: Platform>(shared: &Rc<Shared<P>>) {
    let mut owner = shared.owner.subscribe();
    let mut skip_wait = false;
    loop {
        if *shared.stopping.borrow() {
            return;
        }
        if !skip_wait {
            wait_for_vacancy(shared, &mut owner).await;
        }
        skip_wait = false;
        if *shared.stopping.borrow() {
            return;
        }
        match elect(shared).await {
            Ok(Some(term)) => {
                Entry::new(Kind::OwnerElected)
                    .with("fence", term.fence)
                    .emit();
                let outcome = host::run_owner(shared, term).await;
                Entry::new(Kind::OwnerLost)
                    .with("fence", term.fence)
                    .with_text("cause", format!("{outcome:?}"))
                    .emit();
                shared.owner.send_replace(None);
                skip_wait = outcome == Outcome::LeaseEnded;
            }
            Ok(None) => watcher::back_off().await,
            Err(error) => {
                log::info!("the election attempt failed: {error}");
                watcher::back_off().await;
            }
        }
    }
}

async fn wait_for_vacancy<P: Platform>(
    shared: &Shared<P>,
    owner: &mut tokio::sync::watch::Receiver<Option<OwnerRecord>>,
) {
    loop {
        let is_vacant = owner.borrow_and_update().is_none() && shared.knows_owner.get();
        if is_vacant {
            let rank_wait = (1.0 - shared.settings.share).clamp(0.0, 1.0) * RANK_WAIT_MS;
            let jitter = rand::rng().random_range(0..=JITTER_MS);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the wait is between zero and RANK_WAIT_MS"
            )]
            let wait = rank_wait as Millis + jitter;
            tokio::time::sleep(Duration::from_millis(wait)).await;
            if owner.borrow_and_update().is_none() && shared.knows_owner.get() {
                return;
            }
        }
        if owner.changed().await.is_err() {
            return;
        }
    }
}

/// Tries to create the owner's key; `None` if another host holds it.
async fn elect<P: Platform>(shared: &Shared<P>) -> Result<Option<Term>, KvError> {
    let kv = shared.platform.kv();
    let lease = kv.grant(LEASE_MS).await?;
    let record = OwnerRecord {
        name: shared.settings.name.clone(),
        address: shared.settings.address.to_string(),
        nonce: rand::rng().random(),
    };
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
                serde_json::from_slice::<OwnerRecord>(&item.value)
                    .is_ok_and(|held| held.nonce == record.nonce)
            });
            if own_key.is_none() {
                revoke_lease(kv, lease).await;
            }
            Ok(own_key.map(|item| Term {
                lease,
                fence: item.created,
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
