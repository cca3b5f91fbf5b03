//! Calls from callers, served by any entry host.
//!
//! Load pattern: bursts, retries of callers that lost an answer, and outages of
//! the store. A job is accepted by one conditional write, which succeeds once per
//! identifier ([`acceptance`](super::acceptance)). A job that cannot be stored is refused at
//! once, and so is one that would have no value left at its end
//! ([`admission`](super::admission)). When a write may have been applied, the outcome is
//! unknown, never refused.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::acceptance::accept;
use super::accounts::{Admission, Declared, Denial, InForce};
use super::admission::return_ms;
use super::cancels::{CancelOutcome, Cancels};
use super::host::Shared;
use super::keys::{self, JobEntry};
use super::link::Link;
use super::observe;
use super::owner::OwnerEvent;
use super::refusals::{Exclusion, Refusals};
use crate::dispatch::{JobId, JobRecord, JobState, ProgressRecord, record_size};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::port::{Item, KeyDigest, KeyValue, KvError, Platform, QueueRoute, boot_now};

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
    /// Not stored: the store cannot hold it, now or later.
    Unstorable,
    /// Refused since it would have no value left at its end; its caller may return after
    /// this time in milliseconds.
    Deferred(Millis),
    /// Possibly stored.
    Unknown,
    /// There is no such job.
    Missing,
    /// Not stored: it was cancelled before.
    Cancelled,
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
    let refusals = Rc::new(Refusals::default());
    let cancels = Rc::new(Cancels::default());
    while let Some(call) = calls.recv().await {
        let handler = Handler {
            shared: Rc::clone(&shared),
            link: Rc::clone(&link),
            refusals: Rc::clone(&refusals),
            cancels: Rc::clone(&cancels),
        };
        tokio::task::spawn_local(async move { handler.serve(call).await });
    }
}

struct Handler<P> {
    shared: Rc<Shared<P>>,
    link: Rc<Link>,
    refusals: Rc<Refusals>,
    cancels: Rc<Cancels>,
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
        let value_max = self.shared.platform.kv().value_max();
        let is_storable = record_size::fits(&record.spec, value_max);
        if is_storable && let Some(outcome) = self.refuse(id, &record).await {
            return outcome;
        }
        let account = record.account.clone();
        let entry = JobEntry::Open(record);
        let bytes = keys::encode(&entry);
        if !is_storable || bytes.len() > value_max {
            Entry::new(Kind::JobRefused)
                .with_text("job", id)
                .with("cause", "record-size")
                .with("bytes", bytes.len())
                .with("value-max", value_max)
                .emit();
            observe::record_rejection("record-size");
            return IntakeOutcome::Unstorable;
        }
        if !self.shared.is_store_up() {
            return IntakeOutcome::Refused;
        }
        let kv = self.shared.platform.kv();
        let account = account.as_deref();
        let outcome = accept(kv, id, bytes.clone(), account).await;
        if outcome == IntakeOutcome::Stored {
            self.announce(id, entry, bytes);
        }
        outcome
    }

    /// Refuses a job if that is decided and the store confirms that it holds no such job.
    async fn refuse(&self, id: JobId, record: &JobRecord) -> Option<IntakeOutcome> {
        let fence = self.shared.owner.borrow().as_ref().map(|owner| owner.fence);
        let inbox = &self.shared.inbox;
        let refusal = self.refusals.decide(record, inbox, fence)?;
        if !refusal.cause.is_enforced() {
            observe::record_unenforced(&refusal);
            log::info!("job {id} is accepted without a prospect: {refusal:?}");
            return None;
        }
        if !self.shared.is_store_up() {
            return Some(IntakeOutcome::Refused);
        }
        let waited_ms = match self.refusals.exclude(self.shared.platform.kv(), id).await {
            Exclusion::Excluded(waited_ms) => waited_ms,
            Exclusion::Stored => return Some(IntakeOutcome::Stored),
            Exclusion::Unconfirmed => return None,
        };
        let retry_ms = return_ms(id, refusal.room_ms, waited_ms);
        Entry::new(Kind::JobRefused)
            .with_text("job", id)
            .with("queue", &record.queue.name)
            .with("cause", refusal.cause)
            .with("end-ms", refusal.end_ms)
            .with("limit-ms", refusal.limit_ms)
            .with("waited-ms", waited_ms)
            .with("retry-ms", retry_ms)
            .with("digest-age-ms", refusal.age_ms)
            .with("fence", fence)
            .emit();
        observe::record_refusal(&refusal);
        Some(IntakeOutcome::Deferred(retry_ms))
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
        let refusals = Rc::clone(&self.refusals);
        let asked_at = refusals.now();
        tokio::task::spawn_local(async move {
            match link.notify_submitted(address, id, &bytes).await {
                Ok(digest) => refusals.learn(digest, asked_at),
                Err(error) => log::info!("job {id} was not announced: {error}"),
            }
        });
    }

    async fn cancel(&self, id: JobId, account: Option<&str>) -> IntakeOutcome {
        let outcome = if self.shared.is_store_up() {
            let kv = self.shared.platform.kv();
            self.cancels.cancel(kv, id, account).await
        } else {
            CancelOutcome::StoreDown
        };
        Entry::new(Kind::CancelDecided)
            .with_text("job", id)
            .with("cause", outcome.name())
            .emit();
        observe::record_cancel(outcome.name());
        // The watch is soon enough for the cancel of an unknown job, which no host accepts.
        if outcome == CancelOutcome::Stored
            && !self.shared.inbox.send(OwnerEvent::Cancelled(id))
            && let Some(address) = self.owner_address()
            && let Err(error) = self.link.notify_cancelled(address, id).await
        {
            log::info!("cancel of {id} was not announced: {error}");
        }
        outcome.into()
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
                Some(address) => {
                    let asked_at = self.refusals.now();
                    let answer = self.link.state(address, id).await;
                    answer.map(|(state, digest)| {
                        self.refusals.learn(digest, asked_at);
                        state
                    })
                }
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
        let unreadable = |item: &Item, cause: String| KvError::Refused {
            cause: format!("{}: {cause}", item.key),
        };
        let entry: JobEntry = item.decode().map_err(|cause| unreadable(&item, cause))?;
        if let JobEntry::Ended(state) = entry {
            return Ok(Some(state));
        }
        let Some(progress) = kv.get(&keys::progress(id)).await? else {
            return Ok(Some(JobState::Queued));
        };
        let record: ProgressRecord = progress
            .decode()
            .map_err(|cause| unreadable(&progress, cause))?;
        Ok(Some(record.state))
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
