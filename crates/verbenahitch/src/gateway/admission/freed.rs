//! Signal that a slot came free, sent only while a request waits for one.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Count of waiting requests, and the signal that wakes their owner.
#[derive(Debug, Default)]
pub struct Freed {
    waiting: AtomicUsize,
    signal: Notify,
}

impl Freed {
    /// Whether a request waits.
    pub fn is_awaited(&self) -> bool {
        self.waiting.load(Ordering::Acquire) > 0
    }

    /// Notes a request that waits.
    pub fn begin(&self) {
        self.waiting.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that a request no longer waits.
    pub fn end(&self) {
        self.waiting.fetch_sub(1, Ordering::AcqRel);
    }

    /// Signals that a slot came free.
    pub fn signal(&self) {
        if self.is_awaited() {
            self.signal.notify_one();
        }
    }

    /// Waits for the next signal.
    pub async fn signalled(&self) {
        self.signal.notified().await;
    }
}
