//! The owner: feeds the dispatcher with events and carries out its orders.

mod commit;
mod driver;
mod handover;
mod isolation;
mod retirement;
mod updates;

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::election::{self, LEASE_MS, Term};
use super::host::{KnownOwner, Shared};
use super::keys::{self, SuccessorRecord};
use super::watcher::{self, WatchTiming, WatchUpdate, watch_prefix};
use crate::dispatch::{CallFailure, JobId, JobRecord, JobState, Report, RunKey, WorkerKey};
use crate::domain::{Millis, Monotonic};
use crate::port::{Clock, KeyValue, KvError, Platform, SystemClock};
use driver::Driver;
pub use driver::worker_bounds;

/// Time between two renewals of the owner's lease, in milliseconds.
const RENEW_MS: Millis = LEASE_MS / 4;

/// Time between two probes of the lag of the owner's event loop, in milliseconds.
const LAG_PROBE_MS: Millis = 100;

/// Timing of the watch on the intake. It can be slow, since hosts notify the owner of
/// most jobs directly.
const INTAKE_WATCH: WatchTiming = WatchTiming {
    wait_ms: 1_000,
    pause_ms: 250,
};

/// Timing of the watch on the registry.
const REGISTRY_WATCH: WatchTiming = WatchTiming {
    wait_ms: 1_500,
    pause_ms: 100,
};

/// Event for the owner's loop.
#[derive(Debug)]
pub(super) enum OwnerEvent {
    Submitted(JobId, Box<JobRecord>),
    Cancelled(JobId),
    State(JobId, oneshot::Sender<Option<JobState>>),
    Waiting(String, oneshot::Sender<usize>),
    Polled(WorkerKey, Result<Report, CallFailure>),
    Started(RunKey, Result<(), CallFailure>),
    Stopped(RunKey, Result<(), CallFailure>),
    Paced(RunKey, u8, Result<(), CallFailure>),
    Committed(Result<u64, KvError>),
    Registry(WatchUpdate),
    Intake(WatchUpdate),
    Declared,
    Renewed(Monotonic),
    LeaseEnded,
    /// Another host asks for the ownership.
    Offered(Box<SuccessorRecord>),
    /// Was due at this time; measures the lag of the event loop.
    Probe(Monotonic),
    Stop,
}

/// Why a period of ownership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The owner's lease has ended.
    LeaseEnded,
    /// A worker has seen a higher fencing token, or another owner has committed.
    Superseded,
    /// The stored state could not be read.
    Unreadable,
    /// Another host asks for the ownership and can carry more.
    Outranked,
    /// The ownership was given to another host, or may have been.
    HandedOver,
    /// The process is stopping.
    Stopped,
}

type Sender = mpsc::UnboundedSender<OwnerEvent>;

/// Runs the dispatcher until the ownership ends.
pub(super) async fn run<P: Platform>(
    shared: &Rc<Shared<P>>,
    term: Term,
    sender: Sender,
    mut events: mpsc::UnboundedReceiver<OwnerEvent>,
) -> Outcome {
    let mut background = JoinSet::new();
    let clock = SystemClock::default();
    background.spawn_local(renew(Rc::clone(shared), term, clock, sender.clone()));
    let mut offered = shared.offered.subscribe();
    let mut loading = pin!(Driver::load(shared, term, clock, sender.clone()));
    // A small host may read for seconds. Its successor would read the same again.
    let loaded = loop {
        let request = tokio::select! {
            loaded = &mut loading => break loaded,
            request = handover::next_request(shared, &mut offered) => request,
        };
        if let Some(outcome) = handover::concede(shared, term, request).await {
            return outcome;
        }
    };
    let mut driver = match loaded {
        Ok(driver) => driver,
        Err(error) => {
            log::error!("the stored state cannot be read: {error}");
            election::revoke_lease(shared.platform.kv(), term.lease).await;
            return Outcome::Unreadable;
        }
    };
    let owner = shared.owner.subscribe();
    background.spawn_local(watch_key(owner, term.fence, sender.clone()));
    background.spawn_local(forward_stop(shared.stopping.clone(), sender.clone()));
    background.spawn_local(watch_intake(Rc::clone(shared), sender.clone()));
    background.spawn_local(watch_registry(Rc::clone(shared), sender.clone()));
    background.spawn_local(send_probes(clock, sender));
    loop {
        let mut outcome = driver.drive(&mut events).await;
        if outcome == Outcome::Outranked {
            match driver.hand_over(&mut events).await {
                Some(ended) => outcome = ended,
                None => continue,
            }
        }
        if outcome == Outcome::Stopped {
            driver.finish_commit(&mut events).await;
            driver.retire().await;
            election::revoke_lease(shared.platform.kv(), term.lease).await;
        }
        return outcome;
    }
}

/// Sends probes through the owner's queue of events, which tell how late it handles them.
async fn send_probes(clock: SystemClock, sender: Sender) {
    loop {
        let due = clock.now() + LAG_PROBE_MS;
        tokio::time::sleep(Duration::from_millis(LAG_PROBE_MS)).await;
        if sender.send(OwnerEvent::Probe(due)).is_err() {
            return;
        }
    }
}

async fn renew<P: Platform>(shared: Rc<Shared<P>>, term: Term, clock: SystemClock, sender: Sender) {
    loop {
        let sent = clock.now();
        let event = match shared.platform.kv().renew(term.lease).await {
            Ok(()) => OwnerEvent::Renewed(sent),
            Err(KvError::NoLease) => OwnerEvent::LeaseEnded,
            Err(error) => {
                log::info!("the owner's lease could not be renewed: {error}");
                watcher::back_off().await;
                continue;
            }
        };
        if sender.send(event).is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(RENEW_MS)).await;
    }
}

/// Ends the term when the owner's key, once seen, is gone or another host's. The key may go
/// while its lease is still renewed.
async fn watch_key(mut owner: watch::Receiver<Option<KnownOwner>>, fence: u64, sender: Sender) {
    let is_own = |known: &Option<KnownOwner>| known.as_ref().is_some_and(|k| k.fence == fence);
    let seen = owner.wait_for(is_own).await.is_ok();
    if seen && owner.wait_for(|known| !is_own(known)).await.is_ok() {
        // The loop may have ended.
        let _ = sender.send(OwnerEvent::LeaseEnded);
    }
}

async fn forward_stop(mut stopping: tokio::sync::watch::Receiver<bool>, sender: Sender) {
    if stopping.wait_for(|stopping| *stopping).await.is_ok() {
        // The loop may have ended.
        let _ = sender.send(OwnerEvent::Stop);
    }
}

async fn watch_intake<P: Platform>(shared: Rc<Shared<P>>, sender: Sender) {
    let kv = shared.platform.kv();
    watch_prefix(
        kv,
        keys::INTAKE_PREFIX,
        || INTAKE_WATCH,
        |update, _| {
            let _ = sender.send(OwnerEvent::Intake(update));
        },
    )
    .await;
}

async fn watch_registry<P: Platform>(shared: Rc<Shared<P>>, sender: Sender) {
    let kv = shared.platform.kv();
    let prefix = shared.platform.registry_prefix();
    watch_prefix(
        kv,
        prefix,
        || REGISTRY_WATCH,
        |update, _| {
            let _ = sender.send(OwnerEvent::Registry(update));
        },
    )
    .await;
}
