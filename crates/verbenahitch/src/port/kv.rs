//! The platform's key-value service.

use snafu::Snafu;

use crate::domain::Millis;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the creation.
    pub created: u64,
}

/// One change that a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has this value now.
    Put(Item),
    /// The key is gone.
    Removed(String),
}

/// A transaction: all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Revisions that the keys must have, zero for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// One key to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease that the key ends with, zero for none.
    pub lease: u64,
}

impl Put {
    /// A key that stays until it is removed.
    pub fn lasting(key: String, value: Vec<u8>) -> Self {
        Self {
            key,
            value,
            lease: 0,
        }
    }
}

/// Why a call brought no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KvError {
    /// Nothing was done.
    #[snafu(display("nothing was done: {cause}"))]
    Refused {
        /// Cause.
        cause: String,
    },
    /// It may have been done, or may be done yet.
    #[snafu(display("no answer: {cause}"))]
    Unanswered {
        /// Cause.
        cause: String,
    },
    /// An expected revision was another.
    #[snafu(display("an expected revision was another"))]
    Conflict {
        /// The expected keys as they are.
        items: Vec<Item>,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    NoLease,
    /// The history asked for is no longer kept.
    #[snafu(display("the history is no longer kept"))]
    Compacted,
}

/// Calls to the service. Each ends within a bounded time.
#[expect(
    async_fn_in_trait,
    reason = "the futures stay on the thread of their process edge"
)]
pub trait KeyValue: Clone + 'static {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, KvError>;

    /// Reads all keys that begin with `prefix`, and a revision to watch from.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), KvError>;

    /// Waits up to `wait_ms` for changes after a revision; returns the one to go on from.
    ///
    /// # Errors
    ///
    /// When the service does not answer, or no longer keeps the history.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: Millis,
    ) -> Result<(Vec<Change>, u64), KvError>;

    /// Carries a transaction out; returns its revision.
    ///
    /// # Errors
    ///
    /// When it was not carried out, or nobody knows.
    async fn commit(&self, transaction: &Transaction) -> Result<u64, KvError>;

    /// Creates a lease.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn grant(&self, ttl_ms: Millis) -> Result<u64, KvError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// When it has ended, or the service does not answer.
    async fn renew(&self, lease: u64) -> Result<(), KvError>;

    /// Ends a lease, and with it its keys.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn revoke(&self, lease: u64) -> Result<(), KvError>;
}
