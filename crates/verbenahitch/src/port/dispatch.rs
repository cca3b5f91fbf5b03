//! The platform as the dispatching sees it: workers' interface, and what
//! operators and workers write to the key-value service.

use crate::dispatch::{CallFailure, Look, Queue, Report, Start, Target, WorkerInfo};
use crate::domain::Millis;

use super::{Item, KeyValue};

/// Where callers reach a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host that requests name.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Queue.
    pub queue: Queue,
}

/// Queues in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// Version of the operators' document.
    pub version: u64,
    /// Routes.
    pub routes: Vec<QueueRoute>,
}

/// What an operator's key says.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Queues to serve.
    Queues(Queues),
    /// A zone whose workers are to get nothing.
    Evacuate(String),
    /// A key without meaning here.
    Other,
}

/// Calls to the platform.
#[expect(
    async_fn_in_trait,
    reason = "the futures stay on the thread of their process edge"
)]
pub trait Platform: Clone + 'static {
    /// Key-value service.
    type Kv: KeyValue;

    /// Key-value service.
    fn kv(&self) -> &Self::Kv;

    /// Beginning of the keys that workers write.
    fn registry_prefix(&self) -> &'static str;

    /// Beginning of the keys that operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Reads a worker's entry.
    ///
    /// # Errors
    ///
    /// When the entry names no worker to use.
    fn worker(&self, item: &Item) -> Result<WorkerInfo, String>;

    /// Reads an operator's key.
    ///
    /// # Errors
    ///
    /// When it cannot be read.
    fn directive(&self, item: &Item) -> Result<Directive, String>;

    /// Extends a worker's leases and reads its lists.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn look(&self, look: &Look, fence: u64) -> Result<Report, CallFailure>;

    /// Starts a run; returns the worker's clock.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn start(&self, start: &Start, fence: u64) -> Result<Millis, CallFailure>;

    /// Stops a run; returns the worker's clock.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn stop(&self, target: &Target, fence: u64) -> Result<Millis, CallFailure>;

    /// Sets the share of processors of a run in percent; returns the worker's clock.
    ///
    /// # Errors
    ///
    /// When the worker refuses or does not answer.
    async fn pace(&self, target: &Target, percent: u8, fence: u64) -> Result<Millis, CallFailure>;
}
