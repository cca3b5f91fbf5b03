//! Group commit of claims: the keys of one interval go into one transaction.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;

use crate::adapter::Store;
use crate::collections::HashSet;
use crate::domain::Millis;
use crate::port::Clock;

use super::claim::{self, CLAIMS_PER_COMMIT};
use super::record;

/// Least time between two transactions, in milliseconds.
const INTERVAL_MS: Millis = 10;
/// Most transactions that wait for the store at a time.
const COMMITS: usize = 8;
/// Most claims that wait for a transaction.
const QUEUE: usize = 4_096;
/// Time between two looks for old buckets, in milliseconds.
const SWEEP_MS: Millis = 30_000;
/// Buckets that are kept besides the current one, on the old side.
const KEPT_BUCKETS: u64 = 2;
/// Old buckets that a gateway removes when it starts.
const SWEPT_BUCKETS: u64 = 3;
/// Time between two tries to release a claim, in milliseconds.
const RELEASE_RETRY_MS: Millis = 1_000;
/// Most tries to release a claim.
const RELEASE_TRIES: u32 = 60;

/// Answer to a claim.
#[derive(Debug)]
pub enum Claim {
    /// The key is claimed for this request.
    Granted(Ticket),
    /// The key was claimed for another request, which may have run.
    AlreadySent,
    /// The store cannot tell; the request must not be sent.
    Failed(String),
}

/// A claim that stands.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Name of the key.
    pub name: String,
    /// Bucket that holds it.
    pub bucket: u64,
    /// Write identity.
    pub write: String,
    /// Index of its newest change, if known.
    pub index: Option<u64>,
}

/// A claim that waits for its answer.
#[derive(Debug)]
pub struct Ask {
    /// Name of the key.
    pub name: String,
    /// Write identity.
    pub write: String,
    reply: oneshot::Sender<Claim>,
    releases: mpsc::Sender<Ticket>,
}

/// Access to the committer; clones share it.
#[derive(Clone, Debug)]
pub struct Once {
    asks: mpsc::Sender<Ask>,
    releases: mpsc::Sender<Ticket>,
    store: Store,
}

impl Once {
    /// Starts the committer; it ends with the last clone of the access.
    pub fn start(store: Store, clock: Arc<dyn Clock>, length_ms: Millis) -> Self {
        let (asks, waiting) = mpsc::channel(QUEUE);
        let (releases, released) = mpsc::channel(QUEUE);
        tokio::spawn(commit_all(store.clone(), clock, length_ms, waiting));
        tokio::spawn(release_all(store.clone(), released));
        Self {
            asks,
            releases,
            store,
        }
    }

    /// Claims the caller's `key` of `kind` under the unique identity `write`.
    ///
    /// A claim whose caller stops waiting is released.
    pub async fn claim(&self, kind: &str, key: &str, write: String) -> Claim {
        let (reply, answer) = oneshot::channel();
        let ask = Ask {
            name: record::name(kind, key),
            write,
            reply,
            releases: self.releases.clone(),
        };
        if self.asks.try_send(ask).is_err() {
            return Claim::Failed("too many keys wait for the store".to_owned());
        }
        let ended = |_| Claim::Failed("the committer has ended".to_owned());
        answer.await.unwrap_or_else(ended)
    }

    /// Releases a claim whose request provably did not run.
    pub async fn release(&self, ticket: Ticket) {
        if !claim::release(&self.store, &ticket).await {
            let _ = self.releases.try_send(ticket);
        }
    }
}

impl Ask {
    /// Ticket of this claim.
    pub fn ticket(&self, bucket: u64, index: Option<u64>) -> Ticket {
        Ticket {
            name: self.name.clone(),
            bucket,
            write: self.write.clone(),
            index,
        }
    }

    /// Answers that the claim stands since the change `index`.
    pub fn grant(self, bucket: u64, index: u64) {
        let ticket = self.ticket(bucket, Some(index));
        let releases = self.releases.clone();
        if let Err(Claim::Granted(ticket)) = self.reply.send(Claim::Granted(ticket)) {
            let _ = releases.try_send(ticket);
        }
    }

    /// Answers that the store cannot tell, and releases what it may yet hold.
    pub fn fail(self, bucket: u64, reason: &str) {
        let _ = self.releases.try_send(self.ticket(bucket, None));
        self.answer(Claim::Failed(reason.to_owned()));
    }

    /// Answers with `claim`.
    pub fn answer(self, claim: Claim) {
        // A request that no longer waits needs no answer.
        let _ = self.reply.send(claim);
    }
}

async fn commit_all(
    store: Store,
    clock: Arc<dyn Clock>,
    length_ms: Millis,
    mut asks: mpsc::Receiver<Ask>,
) {
    let permits = Arc::new(Semaphore::new(COMMITS));
    let mut sweep = tokio::time::interval(Duration::from_millis(SWEEP_MS));
    let mut swept = None;
    let mut next = Instant::now();
    loop {
        let first = tokio::select! {
            ask = asks.recv() => ask,
            _ = sweep.tick() => {
                let bucket = record::bucket(clock.wall_ms(), length_ms);
                if swept != Some(bucket) {
                    tokio::spawn(remove_old(store.clone(), bucket, swept.is_none()));
                    swept = Some(bucket);
                }
                continue;
            }
        };
        let Some(first) = first else {
            return;
        };
        tokio::time::sleep_until(next).await;
        next = Instant::now() + Duration::from_millis(INTERVAL_MS);
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let batch = gather(first, &mut asks);
        let bucket = record::bucket(clock.wall_ms(), length_ms);
        let store = store.clone();
        tokio::spawn(async move {
            claim::commit(&store, bucket, batch).await;
            drop(permit);
        });
    }
}

/// Collects what waits; of equal keys the first claims and the others are repeats.
fn gather(first: Ask, asks: &mut mpsc::Receiver<Ask>) -> Vec<Ask> {
    let mut names = HashSet::default();
    names.insert(first.name.clone());
    let mut batch = vec![first];
    while batch.len() < CLAIMS_PER_COMMIT {
        match asks.try_recv() {
            Ok(ask) if names.insert(ask.name.clone()) => batch.push(ask),
            Ok(ask) => ask.answer(Claim::AlreadySent),
            Err(_) => break,
        }
    }
    batch
}

async fn remove_old(store: Store, bucket: u64, first: bool) {
    let newest = bucket.saturating_sub(KEPT_BUCKETS + 1);
    let count = match first {
        true => SWEPT_BUCKETS,
        false => 1,
    };
    for old in (newest.saturating_sub(count - 1)..=newest).rev() {
        if let Err(error) = store.delete_tree(&record::tree(old)).await {
            log::debug!("old idempotency keys stay for now: {error}");
        }
    }
}

async fn release_all(store: Store, mut tickets: mpsc::Receiver<Ticket>) {
    while let Some(ticket) = tickets.recv().await {
        let mut retry = tokio::time::interval(Duration::from_millis(RELEASE_RETRY_MS));
        for _ in 0..RELEASE_TRIES {
            retry.tick().await;
            if claim::release(&store, &ticket).await {
                break;
            }
        }
    }
}
