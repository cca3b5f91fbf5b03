//! Outlier ejection: an upstream with several failures in a row gets no requests
//! for a while, then one trial request at a time until one succeeds.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::domain::{Millis, Monotonic};

/// Consecutive failures that eject an upstream.
const EJECTION_FAILURES: u32 = 3;
/// First ejection in milliseconds; each consecutive one lasts twice as long.
const FIRST_EJECTION_MS: Millis = 500;
/// Longest ejection in milliseconds.
const MAX_EJECTION_MS: Millis = 16_000;

/// Failures and ejection of one upstream, as observed by this gateway.
#[derive(Debug, Default)]
pub struct Health {
    failures: AtomicU32,
    ejections: AtomicU32,
    until: AtomicU64,
}

impl Health {
    /// Requests allowed at `now`: `limit`, none while ejected, or one on trial.
    pub fn allowed(&self, now: Monotonic, limit: u32) -> u32 {
        let until = self.until.load(Ordering::Relaxed);
        if until == 0 {
            return limit;
        }
        u32::from(now.0 >= until)
    }

    /// Whether the upstream is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.until.load(Ordering::Relaxed) != 0
    }

    /// Records a success; true if it ended an ejection.
    pub fn succeeded(&self) -> bool {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
        if !self.is_ejected() {
            return false;
        }
        self.ejections.store(0, Ordering::Relaxed);
        self.until.swap(0, Ordering::Relaxed) != 0
    }

    /// Records a failure at `now`; true if it ejected the upstream, which requires `permitted`.
    pub fn failed(&self, now: Monotonic, permitted: bool) -> bool {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let trial = self.is_ejected();
        if !trial && (failures < EJECTION_FAILURES || !permitted) {
            return false;
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed).min(16);
        let length = (FIRST_EJECTION_MS << earlier).min(MAX_EJECTION_MS);
        self.until.store((now + length).0, Ordering::Relaxed);
        !trial
    }
}
