//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! The protocol is the HTTP interface that Consul publishes for its key-value
//! store: `/v1/kv`, `/v1/txn` and `/v1/session`.

use snafu::Snafu;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key; `/` separates its parts.
    pub key: String,
    /// Value, at most one megabyte.
    pub value: Vec<u8>,
    /// Index of the last change of the key, for compare-and-swap.
    pub modify_index: u64,
    /// Number of times that the key has been locked, used as the fencing epoch of the lock.
    pub lock_index: u64,
    /// Session that holds the lock, if any.
    pub session: Option<String>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Sets `key` if its last change has this index; index 0 requires that it is absent.
    Cas {
        /// Key to set.
        key: String,
        /// New value.
        value: Vec<u8>,
        /// Expected index.
        index: u64,
    },
    /// Sets `key` unconditionally.
    Set {
        /// Key to set.
        key: String,
        /// New value.
        value: Vec<u8>,
    },
    /// Deletes `key` if it exists.
    Delete {
        /// Key to delete.
        key: String,
    },
    /// Requires that `session` holds the lock of `key`.
    CheckSession {
        /// Locked key.
        key: String,
        /// Expected holder.
        session: String,
    },
    /// Requires that `key` does not exist.
    CheckAbsent {
        /// Key that must be absent.
        key: String,
    },
}

/// Outcome of a transaction that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// Every operation took effect.
    Committed {
        /// Index of the change.
        index: u64,
    },
    /// No operation took effect.
    Conflict {
        /// Positions of the operations that failed.
        failed: Vec<usize>,
    },
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call provably took no effect.
    #[snafu(display("store at {address} did not take the call: {reason}"))]
    Unreachable {
        /// Address of the store.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display(
        "store at {address} gave no answer, the call may have taken effect: {reason}"
    ))]
    Unanswered {
        /// Address of the store.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// The store answered with an error status that neither case above covers.
    #[snafu(display("store at {address} answered {status}: {reason}"))]
    Rejected {
        /// Address of the store.
        address: String,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        reason: String,
    },
}
