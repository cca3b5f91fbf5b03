//! Watch on the declarations in the store.
//!
//! The scheduler of each entry host keeps one watch open; gateways receive the
//! declarations from their peers. The watches are short, because only an answer
//! proves that the store had nothing newer when the watch was sent.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::{CurrentDeclarations, DECLARATIONS_KEY, adopt_text};
use crate::adapter::{Snapshot, Store};
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::peer::Handle;
use crate::port::{Clock, StoreError};

/// Longest time that the store holds a watch while nothing changes, in milliseconds.
const WATCH_WAIT_MS: Millis = 500;

/// Minimum interval between two calls while nothing changes, in milliseconds.
/// Each failed call in a row doubles it.
const MIN_INTERVAL_MS: Millis = 100;

/// Maximum backoff after failed calls in a row, in milliseconds.
const MAX_BACKOFF_MS: Millis = 2_000;

/// Watches the declarations, puts newer ones in force and reports each contact
/// with the store to the peers, until cancelled.
pub async fn run(
    store: Store,
    current: CurrentDeclarations,
    handle: Handle,
    clock: Arc<dyn Clock>,
) {
    let mut index = 0;
    let mut failures = 0;
    loop {
        let sent = clock.now();
        match store.watch(DECLARATIONS_KEY, index, WATCH_WAIT_MS).await {
            Ok(snapshot) => {
                if failures > 0 {
                    Entry::new(Kind::StoreUp).with("after", failures).emit();
                }
                failures = 0;
                let changed = snapshot.index != index;
                index = next_index(index, &snapshot);
                if adopt_snapshot(&current, &snapshot) {
                    handle.set_store_contact(sent);
                }
                if !changed && clock.now().since(sent) < MIN_INTERVAL_MS {
                    sleep_ms(MIN_INTERVAL_MS).await;
                }
            }
            Err(error) => {
                log_first_failure(failures, &error);
                failures += 1;
                let max_backoff = (MIN_INTERVAL_MS << failures.min(5)).min(MAX_BACKOFF_MS);
                let backoff = rand::rng().random_range(max_backoff / 2..=max_backoff);
                sleep_ms(backoff).await;
            }
        }
    }
}

/// Index of the next watch: zero if the index decreased, which means that the store was restored.
fn next_index(index: u64, snapshot: &Snapshot) -> u64 {
    if snapshot.index < index {
        return 0;
    }
    snapshot.index
}

/// Puts the declarations that were read in force; false if they are malformed.
fn adopt_snapshot(current: &CurrentDeclarations, snapshot: &Snapshot) -> bool {
    let Some(entry) = snapshot.entries.last() else {
        return true;
    };
    let document = String::from_utf8_lossy(&entry.value);
    adopt_text(current, &document, "store").is_ok()
}

fn log_first_failure(failures: u32, error: &StoreError) {
    if failures == 0 {
        Entry::new(Kind::StoreDown)
            .with_text("reason", error)
            .emit();
    }
}

async fn sleep_ms(millis: Millis) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
