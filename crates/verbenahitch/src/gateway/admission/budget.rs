//! Retry budget: limits retries to a percentage of the traffic, so that retries
//! do not amplify an overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Cost of one retry in hundredths of a retry.
const RETRY_COST: i64 = 100;
/// Most retries that the budget holds.
const MAX_RETRIES: i64 = 10;

/// Retry budget; it starts full.
#[derive(Debug)]
pub struct RetryBudget {
    hundredths: AtomicI64,
    percent: i64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred calls of [`earn`](Self::earn).
    pub fn new(percent: u32) -> Self {
        Self {
            hundredths: AtomicI64::new(if percent == 0 {
                0
            } else {
                MAX_RETRIES * RETRY_COST
            }),
            percent: i64::from(percent),
        }
    }

    /// Adds the share of one request to the budget.
    pub fn earn(&self) {
        let earned = |held: i64| {
            let next = (held + self.percent).min(MAX_RETRIES * RETRY_COST);
            (next != held).then_some(next)
        };
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned);
    }

    /// Takes one retry from the budget; false if it holds less than one.
    pub fn spend(&self) -> bool {
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                (held >= RETRY_COST).then_some(held - RETRY_COST)
            })
            .is_ok()
    }
}
