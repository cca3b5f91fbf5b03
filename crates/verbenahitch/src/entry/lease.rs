//! Lease that the keys of a host share, so that they go away by themselves.

use std::cell::Cell;

use crate::domain::{Millis, Monotonic};
use crate::port::{KeyValue, KvError, boot_now};

/// Age up to which a lease gets further keys, in milliseconds. By the clock that also runs while
/// the host is suspended, as the lease does.
const USE_MS: Millis = 30_000;

/// Lease for the keys of some time; a key lives for the lease's length less [`USE_MS`] at least.
#[derive(Debug)]
pub(super) struct SharedLease {
    length_ms: Millis,
    /// The lease, with the time at which it was asked for.
    held: Cell<Option<(u64, Monotonic)>>,
}

impl SharedLease {
    /// Creates leases of that length when they are needed.
    pub const fn new(length_ms: Millis) -> Self {
        Self {
            length_ms,
            held: Cell::new(None),
        }
    }

    /// Lease that is young enough for a key, granted now if there is none.
    pub async fn get<K: KeyValue>(&self, kv: &K) -> Result<u64, KvError> {
        let now = boot_now();
        if let (Some((lease, since)), Some(now)) = (self.held.get(), now)
            && now.since(since) <= USE_MS
        {
            return Ok(lease);
        }
        let lease = kv.grant(self.length_ms).await?;
        self.held.set(now.map(|now| (lease, now)));
        Ok(lease)
    }

    /// Gives up a lease that has ended.
    pub fn forget(&self) {
        self.held.set(None);
    }
}
