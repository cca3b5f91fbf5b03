//! Call counters and rate limits.

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Monotonic};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Reads a key or all keys under a prefix.
    Read,
    /// Waits for a change.
    Watch,
    /// Sets or deletes one key or the keys under a prefix.
    Write,
    /// Applies a transaction.
    Txn,
    /// Creates, renews or ends a session.
    Session,
}

/// Number of calls so far, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Calls {
    /// Reads of a key or a prefix.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes and deletions outside of transactions.
    pub writes: u64,
    /// Transactions.
    pub txns: u64,
    /// Creations, renewals and ends of sessions.
    pub sessions: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
}

/// Rate limits of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Reads and watches per second; zero for no limit.
    pub reads: u32,
    /// All other calls per second; zero for no limit.
    pub writes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            reads: 2_000,
            writes: 400,
        }
    }
}

impl Calls {
    /// Number of accepted calls.
    pub fn total(&self) -> u64 {
        self.reads + self.watches + self.writes + self.txns + self.sessions
    }

    pub(super) fn count(&mut self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Watch => &mut self.watches,
            CallKind::Write => &mut self.writes,
            CallKind::Txn => &mut self.txns,
            CallKind::Session => &mut self.sessions,
        };
        *counter += 1;
    }
}

/// Token bucket with a burst of one second's worth of calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    /// Used tokens in thousandths; a call takes one token.
    used_milli: u64,
    updated: Monotonic,
}

impl TokenBucket {
    /// Takes one token at a limit of `rate` calls per second; returns whether there was one.
    pub(super) fn take(&mut self, rate: u32, now: Monotonic) -> bool {
        let rate = u64::from(rate);
        if rate == 0 {
            return true;
        }
        let elapsed: Millis = now.since(self.updated);
        self.used_milli = self.used_milli.saturating_sub(elapsed * rate);
        self.updated = now;
        if self.used_milli + 1_000 > rate * 1_000 {
            return false;
        }
        self.used_milli += 1_000;
        true
    }
}
