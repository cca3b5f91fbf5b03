//! Signal that a slot was freed, sent only while a request waits for one.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Count of waiting requests, and the signal that wakes the task that owns the queue.
#[derive(Debug, Default)]
pub struct SlotSignal {
    waiting: AtomicUsize,
    signal: Notify,
}

impl SlotSignal {
    /// Whether any request waits.
    pub fn has_waiters(&self) -> bool {
        self.waiting.load(Ordering::Acquire) > 0
    }

    /// Counts a request that starts to wait.
    pub fn add_waiter(&self) {
        self.waiting.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a request that stops waiting.
    pub fn remove_waiter(&self) {
        self.waiting.fetch_sub(1, Ordering::AcqRel);
    }

    /// Signals a freed slot if any request waits.
    pub fn notify(&self) {
        if self.has_waiters() {
            self.signal.notify_one();
        }
    }

    /// Waits for the next signal.
    pub async fn notified(&self) {
        self.signal.notified().await;
    }
}
