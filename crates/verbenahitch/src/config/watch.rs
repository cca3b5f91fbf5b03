//! Following the declarations in the store.
//!
//! The scheduler of each entry host keeps one watch open; gateways learn from
//! their peers. Watches are short, because only an answer shows that the store
//! had nothing newer when the watch was sent.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::{Current, DECLARATIONS_KEY, adopt_text};
use crate::adapter::{Store, Watched};
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::peer::Handle;
use crate::port::{Clock, StoreError};

/// Time that the store may hold a watch without news, in milliseconds.
const WAIT_MS: Millis = 500;

/// Least time between two calls, in milliseconds.
const PAUSE_MS: Millis = 100;

/// Longest pause after failed calls in a row, in milliseconds.
const MAX_PAUSE_MS: Millis = 2_000;

/// Watches the declarations, puts newer ones in force and reports contact with
/// the store to the peers, until it is cancelled.
pub async fn run(store: Store, current: Current, handle: Handle, clock: Arc<dyn Clock>) {
    let mut index = 0;
    let mut failures = 0;
    loop {
        let sent = clock.now();
        match store.watch(DECLARATIONS_KEY, index, WAIT_MS).await {
            Ok(watched) => {
                if failures > 0 {
                    Entry::new(Kind::StoreUp).with("after", failures).emit();
                }
                failures = 0;
                let fresh = watched.index != index;
                index = next_index(index, &watched);
                if take(&current, &watched) {
                    handle.set_store_contact(sent);
                }
                if !fresh && clock.now().since(sent) < PAUSE_MS {
                    pause(PAUSE_MS).await;
                }
            }
            Err(error) => {
                note_failure(failures, &error);
                failures += 1;
                let longest = (PAUSE_MS << failures.min(5)).min(MAX_PAUSE_MS);
                let jittered = rand::rng().random_range(longest / 2..=longest);
                pause(jittered).await;
            }
        }
    }
}

/// An index that went back means that the store was restored; the watch starts anew.
fn next_index(index: u64, watched: &Watched) -> u64 {
    if watched.index < index {
        return 0;
    }
    watched.index
}

/// Puts in force what the store said; false if it could not be read.
fn take(current: &Current, watched: &Watched) -> bool {
    let Some(entry) = watched.entries.last() else {
        return true;
    };
    let document = String::from_utf8_lossy(&entry.value);
    adopt_text(current, &document, "store").is_ok()
}

fn note_failure(failures: u32, error: &StoreError) {
    if failures == 0 {
        Entry::new(Kind::StoreDown)
            .with_text("reason", error)
            .emit();
    }
}

async fn pause(millis: Millis) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
