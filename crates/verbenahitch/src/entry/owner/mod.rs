//! The owner's part: it feeds the dispatcher and carries its orders out.

mod commit;
mod driver;
mod hear;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::follow::{self, News, Pacing, follow};
use super::keys;
use super::lead::{self, LEASE_MS, Term};
use super::node::Shared;
use crate::dispatch::{CallFailure, JobId, JobRecord, JobState, Report, RunKey, WorkerKey};
use crate::domain::{Millis, Monotonic};
use crate::port::{Clock, KeyValue, KvError, Platform, SystemClock};
use driver::Driver;

/// Time between two renewals of the owner's lease, in milliseconds.
const RENEW_MS: Millis = LEASE_MS / 4;

/// How the intake is followed; most jobs are announced before.
const FOLLOW_INTAKE: Pacing = Pacing {
    wait_ms: 1_000,
    pause_ms: 250,
};

/// How the registry is followed.
const FOLLOW_REGISTRY: Pacing = Pacing {
    wait_ms: 1_500,
    pause_ms: 100,
};

/// What the owner's loop hears.
#[derive(Debug)]
pub(super) enum OwnerEvent {
    Submitted(JobId, Box<JobRecord>),
    Cancelled(JobId),
    State(JobId, oneshot::Sender<Option<JobState>>),
    Waiting(String, oneshot::Sender<usize>),
    Looked(WorkerKey, Result<Report, CallFailure>),
    Started(RunKey, Result<Millis, CallFailure>),
    Stopped(RunKey, Result<Millis, CallFailure>),
    Paced(RunKey, u8, Result<Millis, CallFailure>),
    Committed(Result<u64, KvError>),
    Registry(News),
    Intake(News),
    Declared,
    Renewed(Monotonic),
    LeaseEnded,
    Stop,
}

/// Why an ownership has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The store says that the lease has ended.
    LeaseEnded,
    /// A worker has seen a higher token, or another owner has written.
    Superseded,
    /// What has to be known could not be read.
    Unreadable,
    /// The process was told to stop.
    Stopped,
}

type Sender = mpsc::UnboundedSender<OwnerEvent>;

/// Owns the dispatching until the ownership ends.
pub(super) async fn run<P: Platform>(
    shared: &Rc<Shared<P>>,
    term: Term,
    sender: Sender,
    mut events: mpsc::UnboundedReceiver<OwnerEvent>,
) -> Outcome {
    let mut helpers = JoinSet::new();
    let clock = SystemClock::default();
    helpers.spawn_local(renew(Rc::clone(shared), term, clock, sender.clone()));
    let mut driver = match Driver::load(shared, term, clock, sender.clone()).await {
        Ok(driver) => driver,
        Err(error) => {
            log::error!("the state cannot be read: {error}");
            lead::abandon(shared.platform.kv(), term.lease).await;
            return Outcome::Unreadable;
        }
    };
    helpers.spawn_local(watch_stop(shared.stopping.clone(), sender.clone()));
    helpers.spawn_local(hear_intake(Rc::clone(shared), sender.clone()));
    helpers.spawn_local(hear_registry(Rc::clone(shared), sender));
    let outcome = driver.drive(&mut events).await;
    if outcome == Outcome::Stopped {
        driver.settle(&mut events).await;
        lead::abandon(shared.platform.kv(), term.lease).await;
    }
    outcome
}

async fn renew<P: Platform>(shared: Rc<Shared<P>>, term: Term, clock: SystemClock, sender: Sender) {
    loop {
        let sent = clock.now();
        let event = match shared.platform.kv().renew(term.lease).await {
            Ok(()) => OwnerEvent::Renewed(sent),
            Err(KvError::NoLease) => OwnerEvent::LeaseEnded,
            Err(error) => {
                log::info!("the owner's lease was not renewed: {error}");
                follow::pause().await;
                continue;
            }
        };
        if sender.send(event).is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(RENEW_MS)).await;
    }
}

async fn watch_stop(mut stopping: tokio::sync::watch::Receiver<bool>, sender: Sender) {
    if stopping.wait_for(|stopping| *stopping).await.is_ok() {
        // The loop may have ended by itself.
        let _ = sender.send(OwnerEvent::Stop);
    }
}

async fn hear_intake<P: Platform>(shared: Rc<Shared<P>>, sender: Sender) {
    let kv = shared.platform.kv();
    follow(kv, keys::INTAKE, FOLLOW_INTAKE, |news| {
        let _ = sender.send(OwnerEvent::Intake(news));
    })
    .await;
}

async fn hear_registry<P: Platform>(shared: Rc<Shared<P>>, sender: Sender) {
    let kv = shared.platform.kv();
    let prefix = shared.platform.registry_prefix();
    follow(kv, prefix, FOLLOW_REGISTRY, |news| {
        let _ = sender.send(OwnerEvent::Registry(news));
    })
    .await;
}
