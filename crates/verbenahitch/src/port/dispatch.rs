//! The platform's interfaces that the dispatcher uses: calls to workers, and the
//! entries that operators and workers write to the key-value service.

use crate::dispatch::{CallFailure, Poll, Queue, Report, Start, Target, WorkerInfo};

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
}

/// Queues in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// Version of the operators' document that declares the queues.
    pub version: u64,
    /// Routes.
    pub routes: Vec<QueueRoute>,
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
    /// When the entry is malformed.
    fn parse_directive(&self, item: &Item) -> Result<Directive, String>;

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
