//! The owner's loop: feeds the dispatcher and carries its orders out.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::follow::{self, News, Pacing, follow};
use super::keys::{self, IntakeKey, JobEntry};
use super::lead::{LEASE_MS, Term};
use super::node::Shared;
use super::observe;
use super::pause::PauseDetector;
use crate::collections::HashMap;
use crate::dispatch::{
    Bounds, CallFailure, Dispatcher, JobId, JobRecord, JobState, Now, Order, Pressure,
    ProgressRecord, Report, RunKey, WorkerKey, Write,
};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::port::{
    Change, Clock, Item, KeyValue, KvError, Platform, Put, SystemClock, Transaction,
};

/// Longest time between two passes, in milliseconds.
const TICK_MS: Millis = 50;

/// Time between two renewals of the owner's lease, in milliseconds.
const RENEW_MS: Millis = LEASE_MS / 4;

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

/// Time between two records of what was learned, in milliseconds. Few enough not to
/// show among the commits.
const LEARNED_MS: Millis = 3_000;

/// Longest time that a planned hand-over waits for a commit under way, in milliseconds.
const HANDOVER_MS: Millis = 500;

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
            hand_over(shared, term).await;
            return Outcome::Unreadable;
        }
    };
    helpers.spawn_local(watch_stop(shared.stopping.clone(), sender.clone()));
    helpers.spawn_local(hear_intake(Rc::clone(shared), sender.clone()));
    helpers.spawn_local(hear_registry(Rc::clone(shared), sender));
    let outcome = driver.drive(&mut events).await;
    if outcome == Outcome::Stopped {
        driver.settle(&mut events).await;
        hand_over(shared, term).await;
    }
    outcome
}

async fn hand_over<P: Platform>(shared: &Shared<P>, term: Term) {
    if let Err(error) = shared.platform.kv().revoke(term.lease).await {
        log::info!("the owner's lease is left to end by itself: {error}");
    }
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

struct Driver<P> {
    shared: Rc<Shared<P>>,
    term: Term,
    clock: SystemClock,
    sender: Sender,
    dispatcher: Dispatcher,
    /// Names by key of the registry.
    listed: HashMap<String, String>,
    commit_revision: u64,
    learned: Vec<Pressure>,
    learned_at: Monotonic,
    commit: Option<(Transaction, Instant)>,
    calls: JoinSet<()>,
}

impl<P: Platform> Driver<P> {
    /// Reads what earlier owners and the other hosts have written.
    async fn load(
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

    fn now(&self) -> Now {
        Now {
            at: self.clock.now(),
            wall_ms: self.clock.wall_ms(),
        }
    }

    fn declare(&mut self) {
        let (queues, zones) = self.shared.declared();
        self.dispatcher.declare(&queues, &zones);
    }

    async fn drive(&mut self, events: &mut mpsc::UnboundedReceiver<OwnerEvent>) -> Outcome {
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
    async fn settle(&mut self, events: &mut mpsc::UnboundedReceiver<OwnerEvent>) {
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

    fn hear_registry(&mut self, news: News) {
        match news {
            News::All(items) => {
                let gone: Vec<String> = self
                    .listed
                    .keys()
                    .filter(|key| !items.iter().any(|item| item.key == **key))
                    .cloned()
                    .collect();
                for key in gone {
                    self.unlist(&key);
                }
                for item in &items {
                    self.list(item);
                }
            }
            News::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.list(&item),
                        Change::Removed(key) => self.unlist(&key),
                    }
                }
            }
            News::Nothing | News::Silence(_) => {}
        }
    }

    fn list(&mut self, item: &Item) {
        match self.shared.platform.worker(item) {
            Ok(info) => {
                self.listed.insert(item.key.clone(), info.name.clone());
                self.dispatcher.list_worker(info, self.clock.now());
            }
            Err(cause) => {
                Entry::new(Kind::DeclarationUnreadable)
                    .with("key", &item.key)
                    .with("revision", item.revision)
                    .with("cause", cause)
                    .emit();
                self.unlist(&item.key);
            }
        }
    }

    fn unlist(&mut self, key: &str) {
        if let Some(name) = self.listed.remove(key) {
            self.dispatcher.unlist_worker(&name, self.clock.now());
        }
    }

    fn hear_intake(&mut self, news: News) {
        let items = match news {
            News::All(items) => items,
            News::Changes(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                })
                .collect(),
            News::Nothing | News::Silence(_) => return,
        };
        let now = self.now();
        for item in &items {
            match keys::parse_intake(&item.key) {
                Some(IntakeKey::Job(id)) => {
                    if self.dispatcher.state(id).is_none()
                        && let Some(JobEntry::Open(record)) = read(item)
                    {
                        self.dispatcher.submit(id, record, now);
                    }
                }
                Some(IntakeKey::Cancel(id)) => self.dispatcher.cancel(id, now.at),
                None => {}
            }
        }
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
                self.send_commit();
            }
        }
    }

    fn carry_out(&mut self, order: Order) {
        let platform = self.shared.platform.clone();
        let sender = self.sender.clone();
        let fence = self.term.fence;
        self.calls.spawn_local(async move {
            let began = Instant::now();
            let event = match order {
                Order::Look(look) => {
                    OwnerEvent::Looked(look.worker, platform.look(&look, fence).await)
                }
                Order::Start(start) => {
                    OwnerEvent::Started(start.target.key, platform.start(&start, fence).await)
                }
                Order::Stop(target) => {
                    OwnerEvent::Stopped(target.key, platform.stop(&target, fence).await)
                }
                Order::Pace(target, percent) => {
                    let result = platform.pace(&target, percent, fence).await;
                    OwnerEvent::Paced(target.key, percent, result)
                }
            };
            let (kind, is_ok) = match &event {
                OwnerEvent::Looked(_, result) => ("look", result.is_ok()),
                OwnerEvent::Started(_, result) => ("start", result.is_ok()),
                OwnerEvent::Stopped(_, result) => ("stop", result.is_ok()),
                OwnerEvent::Paced(_, _, result) => ("pace", result.is_ok()),
                _ => ("other", true),
            };
            observe::ordered(kind, is_ok, began.elapsed());
            // The loop may have ended meanwhile.
            let _ = sender.send(event);
        });
    }

    fn transaction(&self, writes: &[Write]) -> Transaction {
        let put = |key: String, value: Vec<u8>| Put {
            key,
            value,
            lease: 0,
        };
        let mark = format!("{:016x}", rand::random::<u64>());
        let mut transaction = Transaction {
            expected: vec![
                (keys::OWNER.to_owned(), self.term.fence),
                (keys::COMMIT.to_owned(), self.commit_revision),
            ],
            puts: vec![put(keys::COMMIT.to_owned(), mark.into_bytes())],
            removes: Vec::new(),
        };
        for write in writes {
            let record = &write.record;
            let is_over =
                record.state.is_final() && record.tasks.iter().all(|task| task.runs.is_empty());
            if is_over {
                let entry = JobEntry::Ended(record.state);
                transaction
                    .puts
                    .push(put(keys::job(write.job), to_json(&entry)));
                transaction.removes.push(keys::progress(write.job));
                if record.state == JobState::Cancelled {
                    transaction.removes.push(keys::cancel(write.job));
                }
            } else {
                transaction
                    .puts
                    .push(put(keys::progress(write.job), to_json(record)));
            }
        }
        transaction
    }

    /// Adds what was learned of images, from time to time.
    fn add_learned(&mut self, transaction: &mut Transaction) {
        let now = self.clock.now();
        if now.since(self.learned_at) < LEARNED_MS {
            return;
        }
        self.learned_at = now;
        let (workers, runs) = self.dispatcher.counts(now);
        observe::owned(workers, runs);
        let learned = self.dispatcher.learned();
        if learned != self.learned {
            transaction.puts.push(Put {
                key: keys::LEARNED.to_owned(),
                value: to_json(&learned),
                lease: 0,
            });
            self.learned = learned;
        }
    }

    fn send_commit(&mut self) {
        let Some((transaction, _)) = &self.commit else {
            return;
        };
        let transaction = transaction.clone();
        let kv = self.shared.platform.kv().clone();
        let sender = self.sender.clone();
        self.calls.spawn_local(async move {
            let result = kv.commit(&transaction).await;
            let _ = sender.send(OwnerEvent::Committed(result));
        });
    }

    fn committed(&mut self, result: Result<u64, KvError>) -> Option<Outcome> {
        let now = self.clock.now();
        if let Some((_, since)) = &self.commit {
            observe::committed(result.is_ok(), since.elapsed());
        }
        match result {
            Ok(revision) => {
                self.commit_revision = revision;
                self.commit = None;
                self.dispatcher.written(now);
            }
            Err(KvError::Conflict { items }) => {
                // An earlier attempt without an answer may have been carried out.
                let own = self.commit.as_ref().map(|(t, _)| t.puts[0].value.clone());
                let owner = items.iter().find(|item| item.key == keys::OWNER);
                let last = items.iter().find(|item| item.key == keys::COMMIT);
                let is_owner = owner.is_some_and(|item| item.created == self.term.fence);
                let done = last.filter(|item| Some(&item.value) == own.as_ref());
                let Some(done) = done.filter(|_| is_owner) else {
                    return Some(if owner.is_none() {
                        Outcome::LeaseEnded
                    } else {
                        Outcome::Superseded
                    });
                };
                self.commit_revision = done.revision;
                self.commit = None;
                self.dispatcher.written(now);
            }
            Err(error) => {
                log::info!("a commit is repeated: {error}");
                let sender = self.sender.clone();
                let kv = self.shared.platform.kv().clone();
                let (transaction, _) = self.commit.clone()?;
                self.calls.spawn_local(async move {
                    follow::pause().await;
                    let result = kv.commit(&transaction).await;
                    let _ = sender.send(OwnerEvent::Committed(result));
                });
            }
        }
        None
    }
}

fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!("{} cannot be read: {error}", item.key);
            None
        }
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("records have only string keys")
}
