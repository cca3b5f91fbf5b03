//! Callers' calls, at whichever host they arrive.
//!
//! Load pattern: bursts, retries of callers whose answer was lost, and outages of
//! the store. A job is accepted by one write that only succeeds once for its
//! identifier. What cannot be stored is refused at once; what may have been
//! stored is never called refused.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::sync::{mpsc, oneshot};

use super::keys::{self, JobEntry};
use super::link::Link;
use super::node::Shared;
use super::owner::OwnerEvent;
use crate::dispatch::{JobId, JobRecord, JobState, ProgressRecord};
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::port::{KeyValue, KvError, Platform, Put, Queues, Transaction};

/// When a caller that was turned away for the store's sake should come back, in
/// milliseconds: the store answers again within seconds, and callers that return
/// together would be turned away together.
pub const STORE_RETRY_MS: Millis = 1_000;

/// Outcome of a submission or a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The store holds it.
    Stored,
    /// Nothing was stored or ever will be.
    Refused,
    /// It may have been stored.
    Unknown,
    /// There is no such job.
    Missing,
}

/// Outcome of a question for a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// How the job stands.
    Known(JobState),
    /// There is no such job.
    Missing,
    /// Neither owner nor store can be asked.
    Unavailable,
}

/// One call, with the sender of its answer.
#[derive(Debug)]
pub(super) enum Call {
    Submit(JobId, Box<JobRecord>, oneshot::Sender<Accepted>),
    Cancel(JobId, oneshot::Sender<Accepted>),
    State(JobId, oneshot::Sender<Status>),
    Waiting(String, oneshot::Sender<Option<usize>>),
}

/// Handle for callers' calls; clones serve the same host.
#[derive(Clone, Debug)]
pub struct Intake {
    pub(super) calls: mpsc::UnboundedSender<Call>,
    pub(super) queues: Arc<ArcSwapOption<Queues>>,
    pub(super) store_up: Arc<AtomicBool>,
}

impl Intake {
    /// Queues in force, none before the first are known.
    pub fn queues(&self) -> Option<Arc<Queues>> {
        self.queues.load_full()
    }

    /// Whether jobs can be accepted, as far as this host knows: callers that come
    /// while the store turns it away alone are better off at another host.
    pub fn is_ready(&self) -> bool {
        self.queues.load().is_some() && self.store_up.load(Ordering::Relaxed)
    }

    /// Accepts a job.
    pub async fn submit(&self, id: JobId, record: JobRecord) -> Accepted {
        let answer = self.ask(|sender| Call::Submit(id, Box::new(record), sender));
        answer.await.unwrap_or(Accepted::Unknown)
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: JobId) -> Accepted {
        let answer = self.ask(|sender| Call::Cancel(id, sender));
        answer.await.unwrap_or(Accepted::Unknown)
    }

    /// State of a job.
    pub async fn state(&self, id: JobId) -> Status {
        let answer = self.ask(|sender| Call::State(id, sender));
        answer.await.unwrap_or(Status::Unavailable)
    }

    /// Jobs of a queue of which no task has started, none if nobody can tell.
    pub async fn waiting(&self, queue: &str) -> Option<usize> {
        let answer = self.ask(|sender| Call::Waiting(queue.to_owned(), sender));
        answer.await.flatten()
    }

    async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        if self.calls.send(call(sender)).is_err() {
            return None;
        }
        answer.await.ok()
    }
}

/// Serves calls until all handles are gone.
pub(super) async fn serve<P: Platform>(
    shared: Rc<Shared<P>>,
    mut calls: mpsc::UnboundedReceiver<Call>,
) {
    let link = Rc::new(Link::default());
    while let Some(call) = calls.recv().await {
        let desk = Desk {
            shared: Rc::clone(&shared),
            link: Rc::clone(&link),
        };
        tokio::task::spawn_local(async move { desk.serve(call).await });
    }
}

struct Desk<P> {
    shared: Rc<Shared<P>>,
    link: Rc<Link>,
}

impl<P: Platform> Desk<P> {
    async fn serve(&self, call: Call) {
        // A caller that has gone away needs no answer.
        match call {
            Call::Submit(id, record, answer) => {
                let _ = answer.send(self.submit(id, *record).await);
            }
            Call::Cancel(id, answer) => {
                let _ = answer.send(self.cancel(id).await);
            }
            Call::State(id, answer) => {
                let _ = answer.send(self.state(id).await);
            }
            Call::Waiting(queue, answer) => {
                let _ = answer.send(self.waiting(&queue).await);
            }
        }
    }

    async fn submit(&self, id: JobId, record: JobRecord) -> Accepted {
        let entry = JobEntry::Open(record);
        let bytes = keys::encode(&entry);
        let outcome = self.store(keys::job(id), bytes.clone()).await;
        if outcome == Accepted::Stored {
            self.announce(id, entry, bytes);
        }
        outcome
    }

    /// Creates a key; a key that exists already counts as stored.
    async fn store(&self, key: String, value: Vec<u8>) -> Accepted {
        if !self.shared.is_store_up() {
            return Accepted::Refused;
        }
        let transaction = Transaction {
            expected: vec![(key.clone(), 0)],
            puts: vec![Put::lasting(key, value)],
            removes: Vec::new(),
        };
        let kv = self.shared.platform.kv();
        match kv.commit(&transaction).await {
            Ok(_) | Err(KvError::Conflict { .. }) => return Accepted::Stored,
            Err(KvError::Unanswered { cause }) => {
                log::info!("a write was not answered and is repeated: {cause}");
            }
            Err(error) => {
                log::info!("a write was refused: {error}");
                return Accepted::Refused;
            }
        }
        match kv.commit(&transaction).await {
            Ok(_) | Err(KvError::Conflict { .. }) => Accepted::Stored,
            Err(error) => {
                log::warn!("nobody knows whether a write was done: {error}");
                Accepted::Unknown
            }
        }
    }

    /// Tells the owner of a job, which otherwise finds it by its watch.
    fn announce(&self, id: JobId, entry: JobEntry, bytes: Vec<u8>) {
        if let JobEntry::Open(record) = entry
            && self
                .shared
                .inbox
                .tell(OwnerEvent::Submitted(id, Box::new(record)))
        {
            return;
        }
        let Some(address) = self.owner() else {
            return;
        };
        let link = Rc::clone(&self.link);
        tokio::task::spawn_local(async move {
            if let Err(error) = link.submitted(address, id, &bytes).await {
                log::info!("job {id} was not announced: {error}");
            }
        });
    }

    async fn cancel(&self, id: JobId) -> Accepted {
        if !self.shared.is_store_up() {
            return Accepted::Refused;
        }
        match self.shared.platform.kv().get(&keys::job(id)).await {
            Ok(Some(_)) => {}
            Ok(None) => return Accepted::Missing,
            Err(error) => {
                log::info!("cancel of {id} refused: {error}");
                return Accepted::Refused;
            }
        }
        let outcome = self.store(keys::cancel(id), b"{}".to_vec()).await;
        if outcome == Accepted::Stored && !self.shared.inbox.tell(OwnerEvent::Cancelled(id)) {
            let Some(address) = self.owner() else {
                return outcome;
            };
            if let Err(error) = self.link.cancelled(address, id).await {
                log::info!("cancel of {id} was not announced: {error}");
            }
        }
        outcome
    }

    async fn state(&self, id: JobId) -> Status {
        let asked = match self
            .shared
            .inbox
            .ask(|answer| OwnerEvent::State(id, answer))
            .await
        {
            Some(state) => Ok(state),
            None => match self.owner() {
                Some(address) => self.link.state(address, id).await,
                None => Ok(None),
            },
        };
        match asked {
            Ok(Some(state)) => return Status::Known(state),
            Ok(None) => {}
            Err(error) => log::info!("state of {id} is read from the store: {error}"),
        }
        match self.stored_state(id).await {
            Ok(Some(state)) => Status::Known(state),
            Ok(None) => Status::Missing,
            Err(error) => {
                Entry::new(Kind::Refused)
                    .with_text("job", id)
                    .with_text("cause", error)
                    .emit();
                Status::Unavailable
            }
        }
    }

    async fn stored_state(&self, id: JobId) -> Result<Option<JobState>, KvError> {
        let kv = self.shared.platform.kv();
        let Some(item) = kv.get(&keys::job(id)).await? else {
            return Ok(None);
        };
        let unreadable = |error: serde_json::Error| KvError::Refused {
            cause: format!("{}: {error}", item.key),
        };
        let entry: JobEntry = serde_json::from_slice(&item.value).map_err(unreadable)?;
        if let JobEntry::Ended(state) = entry {
            return Ok(Some(state));
        }
        let Some(progress) = kv.get(&keys::progress(id)).await? else {
            return Ok(Some(JobState::Queued));
        };
        let progress: ProgressRecord =
            serde_json::from_slice(&progress.value).map_err(unreadable)?;
        Ok(Some(progress.state))
    }

    async fn waiting(&self, queue: &str) -> Option<usize> {
        let name = queue.to_owned();
        if let Some(count) = self
            .shared
            .inbox
            .ask(|answer| OwnerEvent::Waiting(name, answer))
            .await
        {
            return Some(count);
        }
        match self.link.waiting(self.owner()?, queue).await {
            Ok(count) => Some(count),
            Err(error) => {
                log::info!("jobs waiting in {queue} are not known: {error}");
                None
            }
        }
    }

    fn owner(&self) -> Option<SocketAddr> {
        let owner = self.shared.owner.borrow();
        owner.as_ref().and_then(|owner| owner.address.parse().ok())
    }
}
