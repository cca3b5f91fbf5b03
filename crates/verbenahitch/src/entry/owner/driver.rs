//! The loop itself: events in, passes, orders out.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::{Outcome, OwnerEvent, Sender};
use crate::collections::HashMap;
use crate::dispatch::{Bounds, Dispatcher, JobId, Now, Order, Pressure, ProgressRecord};
use crate::domain::{Millis, Monotonic};
use crate::entry::follow::News;
use crate::entry::keys::{self, IntakeKey, JobEntry};
use crate::entry::lead::Term;
use crate::entry::node::Shared;
use crate::entry::observe;
use crate::entry::pause::PauseDetector;
use crate::event::{Entry, Kind};
use crate::port::{Clock, Item, KeyValue, KvError, Platform, SystemClock, Transaction};

/// Longest time between two passes, in milliseconds.
const TICK_MS: Millis = 50;

/// Length of the workers' leases in milliseconds, if they give as much: a zone that
/// is cut off for some seconds goes on working, and the tasks of a worker that is
/// lost for good start elsewhere not much later.
const WORKER_LEASE_MS: Millis = 8_000;

/// How long an owner acts without the store or most workers, in milliseconds.
const QUORUM_MS: Millis = 1_500;

/// How long a vanished entry of the registry may come back, in milliseconds. From
/// the bound on its return after an outage of the store, with some for the watch.
const RELIST_MS: Millis = 2_500;

/// Most jobs in one commit: three entries each, the conditions, the mark and what was
/// learned make up what one transaction takes.
const COMMIT_JOBS: usize = 8;

/// Longest time that a planned hand-over waits for a commit under way, in milliseconds.
const HANDOVER_MS: Millis = 500;

pub(super) struct Driver<P> {
    pub(super) shared: Rc<Shared<P>>,
    pub(super) term: Term,
    pub(super) clock: SystemClock,
    pub(super) sender: Sender,
    pub(super) dispatcher: Dispatcher,
    /// Names by key of the registry.
    pub(super) listed: HashMap<String, String>,
    pub(super) commit_revision: u64,
    pub(super) learned: Vec<Pressure>,
    pub(super) learned_at: Monotonic,
    pub(super) commit: Option<(Transaction, Instant)>,
    pub(super) calls: JoinSet<()>,
}

impl<P: Platform> Driver<P> {
    /// Reads what earlier owners and the other hosts have written.
    pub(super) async fn load(
        shared: &Rc<Shared<P>>,
        term: Term,
        clock: SystemClock,
        sender: Sender,
    ) -> Result<Self, KvError> {
        let began = Instant::now();
        let kv = shared.platform.kv();
        let (registry, progress, intake, commit, learned) = tokio::join!(
            kv.range(shared.platform.registry_prefix()),
            kv.range(keys::PROGRESS),
            kv.range(keys::INTAKE),
            kv.get(keys::COMMIT),
            kv.get(keys::LEARNED),
        );
        let bounds = Bounds {
            lease_ms: WORKER_LEASE_MS.min(shared.settings.lease_max),
            quorum_ms: QUORUM_MS,
            relist_ms: RELIST_MS,
        };
        let mut driver = Self {
            shared: Rc::clone(shared),
            term,
            clock,
            sender,
            dispatcher: Dispatcher::new(bounds, clock.now()),
            listed: HashMap::default(),
            commit_revision: commit?.map_or(0, |item| item.revision),
            commit: None,
            learned: Vec::new(),
            learned_at: clock.now(),
            calls: JoinSet::new(),
        };
        if let Some(learned) = learned?.as_ref().and_then(read::<Vec<Pressure>>) {
            driver.dispatcher.relearn(&learned);
        }
        driver.declare();
        driver.hear_registry(News::All(registry?.0));
        let mut records: HashMap<JobId, ProgressRecord> = HashMap::default();
        for item in &progress?.0 {
            let Some(id) = keys::parse_progress(&item.key) else {
                continue;
            };
            if let Some(record) = read(item) {
                records.insert(id, record);
            }
        }
        let intake = intake?.0;
        for item in &intake {
            driver.recover(item, &mut records);
        }
        driver.hear_intake(News::All(intake));
        Entry::new(Kind::ShardRecovered)
            .with("workers", driver.listed.len())
            .with("took-ms", began.elapsed().as_millis() as u64)
            .emit();
        Ok(driver)
    }

    fn recover(&mut self, item: &Item, records: &mut HashMap<JobId, ProgressRecord>) {
        let Some(IntakeKey::Job(id)) = keys::parse_intake(&item.key) else {
            return;
        };
        let now = self.now();
        match read::<JobEntry>(item) {
            Some(JobEntry::Open(record)) => {
                self.dispatcher
                    .recover(id, record, records.remove(&id), now);
            }
            Some(JobEntry::Ended(state)) => self.dispatcher.remember(id, state, now),
            None => {}
        }
    }

    pub(super) fn now(&self) -> Now {
        Now {
            at: self.clock.now(),
            wall_ms: self.clock.wall_ms(),
        }
    }

    fn declare(&mut self) {
        let (queues, zones) = self.shared.declared();
        self.dispatcher.declare(&queues, &zones);
    }

    pub(super) async fn drive(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<OwnerEvent>,
    ) -> Outcome {
        let mut pauses = PauseDetector::new();
        loop {
            self.act();
            let tick = Duration::from_millis(TICK_MS);
            let event = tokio::time::timeout(tick, events.recv()).await;
            if pauses.has_paused() {
                log::warn!("this process stood still; nothing is ordered until the store confirms");
                self.dispatcher.suspend(true);
            }
            let mut next = event.ok().flatten();
            while let Some(event) = next {
                if let Some(outcome) = self.handle(event) {
                    return outcome;
                }
                next = events.try_recv().ok();
            }
            while self.calls.try_join_next().is_some() {}
            if self.dispatcher.is_fenced() {
                return Outcome::Superseded;
            }
        }
    }

    /// Waits for the commit under way before a planned hand-over.
    pub(super) async fn settle(&mut self, events: &mut mpsc::UnboundedReceiver<OwnerEvent>) {
        let limit = Duration::from_millis(HANDOVER_MS);
        let waiting = async {
            while self.commit.is_some() {
                let Some(event) = events.recv().await else {
                    return;
                };
                if self.handle(event).is_some() {
                    return;
                }
            }
        };
        if tokio::time::timeout(limit, waiting).await.is_err() {
            log::info!("the last commit was not answered before the hand-over");
        }
    }

    fn handle(&mut self, event: OwnerEvent) -> Option<Outcome> {
        let now = self.now();
        match event {
            OwnerEvent::Submitted(id, record) => self.dispatcher.submit(id, *record, now),
            OwnerEvent::Cancelled(id) => self.dispatcher.cancel(id, now.at),
            OwnerEvent::State(id, answer) => {
                let _ = answer.send(self.dispatcher.state(id));
            }
            OwnerEvent::Waiting(queue, answer) => {
                let _ = answer.send(self.dispatcher.waiting(&queue));
            }
            OwnerEvent::Looked(worker, result) => self.dispatcher.looked(worker, result, now.at),
            OwnerEvent::Started(run, result) => self.dispatcher.started(run, result, now.at),
            OwnerEvent::Stopped(run, result) => self.dispatcher.stopped(run, result, now.at),
            OwnerEvent::Paced(run, percent, result) => {
                self.dispatcher.paced(run, percent, result, now.at);
            }
            OwnerEvent::Committed(result) => return self.committed(result),
            OwnerEvent::Registry(news) => self.hear_registry(news),
            OwnerEvent::Intake(news) => self.hear_intake(news),
            OwnerEvent::Declared => self.declare(),
            OwnerEvent::Renewed(sent) => {
                self.dispatcher.confirm(sent);
                self.dispatcher.suspend(false);
            }
            OwnerEvent::LeaseEnded => return Some(Outcome::LeaseEnded),
            OwnerEvent::Stop => return Some(Outcome::Stopped),
        }
        None
    }

    /// Makes one pass, and starts what it decided on.
    fn act(&mut self) {
        let now = self.now();
        for order in self.dispatcher.pass(now) {
            self.carry_out(order);
        }
        if self.commit.is_none() {
            let writes = self.dispatcher.take_writes(COMMIT_JOBS);
            if !writes.is_empty() {
                let mut transaction = self.transaction(&writes);
                self.add_learned(&mut transaction);
                self.commit = Some((transaction, Instant::now()));
                self.send_commit(Duration::ZERO);
            }
        }
    }

    fn carry_out(&mut self, order: Order) {
        let platform = self.shared.platform.clone();
        let sender = self.sender.clone();
        let fence = self.term.fence;
        self.calls.spawn_local(async move {
            let began = Instant::now();
            let (kind, is_ok, event) = match order {
                Order::Look(look) => {
                    let result = platform.look(&look, fence).await;
                    let is_ok = result.is_ok();
                    ("look", is_ok, OwnerEvent::Looked(look.worker, result))
                }
                Order::Start(start) => {
                    let result = platform.start(&start, fence).await;
                    let is_ok = result.is_ok();
                    (
                        "start",
                        is_ok,
                        OwnerEvent::Started(start.target.key, result),
                    )
                }
                Order::Stop(target) => {
                    let result = platform.stop(&target, fence).await;
                    let is_ok = result.is_ok();
                    ("stop", is_ok, OwnerEvent::Stopped(target.key, result))
                }
                Order::Pace(target, percent) => {
                    let result = platform.pace(&target, percent, fence).await;
                    let is_ok = result.is_ok();
                    let event = OwnerEvent::Paced(target.key, percent, result);
                    ("pace", is_ok, event)
                }
            };
            observe::ordered(kind, is_ok, began.elapsed());
            // The loop may have ended meanwhile.
            let _ = sender.send(event);
        });
    }
}

/// Value of an item; one that cannot be read is logged.
pub(super) fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!("{} cannot be read: {error}", item.key);
            None
        }
    }
}
