//! Election of the owner, by a key under a lease.
//!
//! Load pattern: an owner that dies, freezes, is cut off, or is told to stop,
//! while jobs arrive. All candidates wait for the key to vanish; larger hosts try
//! first, and the store decides.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::follow;
use super::keys::{self, OwnerRecord};
use super::node::{self, Shared};
use super::owner::Outcome;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::port::{KeyValue, KvError, Platform, Put, Transaction};

/// Length of the owner's lease in milliseconds: most of the time without an owner
/// after a crash, and long enough for three renewals at sixty times the usual
/// delay of the store.
pub(super) const LEASE_MS: Millis = 1_500;

/// Longest wait of the smallest host before it tries, in milliseconds.
const RANK_WAIT_MS: f64 = 120.0;

/// Random part of the wait, in milliseconds.
const JITTER_MS: Millis = 40;

/// One ownership.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    /// Lease that the owner's key is under.
    pub lease: u64,
    /// Fencing token: the revision at which the key was created.
    pub fence: u64,
}

/// Takes part in elections until it is dropped.
pub(super) async fn campaign<P: Platform>(shared: &Rc<Shared<P>>) {
    let mut owner = shared.owner.subscribe();
    let mut is_eager = false;
    loop {
        if *shared.stopping.borrow() {
            return;
        }
        if !is_eager {
            wait_for_vacancy(shared, &mut owner).await;
        }
        is_eager = false;
        if *shared.stopping.borrow() {
            return;
        }
        match elect(shared).await {
            Ok(Some(term)) => {
                Entry::new(Kind::OwnerElected)
                    .with("fence", term.fence)
                    .emit();
                let outcome = node::own(shared, term).await;
                Entry::new(Kind::OwnerLost)
                    .with("fence", term.fence)
                    .with_text("cause", format!("{outcome:?}"))
                    .emit();
                shared.owner.send_replace(None);
                is_eager = outcome == Outcome::LeaseEnded;
            }
            Ok(None) => follow::pause().await,
            Err(error) => {
                log::info!("the election failed: {error}");
                follow::pause().await;
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
            let rank = (1.0 - shared.settings.share).clamp(0.0, 1.0) * RANK_WAIT_MS;
            let jitter = rand::rng().random_range(0..=JITTER_MS);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the wait is between zero and RANK_WAIT_MS"
            )]
            let wait = rank as Millis + jitter;
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

/// Tries to create the owner's key; none if another host holds it.
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
            abandon(kv, lease).await;
            Ok(None)
        }
        Err(KvError::Unanswered { cause }) => {
            log::info!("the election was not answered: {cause}");
            // An election that is carried out late is found by its number.
            let held = kv.get(keys::OWNER).await?;
            let mine = held.filter(|item| {
                serde_json::from_slice::<OwnerRecord>(&item.value)
                    .is_ok_and(|held| held.nonce == record.nonce)
            });
            if mine.is_none() {
                abandon(kv, lease).await;
            }
            Ok(mine.map(|item| Term {
                lease,
                fence: item.created,
            }))
        }
        Err(error) => {
            abandon(kv, lease).await;
            Err(error)
        }
    }
}

/// Ends a lease, so that nobody has to wait for it.
pub(super) async fn abandon<K: KeyValue>(kv: &K, lease: u64) {
    if let Err(error) = kv.revoke(lease).await {
        log::info!("lease {lease} is left to end by itself: {error}");
    }
}
