//! Group commit of claims: the claims of one interval share a transaction.

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

/// Least interval of transactions in milliseconds.
const INTERVAL_MS: Millis = 10;
/// Most transactions in progress at a time.
const MAX_COMMITS: usize = 8;
/// Most claims that wait for a transaction, and most releases that wait for a retry.
const QUEUE_CAPACITY: usize = 4_096;
/// Interval of checks for old buckets, in milliseconds.
const SWEEP_MS: Millis = 30_000;
/// Buckets before the current one that are kept.
const KEPT_BUCKETS: u64 = 2;
/// Old buckets that a gateway removes when it starts.
const STARTUP_BUCKETS: u64 = 3;
/// Interval of tries to release a claim, in milliseconds.
const RELEASE_RETRY_MS: Millis = 1_000;
/// Most tries to release a claim.
const MAX_RELEASE_TRIES: u32 = 60;

/// Result of a claim request.
#[derive(Debug)]
pub enum ClaimResult {
    /// The key is claimed for this request.
    Granted(Claim),
    /// The key was claimed for another request, which may have run.
    AlreadySent,
    /// It is not certain that the key is claimed; the request must not be sent.
    Failed(String),
}

/// A claim in the store.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Name of the key.
    pub name: String,
    /// Bucket that holds it.
    pub bucket: u64,
    /// Unique write ID.
    pub write: String,
    /// Index of the last change of its entry, if known.
    pub index: Option<u64>,
}

/// A request for a claim that waits for its result.
#[derive(Debug)]
pub struct ClaimRequest {
    /// Name of the key.
    pub name: String,
    /// Unique write ID.
    pub write: String,
    reply: oneshot::Sender<ClaimResult>,
    releases: mpsc::Sender<Claim>,
}

/// Handle of the committer; clones share it.
#[derive(Clone, Debug)]
pub struct Idempotency {
    requests: mpsc::Sender<ClaimRequest>,
    releases: mpsc::Sender<Claim>,
    store: Store,
}

impl Idempotency {
    /// Starts the committer; it stops when the last clone of the handle is dropped.
    pub fn start(store: Store, clock: Arc<dyn Clock>, bucket_ms: Millis) -> Self {
        let (requests, waiting) = mpsc::channel(QUEUE_CAPACITY);
        let (releases, released) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(commit_all(store.clone(), clock, bucket_ms, waiting));
        tokio::spawn(release_all(store.clone(), released));
        Self {
            requests,
            releases,
            store,
        }
    }

    /// Claims the caller's `key` of `kind` under the unique write ID `write`.
    ///
    /// If the caller stops waiting, the claim is released.
    pub async fn claim(&self, kind: &str, key: &str, write: String) -> ClaimResult {
        let (reply, answer) = oneshot::channel();
        let request = ClaimRequest {
            name: record::name(kind, key),
            write,
            reply,
            releases: self.releases.clone(),
        };
        if self.requests.try_send(request).is_err() {
            return ClaimResult::Failed("too many keys wait for the store".to_owned());
        }
        let ended = |_| ClaimResult::Failed("the committer has ended".to_owned());
        answer.await.unwrap_or_else(ended)
    }

    /// Releases a claim whose request provably did not run.
    pub async fn release(&self, claim: Claim) {
        if !claim::release(&self.store, &claim).await {
            let _ = self.releases.try_send(claim);
        }
    }
}

impl ClaimRequest {
    /// Claim that this request gets.
    pub fn claim(&self, bucket: u64, index: Option<u64>) -> Claim {
        Claim {
            name: self.name.clone(),
            bucket,
            write: self.write.clone(),
            index,
        }
    }

    /// Answers that the key is claimed by the change `index`.
    pub fn grant(self, bucket: u64, index: u64) {
        let claim = self.claim(bucket, Some(index));
        let releases = self.releases.clone();
        if let Err(ClaimResult::Granted(claim)) = self.reply.send(ClaimResult::Granted(claim)) {
            let _ = releases.try_send(claim);
        }
    }

    /// Answers that the claim failed, and releases it in case the store holds it.
    pub fn fail(self, bucket: u64, reason: &str) {
        let _ = self.releases.try_send(self.claim(bucket, None));
        self.answer(ClaimResult::Failed(reason.to_owned()));
    }

    /// Sends `result` to the request.
    pub fn answer(self, result: ClaimResult) {
        // The caller may have stopped waiting.
        let _ = self.reply.send(result);
    }
}

async fn commit_all(
    store: Store,
    clock: Arc<dyn Clock>,
    bucket_ms: Millis,
    mut requests: mpsc::Receiver<ClaimRequest>,
) {
    let permits = Arc::new(Semaphore::new(MAX_COMMITS));
    let mut sweep = tokio::time::interval(Duration::from_millis(SWEEP_MS));
    let mut swept = None;
    let mut next = Instant::now();
    loop {
        let first = tokio::select! {
            request = requests.recv() => request,
            _ = sweep.tick() => {
                let bucket = record::bucket(clock.wall_ms(), bucket_ms);
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
        let batch = collect_batch(first, &mut requests);
        let bucket = record::bucket(clock.wall_ms(), bucket_ms);
        let store = store.clone();
        tokio::spawn(async move {
            claim::commit(&store, bucket, batch).await;
            drop(permit);
        });
    }
}

/// Collects waiting requests; of equal keys only the first may claim, the others are repeats.
fn collect_batch(
    first: ClaimRequest,
    requests: &mut mpsc::Receiver<ClaimRequest>,
) -> Vec<ClaimRequest> {
    let mut names = HashSet::default();
    names.insert(first.name.clone());
    let mut batch = vec![first];
    while batch.len() < CLAIMS_PER_COMMIT {
        match requests.try_recv() {
            Ok(request) if names.insert(request.name.clone()) => batch.push(request),
            Ok(request) => request.answer(ClaimResult::AlreadySent),
            Err(_) => break,
        }
    }
    batch
}

async fn remove_old(store: Store, bucket: u64, at_startup: bool) {
    let newest = bucket.saturating_sub(KEPT_BUCKETS + 1);
    let count = match at_startup {
        true => STARTUP_BUCKETS,
        false => 1,
    };
    for old in (newest.saturating_sub(count - 1)..=newest).rev() {
        if let Err(error) = store.delete_tree(&record::bucket_prefix(old)).await {
            log::debug!("cannot remove old idempotency keys: {error}");
        }
    }
}

async fn release_all(store: Store, mut claims: mpsc::Receiver<Claim>) {
    while let Some(claim) = claims.recv().await {
        let mut retry = tokio::time::interval(Duration::from_millis(RELEASE_RETRY_MS));
        for _ in 0..MAX_RELEASE_TRIES {
            retry.tick().await;
            if claim::release(&store, &claim).await {
                break;
            }
        }
    }
}
