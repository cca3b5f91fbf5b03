//! Following a range of keys: one reading, then its changes.

use std::time::Duration;

use rand::Rng;

use crate::domain::Millis;
use crate::port::{Change, Item, KeyValue, KvError};

/// Shortest pause after a failed call, in milliseconds.
const RETRY_MIN_MS: Millis = 80;

/// Longest pause after a failed call, in milliseconds.
const RETRY_MAX_MS: Millis = 400;

/// How a range is followed, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacing {
    /// How long one watch waits for a change.
    pub wait_ms: Millis,
    /// Pause after a watch, in which changes gather.
    pub pause_ms: Millis,
}

/// What a follower hears.
#[derive(Debug)]
pub(super) enum News {
    /// All keys as they are.
    All(Vec<Item>),
    /// Changes since.
    Changes(Vec<Change>),
    /// The store answered, without changes.
    Nothing,
    /// The store does not answer.
    Silence(KvError),
}

/// Follows the keys that begin with `prefix` until it is dropped.
///
/// A watch that fails for whatever reason is followed by a whole reading, so
/// that changes which the watch did not tell are found.
pub(super) async fn follow<K: KeyValue>(
    kv: &K,
    prefix: &str,
    pacing: Pacing,
    mut hear: impl FnMut(News),
) {
    loop {
        let mut after = match kv.range(prefix).await {
            Ok((items, revision)) => {
                hear(News::All(items));
                revision
            }
            Err(error) => {
                hear(News::Silence(error));
                pause().await;
                continue;
            }
        };
        loop {
            match kv.watch(prefix, after, pacing.wait_ms).await {
                Ok((changes, revision)) => {
                    after = revision.max(after);
                    if changes.is_empty() {
                        hear(News::Nothing);
                    } else {
                        hear(News::Changes(changes));
                    }
                }
                Err(KvError::Compacted) => break,
                Err(error) => {
                    hear(News::Silence(error));
                    pause().await;
                    break;
                }
            }
            if pacing.pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pacing.pause_ms)).await;
            }
        }
    }
}

/// Random time until the next attempt.
pub(super) fn retry_wait() -> Duration {
    Duration::from_millis(rand::rng().random_range(RETRY_MIN_MS..=RETRY_MAX_MS))
}

/// Waits a random time before the next attempt.
pub(super) async fn pause() {
    tokio::time::sleep(retry_wait()).await;
}
