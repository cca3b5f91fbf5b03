//! Calls from callers, served by any entry host.
//!
//! Load pattern: bursts, retries of callers that lost an answer, and outages of
//! the store. A job is accepted by one conditional write, which succeeds once per
//! identifier. A job that cannot be stored is refused at once. When a write may
//! have been applied, the outcome is unknown, never refused.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::accounts::{Admission, Declared, Denial, InForce};
use super::host::Shared;
use super::keys::{self, JobEntry};
use super::link::Link;
use super::observe;
use super::owner::OwnerEvent;
use crate::dispatch::{JobId, JobRecord, JobState, ProgressRecord};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::port::{
    Item, KeyDigest, KeyValue, KvError, Platform, Put, QueueRoute, Transaction, boot_now,
};

/// `Retry-After` of callers that are refused for the time being, such as when the store
/// is unavailable, in milliseconds. The store recovers within seconds, and callers that
/// return all at once would be refused again.
pub const RETRY_AFTER_MS: Millis = 1_000;

/// Outcome of a submission or a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeOutcome {
    /// Stored.
    Stored,
    /// Not stored, and it will not be stored later.
    Refused,
    /// Possibly stored.
    Unknown,
    /// There is no such job.
    Missing,
}

/// Outcome of a state query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// State of the job.
    Known(JobState),
    /// There is no such job.
    Missing,
    /// Neither the owner nor the store answers.
    Unavailable,
}

/// One call, with the channel for its answer.
#[derive(Debug)]
pub(super) enum Call {
    Submit(JobId, Box<JobRecord>, oneshot::Sender<IntakeOutcome>),
    Cancel(JobId, Option<Arc<str>>, oneshot::Sender<IntakeOutcome>),
    State(JobId, oneshot::Sender<Status>),
    Waiting(String, oneshot::Sender<Option<usize>>),
}

/// Handle for serving callers; clones belong to the same host.
#[derive(Clone, Debug)]
pub struct Intake {
    pub(super) calls: mpsc::UnboundedSender<Call>,
    pub(super) in_force: Arc<ArcSwap<InForce>>,
    pub(super) store_up: Arc<AtomicBool>,
}

impl Intake {
    /// Declarations in force; `None` until they have been read once.
    pub fn declared(&self) -> Option<Arc<Declared>> {
        self.in_force.load().declared().cloned()
    }

    /// Whether this host can accept jobs. While the store refuses only this host, or this
    /// host does not know which keys are good, callers should use another one.
    pub fn is_ready(&self) -> bool {
        let in_force = self.in_force.load();
        in_force.declared().is_some()
            && self.store_up.load(Ordering::Relaxed)
            && boot_now().is_some_and(|now| in_force.is_fresh(now))
    }

    /// Decides whether a call that has arrived is served, and for which account.
    pub fn authenticate(&self, route: &QueueRoute, key: Option<&KeyDigest>) -> Admission {
        let in_force = self.in_force.load();
        let in_touch = self.store_up.load(Ordering::Relaxed);
        // Without a clock nothing is known to be recent.
        let now = boot_now().unwrap_or(Monotonic(Millis::MAX));
        let admission = in_force.admit(now, in_touch, route.public, key);
        if let Err(denial) = &admission {
            observe::record_denial(denial);
            let account = match denial {
                Denial::Withdrawn(name) => Some(name.as_ref()),
                Denial::NoKey | Denial::Unknown | Denial::Outdated => None,
            };
            Entry::new(Kind::KeyRefused)
                .with("queue", &route.queue.name)
                .with("cause", denial.name())
                .with("account", account)
                .with("age-ms", in_force.age_ms(now))
                .with("store-up", in_touch)
                .emit();
        }
        admission
    }

    /// Accepts a job.
    pub async fn submit(&self, id: JobId, record: JobRecord) -> IntakeOutcome {
        let answer = self.call(|sender| Call::Submit(id, Box::new(record), sender));
        answer.await.unwrap_or(IntakeOutcome::Unknown)
    }

    /// Cancels a job for `account`; there is no such job if it belongs to another account.
    pub async fn cancel(&self, id: JobId, account: Option<Arc<str>>) -> IntakeOutcome {
        let answer = self.call(|sender| Call::Cancel(id, account, sender));
        answer.await.unwrap_or(IntakeOutcome::Unknown)
    }

    /// State of a job.
    pub async fn state(&self, id: JobId) -> Status {
        let answer = self.call(|sender| Call::State(id, sender));
        answer.await.unwrap_or(Status::Unavailable)
    }

    /// Number of jobs in a queue of which no task has started; `None` if the owner does
    /// not answer.
    pub async fn waiting(&self, queue: &str) -> Option<usize> {
        let answer = self.call(|sender| Call::Waiting(queue.to_owned(), sender));
        answer.await.flatten()
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        if self.calls.send(call(sender)).is_err() {
            return None;
        }
        answer.await.ok()
    }
}

/// Serves calls until all handles are dropped.
pub(super) async fn serve<P: Platform>(
    shared: Rc<Shared<P>>,
    mut calls: mpsc::UnboundedReceiver<Call>,
) {
    let link = Rc::new(Link::default());
    while let Some(call) = calls.recv().await {
        let handler = Handler {
            shared: Rc::clone(&shared),
            link: Rc::clone(&link),
        };
        tokio::task::spawn_local(async move { handler.serve(call).await });
    }
}

struct Handler<P> {
    shared: Rc<Shared<P>>,
    link: Rc<Link>,
}

impl<P: Platform> Handler<P> {
    async fn serve(&self, call: Call) {
        // The caller may have dropped the receiver.
        match call {
            Call::Submit(id, record, answer) => {
                let _ = answer.send(self.submit(id, *record).await);
            }
            Call::Cancel(id, account, answer) => {
                let _ = answer.send(self.cancel(id, account.as_deref()).await);
            }
            Call::State(id, answer) => {
                let _ = answer.send(self.state(id).await);
            }
            Call::Waiting(queue, answer) => {
                let _ = answer.send(self.waiting(&queue).await);
            }
        }
    }

    async fn submit(&self, id: JobId, record: JobRecord) -> IntakeOutcome {
        let entry = JobEntry::Open(record);
        let bytes = keys::encode(&entry);
        let outcome = self.store(keys::job(id), bytes.clone()).await;
        if outcome == IntakeOutcome::Stored {
            self.announce(id, entry, bytes);
        }
        outcome
    }

    /// Creates a key. An existing key counts as stored: it is from an earlier attempt.
    async fn store(&self, key: String, value: Vec<u8>) -> IntakeOutcome {
        if !self.shared.is_store_up() {
            return IntakeOutcome::Refused;
        }
        let transaction = Transaction {
            expected: vec![(key.clone(), 0)],
            puts: vec![Put::persistent(key, value)],
            removes: Vec::new(),
        };
        let kv = self.shared.platform.kv();
        match kv.commit(&transaction).await {
            Ok(_) | Err(KvError::Conflict { .. }) => return IntakeOutcome::Stored,
            Err(KvError::Unanswered { cause }) => {
                log::info!("no answer to a write, which is sent again: {cause}");
            }
            Err(error) => {
                log::info!("the store refused a write: {error}");
                return IntakeOutcome::Refused;
            }
        }
        match kv.commit(&transaction).await {
            Ok(_) | Err(KvError::Conflict { .. }) => IntakeOutcome::Stored,
            Err(error) => {
                log::warn!("a write may or may not have been applied: {error}");
                IntakeOutcome::Unknown
            }
        }
    }

    /// Notifies the owner of a job. If this fails, the owner finds the job by its watch.
    fn announce(&self, id: JobId, entry: JobEntry, bytes: Vec<u8>) {
        if let JobEntry::Open(record) = entry
            && self
                .shared
                .inbox
                .send(OwnerEvent::Submitted(id, Box::new(record)))
        {
            return;
        }
        let Some(address) = self.owner_address() else {
            return;
        };
        let link = Rc::clone(&self.link);
        tokio::task::spawn_local(async move {
            if let Err(error) = link.notify_submitted(address, id, &bytes).await {
                log::info!("job {id} was not announced: {error}");
            }
        });
    }

    async fn cancel(&self, id: JobId, account: Option<&str>) -> IntakeOutcome {
        if !self.shared.is_store_up() {
            return IntakeOutcome::Refused;
        }
        match self.shared.platform.kv().get(&keys::job(id)).await {
            Ok(Some(item)) if is_foreign(&item, account) => return IntakeOutcome::Missing,
            Ok(Some(_)) => {}
            Ok(None) => return IntakeOutcome::Missing,
            Err(error) => {
                log::info!("cancel of {id} was refused: {error}");
                return IntakeOutcome::Refused;
            }
        }
        let outcome = self.store(keys::cancel(id), b"{}".to_vec()).await;
        if outcome == IntakeOutcome::Stored && !self.shared.inbox.send(OwnerEvent::Cancelled(id)) {
            let Some(address) = self.owner_address() else {
                return outcome;
            };
            if let Err(error) = self.link.notify_cancelled(address, id).await {
                log::info!("cancel of {id} was not announced: {error}");
            }
        }
        outcome
    }

    async fn state(&self, id: JobId) -> Status {
        let result = match self
            .shared
            .inbox
            .query(|answer| OwnerEvent::State(id, answer))
            .await
        {
            Some(state) => Ok(state),
            None => match self.owner_address() {
                Some(address) => self.link.state(address, id).await,
                None => Ok(None),
            },
        };
        match result {
            Ok(Some(state)) => return Status::Known(state),
            Ok(None) => {}
            Err(error) => log::info!(
                "no answer from the owner, reading the state of {id} from the store: {error}"
            ),
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
            .query(|answer| OwnerEvent::Waiting(name, answer))
            .await
        {
            return Some(count);
        }
        match self.link.waiting(self.owner_address()?, queue).await {
            Ok(count) => Some(count),
            Err(error) => {
                log::info!("the number of jobs waiting in {queue} is unknown: {error}");
                None
            }
        }
    }

    fn owner_address(&self) -> Option<SocketAddr> {
        let owner = self.shared.owner.borrow();
        owner
            .as_ref()
            .and_then(|owner| owner.record.address.parse().ok())
    }
}

/// Whether a job's entry names another account than the caller's. Either may be without
/// one: the caller on a public route, and a job that was accepted there.
fn is_foreign(item: &Item, caller: Option<&str>) -> bool {
    match serde_json::from_slice(&item.value) {
        Ok(JobEntry::Open(JobRecord {
            account: Some(account),
            ..
        })) => caller.is_some_and(|caller| caller != account),
        // The entry of a job that has ended keeps no account, and its cancel does nothing.
        Ok(JobEntry::Open(_) | JobEntry::Ended(_)) => false,
        Err(error) => {
            log::error!("{} cannot be parsed: {error}", item.key);
            false
        }
    }
}
