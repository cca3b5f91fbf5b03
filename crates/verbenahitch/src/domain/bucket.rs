//! Limit of a rate.

use super::Millis;

/// Token bucket over times in milliseconds; it starts full.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// Tokens missing from a full bucket.
    missing: f64,
    /// Latest time at which a token was asked for.
    filled_ms: Millis,
}

impl Bucket {
    /// Takes a token at `now_ms`; returns whether there was one. The bucket holds `size` tokens
    /// and gets `rate` a second.
    pub fn take(&mut self, rate: f64, size: f64, now_ms: Millis) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "durations are far below 2^52 ms"
        )]
        let refill = now_ms.saturating_sub(self.filled_ms) as f64 / 1_000.0 * rate;
        self.missing = (self.missing - refill).max(0.0);
        self.filled_ms = self.filled_ms.max(now_ms);
        let has_token = self.missing + 1.0 <= size;
        if has_token {
            self.missing += 1.0;
        }
        has_token
    }
}
