//! The platform's interfaces that the dispatcher uses: calls to workers, and the
//! entries that operators and workers write to the key-value service.

use std::hash::{Hash, Hasher};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::collections::HashSet;
use crate::dispatch::{Account, CallFailure, Poll, Queue, Report, Start, Target, WorkerInfo};

use super::{Item, KeyValue};

/// Host and path under which callers reach a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host name in the requests.
    pub host: String,
    /// Prefix of the request path.
    pub prefix: String,
    /// Queue that the route leads to.
    pub queue: Queue,
    /// Whether callers need no key where client accounts are declared.
    pub public: bool,
}

/// SHA-256 digest of a caller's key. Comparisons take the same time wherever two digests
/// differ.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    pub fn new(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    /// A part of the digest suffices: digests are spread evenly.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        state.write_u64(u64::from_le_bytes([a, b, c, d, e, f, g, h]));
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Client account with the keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedAccount {
    /// Account.
    pub account: Account,
    /// Digests of the keys.
    pub keys: Vec<KeyDigest>,
}

/// Queues and client accounts in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// Version of the operators' document that declares the queues.
    pub version: u64,
    /// Routes.
    pub routes: Vec<QueueRoute>,
    /// Client accounts; `None` where callers need no keys.
    pub accounts: Option<Vec<KeyedAccount>>,
}

/// Content of an entry that operators write.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Queues to serve.
    Queues(Queues),
    /// Availability zone to evacuate: its workers get no new tasks.
    Evacuate(String),
    /// An entry that the dispatcher does not use.
    Other,
}

/// The document that declares queues and accounts cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub struct Unreadable {
    /// Cause; it shows no key.
    pub cause: String,
    /// Digests of the keys that the document lists, if these can be read.
    pub listed: Option<HashSet<KeyDigest>>,
}

/// Calls to the platform.
#[expect(
    async_fn_in_trait,
    reason = "the futures are polled on one thread and need not be Send"
)]
pub trait Platform: Clone + 'static {
    /// Client of the key-value service.
    type Kv: KeyValue;

    /// Client of the key-value service.
    fn kv(&self) -> &Self::Kv;

    /// Prefix of the keys that workers write.
    fn registry_prefix(&self) -> &'static str;

    /// Prefix of the keys that operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Parses a worker's entry.
    ///
    /// # Errors
    ///
    /// When the entry does not describe a usable worker.
    fn parse_worker(&self, item: &Item) -> Result<WorkerInfo, String>;

    /// Parses an operator's entry.
    ///
    /// # Errors
    ///
    /// When the document that declares queues and accounts is malformed.
    fn parse_directive(&self, item: &Item) -> Result<Directive, Unreadable>;

    /// Extends the leases of a worker's tasks and reads its lists of running and finished runs.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn poll(&self, poll: &Poll, fencing_token: u64) -> Result<Report, CallFailure>;

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn start(&self, start: &Start, fencing_token: u64) -> Result<(), CallFailure>;

    /// Stops a run.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn stop(&self, target: &Target, fencing_token: u64) -> Result<(), CallFailure>;

    /// Sets the CPU share of a run in percent.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn pace(
        &self,
        target: &Target,
        percent: u8,
        fencing_token: u64,
    ) -> Result<(), CallFailure>;
}
