//! Adaptive limit of this gateway's requests in progress at one upstream.
//!
//! An upstream's slots are shared by gateways that do not see each other. Each
//! grows its limit slowly while its requests are taken and cuts it by a factor
//! when the upstream refuses one, so that the limits of all gateways settle
//! around the number of slots (additive increase, multiplicative decrease).

use std::sync::atomic::{AtomicU32, Ordering};

/// Parts that one request of the limit is divided into.
const SCALE: u32 = 1_024;
/// Share of the limit that is kept after a refusal, in percent.
const KEPT_PERCENT: u32 = 75;

/// Limit of requests in progress.
#[derive(Debug)]
pub struct Limit {
    scaled: AtomicU32,
    most: u32,
}

impl Limit {
    /// Creates a limit of at most `slots`, which it starts with.
    pub fn new(slots: u32) -> Self {
        let most = slots.clamp(1, u32::MAX / SCALE);
        Self {
            scaled: AtomicU32::new(most * SCALE),
            most,
        }
    }

    /// Requests allowed in progress, at least one.
    pub fn current(&self) -> u32 {
        (self.scaled.load(Ordering::Relaxed) / SCALE).max(1)
    }

    /// The limit in parts of a request, for comparisons.
    pub fn scaled(&self) -> u32 {
        self.scaled.load(Ordering::Relaxed)
    }

    /// Notes that a request was taken while `in_flight` were in progress.
    pub fn taken(&self, in_flight: u32) {
        // A limit that is not used to the full says nothing about more room.
        if in_flight < self.current() {
            return;
        }
        self.update(|scaled| scaled + SCALE * SCALE / scaled);
    }

    /// Notes that the upstream refused a request for lack of a free slot.
    pub fn refused(&self) {
        self.update(|scaled| scaled / 100 * KEPT_PERCENT);
    }

    fn update(&self, change: impl Fn(u32) -> u32) {
        let bound = |scaled: u32| change(scaled).clamp(SCALE, self.most * SCALE);
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |scaled| {
                Some(bound(scaled))
            });
    }
}
