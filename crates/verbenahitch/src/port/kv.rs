//! The platform's key-value service.

use std::fmt::Display;

use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::domain::Millis;

/// Longest cause for which a value cannot be read, in bytes. Errors may quote the value, which
/// can have the largest size that the service takes.
const CAUSE_MAX_BYTES: usize = 200;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value, or why it cannot be read. The key exists all the same.
    pub value: Result<Vec<u8>, String>,
    /// Revision of the last change, zero if it cannot be read.
    pub revision: u64,
    /// Revision of the creation, zero if it cannot be read.
    pub created: u64,
}

impl Item {
    /// Bytes of the value.
    ///
    /// # Errors
    ///
    /// Why it cannot be read.
    pub fn bytes(&self) -> Result<&[u8], String> {
        self.value.as_deref().map_err(Clone::clone)
    }

    /// Decodes a value in JSON.
    ///
    /// # Errors
    ///
    /// Why it cannot be read, in short.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(self.bytes()?).map_err(short_cause)
    }
}

/// Text of an error, cut to the length of a log line.
pub fn short_cause(error: impl Display) -> String {
    let mut text = error.to_string();
    if text.len() > CAUSE_MAX_BYTES {
        let mut ends = (0..=CAUSE_MAX_BYTES).rev();
        text.truncate(ends.find(|end| text.is_char_boundary(*end)).unwrap_or(0));
        text.push_str(" ...");
    }
    text
}

/// Item with that key among those of a conflict; none if it does not exist or cannot be read.
pub fn find<'a>(items: &'a [Item], key: &str) -> Option<&'a Item> {
    items
        .iter()
        .find(|item| item.key == key && item.revision > 0)
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was created or its value was changed.
    Put(Item),
    /// The key was removed.
    Removed(String),
}

/// An atomic transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Revisions that the keys must have, zero for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

impl Transaction {
    /// Bytes of all values.
    pub fn value_bytes(&self) -> usize {
        self.puts.iter().map(|put| put.value.len()).sum()
    }

    /// Key with the largest value.
    pub fn largest(&self) -> Option<&Put> {
        self.puts.iter().max_by_key(|put| put.value.len())
    }
}

/// One key to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease whose end removes the key; zero for none.
    pub lease: u64,
}

impl Put {
    /// A key without a lease, which stays until it is removed.
    pub fn persistent(key: String, value: Vec<u8>) -> Self {
        Self {
            key,
            value,
            lease: 0,
        }
    }
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KvError {
    /// The call provably took no effect.
    #[snafu(display("the call took no effect: {cause}"))]
    Refused {
        /// Cause.
        cause: String,
    },
    /// The call took no effect, and would be answered alike if it were sent again as it is.
    #[snafu(display("the call is rejected as it is: {cause}"))]
    Rejected {
        /// Cause.
        cause: String,
    },
    /// The call may have taken effect, or may still take effect.
    #[snafu(display("no answer, the call may take effect: {cause}"))]
    Unanswered {
        /// Cause.
        cause: String,
    },
    /// A key does not have the expected revision.
    #[snafu(display("a key does not have the expected revision"))]
    Conflict {
        /// Current state of the expected keys.
        items: Vec<Item>,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    NoLease,
    /// The requested revisions have been compacted.
    #[snafu(display("the requested revisions have been compacted"))]
    Compacted,
}

/// Calls to the service. Each returns within a bounded time.
#[expect(
    async_fn_in_trait,
    reason = "the futures are polled on one thread and need not be Send"
)]
pub trait KeyValue: Clone + 'static {
    /// Largest value that the service takes, in bytes.
    fn value_max(&self) -> usize;

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, KvError>;

    /// Reads all keys that start with `prefix`, and the revision to watch from. An item that cannot
    /// be read costs itself alone.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), KvError>;

    /// Waits up to `wait_ms` for changes after a revision; returns the revision for the next watch.
    /// A change that cannot be read costs itself alone.
    ///
    /// # Errors
    ///
    /// When the service does not answer, or has compacted the revision `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: Millis,
    ) -> Result<(Vec<Change>, u64), KvError>;

    /// Commits a transaction; returns its revision.
    ///
    /// # Errors
    ///
    /// When it was not committed, or its outcome is unknown.
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

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// When the service does not answer.
    async fn revoke(&self, lease: u64) -> Result<(), KvError>;
}
