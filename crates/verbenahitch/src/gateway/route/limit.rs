//! Adaptive limit of this gateway's requests in progress at one upstream.
//!
//! Gateways that know nothing of each other's load share an upstream's slots.
//! Each raises its limit slowly while its requests are accepted and cuts it by
//! a factor when the upstream refuses one, so that the sum of the limits stays
//! near the number of slots (additive increase, multiplicative decrease).

use std::sync::atomic::{AtomicU32, Ordering};

/// Fixed-point scale: units of the limit that make up one request.
const SCALE: u32 = 1_024;
/// Share of the limit that remains after a refusal, in percent.
const KEPT_PERCENT: u32 = 75;

/// Limit of requests in progress.
#[derive(Debug)]
pub struct Limit {
    scaled: AtomicU32,
    max: u32,
}

impl Limit {
    /// Creates a limit that starts at its maximum, `slots`.
    pub fn new(slots: u32) -> Self {
        let max = slots.clamp(1, u32::MAX / SCALE);
        Self {
            scaled: AtomicU32::new(max * SCALE),
            max,
        }
    }

    /// Requests allowed in progress, at least one.
    pub fn current(&self) -> u32 {
        (self.scaled.load(Ordering::Relaxed) / SCALE).max(1)
    }

    /// Limit in fixed-point units, for comparisons.
    pub fn scaled(&self) -> u32 {
        self.scaled.load(Ordering::Relaxed)
    }

    /// Records that a request was accepted while `in_flight` were in progress.
    pub fn accepted(&self, in_flight: u32) {
        // Only a fully used limit shows that the upstream could take more.
        if in_flight < self.current() {
            return;
        }
        self.update(|scaled| scaled + SCALE * SCALE / scaled);
    }

    /// Records that the upstream refused a request for lack of a free slot.
    pub fn refused(&self) {
        self.update(|scaled| scaled / 100 * KEPT_PERCENT);
    }

    fn update(&self, change: impl Fn(u32) -> u32) {
        let bound = |scaled: u32| change(scaled).clamp(SCALE, self.max * SCALE);
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                Some(bound(scaled))
            });
    }
}
