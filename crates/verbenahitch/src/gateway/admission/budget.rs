//! Budget of retries: a share of the traffic that earns them, so that an
//! overload is not multiplied.

use std::sync::atomic::{AtomicI64, Ordering};

/// Cost of one retry in hundredths of a retry.
const RETRY: i64 = 100;
/// Retries that may be saved up.
const MOST_RETRIES: i64 = 10;

/// Budget of retries.
#[derive(Debug)]
pub struct Budget {
    hundredths: AtomicI64,
    percent: i64,
}

impl Budget {
    /// Creates a budget of `percent` retries per hundred requests that earn.
    pub fn new(percent: u32) -> Self {
        Self {
            hundredths: AtomicI64::new(if percent == 0 {
                0
            } else {
                MOST_RETRIES * RETRY
            }),
            percent: i64::from(percent),
        }
    }

    /// Notes a request that earns its share.
    pub fn earn(&self) {
        let earned = |held: i64| {
            let next = (held + self.percent).min(MOST_RETRIES * RETRY);
            (next != held).then_some(next)
        };
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Takes one retry out of the budget, if it holds one.
    pub fn spend(&self) -> bool {
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                (held >= RETRY).then_some(held - RETRY)
            })
            .is_ok()
    }
}
