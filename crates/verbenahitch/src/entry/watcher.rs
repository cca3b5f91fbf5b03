//! Watches of key prefixes: one listing, then its changes.

use std::time::Duration;

use rand::Rng;

use crate::domain::{Millis, Monotonic};
use crate::port::{Change, Item, KeyValue, KvError, boot_now};

/// Shortest delay after a failed call, in milliseconds.
const RETRY_MIN_MS: Millis = 80;

/// Longest delay after a failed call, in milliseconds.
const RETRY_MAX_MS: Millis = 400;

/// Timing of a prefix watch, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchTiming {
    /// Longest time that one watch call waits for a change.
    pub wait_ms: Millis,
    /// Pause between watch calls, so that changes arrive in batches.
    pub pause_ms: Millis,
}

/// Result of a listing or a watch call.
#[derive(Debug)]
pub(super) enum WatchUpdate {
    /// All keys with their present values.
    Listed(Vec<Item>),
    /// Changes since the last update.
    Changes(Vec<Change>),
    /// The store answered; nothing has changed.
    Unchanged,
    /// The call failed.
    Unavailable(KvError),
}

/// What an update covers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coverage {
    /// Boot time at which the call was sent; `None` if unknown.
    pub asked: Option<Monotonic>,
    /// Revision up to which all changes are known; zero after a failed call.
    pub revision: u64,
}

/// Watches the keys that begin with `prefix` until it is dropped.
///
/// After any failure of a watch call the prefix is listed again, so that changes
/// which the watch missed are found.
pub(super) async fn watch_prefix<K: KeyValue>(
    kv: &K,
    prefix: &str,
    timing: impl Fn() -> WatchTiming,
    mut on_update: impl FnMut(WatchUpdate, Coverage),
) {
    loop {
        let asked = boot_now();
        let mut after = match kv.range(prefix).await {
            Ok((items, revision)) => {
                on_update(WatchUpdate::Listed(items), Coverage { asked, revision });
                revision
            }
            Err(error) => {
                on_update(WatchUpdate::Unavailable(error), Coverage::default());
                back_off().await;
                continue;
            }
        };
        loop {
            let timing = timing();
            let asked = boot_now();
            match kv.watch(prefix, after, timing.wait_ms).await {
                Ok((changes, revision)) => {
                    after = revision.max(after);
                    let update = if changes.is_empty() {
                        WatchUpdate::Unchanged
                    } else {
                        WatchUpdate::Changes(changes)
                    };
                    on_update(update, Coverage { asked, revision });
                }
                Err(KvError::Compacted) => break,
                Err(error) => {
                    on_update(WatchUpdate::Unavailable(error), Coverage::default());
                    back_off().await;
                    break;
                }
            }
            if timing.pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(timing.pause_ms)).await;
            }
        }
    }
}

/// Random delay before the next attempt.
pub(super) fn retry_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(RETRY_MIN_MS..=RETRY_MAX_MS))
}

/// Waits for a random delay before the next attempt.
pub(super) async fn back_off() {
    tokio::time::sleep(retry_delay()).await;
}
