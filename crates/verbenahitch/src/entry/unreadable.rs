//! Log lines on entries of the store that cannot be read.
//!
//! Load pattern: another writer leaves an odd entry, which each listing shows again, or writes one
//! each second. One line names its key.

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::port::{Item, short_cause};

/// Shortest time between two lines on one key, in milliseconds. A worker writes about once a second.
const PAUSE_MS: Millis = 60_000;

/// Largest number of keys that are remembered; beyond it a key may be logged again.
const KEYS_MAX: usize = 4_096;

/// Keys that were logged, by the revision and the time.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    logged: HashMap<String, (u64, Monotonic)>,
}

impl UnreadableLog {
    /// Whether an entry is to be logged; takes note that it is. Another revision of it is logged
    /// after `pause_ms` at the earliest.
    pub fn is_due(&mut self, item: &Item, pause_ms: Millis, now: Monotonic) -> bool {
        let is_logged = |(revision, at): &(u64, Monotonic)| {
            *revision == item.revision || now.since(*at) < pause_ms
        };
        if self.logged.get(&item.key).is_some_and(is_logged) {
            return false;
        }
        if self.logged.len() >= KEYS_MAX {
            self.logged.clear();
        }
        self.logged.insert(item.key.clone(), (item.revision, now));
        true
    }

    /// Logs an entry that any writer may change again and again, if that is due.
    pub(super) fn report(&mut self, item: &Item, cause: &str, now: Monotonic) {
        self.emit(item, cause, PAUSE_MS, now);
    }

    /// Logs the operators' document: each revision, as they wait for the next line.
    pub(super) fn report_document(&mut self, item: &Item, cause: &str, now: Monotonic) {
        self.emit(item, cause, 0, now);
    }

    fn emit(&mut self, item: &Item, cause: &str, pause_ms: Millis, now: Monotonic) {
        if !self.is_due(item, pause_ms, now) {
            return;
        }
        Entry::new(Kind::DeclarationUnreadable)
            .with("key", short_cause(&item.key))
            .with("revision", item.revision)
            .with("cause", short_cause(cause))
            .emit();
    }
}
