//! Sessions: leases that release the locks on their keys when they lapse.

use verbenahitch::domain::{Millis, Monotonic};

/// A session that has not lapsed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Session {
    ttl_ms: Millis,
    until: Option<Monotonic>,
}

impl Session {
    /// Creates a session; with a zero TTL it lasts until it is destroyed.
    pub(super) fn new(ttl_ms: Millis, now: Monotonic) -> Self {
        let mut session = Self {
            ttl_ms,
            until: None,
        };
        session.renew(now);
        session
    }

    pub(super) fn renew(&mut self, now: Monotonic) {
        self.until = (self.ttl_ms > 0).then(|| now + self.ttl_ms);
    }

    pub(super) fn has_lapsed(&self, now: Monotonic) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}
