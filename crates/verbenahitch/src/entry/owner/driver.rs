//! Event loop of the owner: handles events, runs the dispatcher's passes, sends its orders.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::commit::PendingCommit;
use super::isolation::Isolation;
use super::{Outcome, OwnerEvent, Sender, retirement};
use crate::collections::HashMap;
use crate::dispatch::{Bounds, Dispatcher, JobId, Now, Order, PressureRecord, ProgressRecord};
use crate::domain::{Millis, Monotonic};
use crate::entry::election::Term;
use crate::entry::host::Shared;
use crate::entry::keys::{self, IntakeKey, JobEntry, SuccessorRecord};
use crate::entry::observe;
use crate::entry::succession::{Capability, LagMeter};
use crate::entry::watcher::WatchUpdate;
use crate::event::{Entry, Kind};
use crate::port::{Clock, Item, KeyValue, KvError, Platform, SystemClock};

/// Longest time between two passes, in milliseconds.
const TICK_MS: Millis = 50;

/// Length of the workers' leases in milliseconds, unless the workers' limit is lower.
/// Long enough that a zone keeps working through a partition of some seconds. The users count
/// a standing task as lost when it is away for 9 s; the election of an owner, its quorum and this
/// lease are shorter together.
const WORKER_LEASE_MS: Millis = 5_000;

/// How long an owner acts with answers neither from the store nor from most workers, in
/// milliseconds.
const QUORUM_MS: Millis = 1_500;

/// How long an entry may be missing from the registry before its worker gets no more
/// tasks, in milliseconds. The bound on its return after an outage of the store, plus
/// the delay of the watch.
const RELIST_MS: Millis = 2_500;

/// Longest time that a planned hand-over waits for the commit in flight, in
/// milliseconds.
const HANDOVER_TIMEOUT_MS: Millis = 500;

/// Bounds of an owner where workers grant leases of up to `lease_max_ms`, client accounts may exceed
/// their caps by the part `cap_overshoot`, and the store takes values of up to `record_max` bytes.
pub fn worker_bounds(lease_max_ms: Millis, cap_overshoot: f64, record_max: usize) -> Bounds {
    Bounds {
        lease_ms: WORKER_LEASE_MS.min(lease_max_ms),
        lease_max_ms,
        quorum_ms: QUORUM_MS,
        relist_ms: RELIST_MS,
        cap_overshoot,
        record_max,
    }
}

pub(super) struct Driver<P> {
    pub(super) shared: Rc<Shared<P>>,
    pub(super) term: Term,
    pub(super) clock: SystemClock,
    pub(super) sender: Sender,
    pub(super) dispatcher: Dispatcher,
    /// Worker names by registry key.
    pub(super) worker_names: HashMap<String, String>,
    pub(super) commit_revision: u64,
    pub(super) stored_pressures: PressureRecord,
    /// When the learned pressures were last compared with the stored ones.
    pub(super) checked_at: Monotonic,
    pub(super) pending_commit: Option<PendingCommit>,
    /// What the store does not take.
    pub(super) isolation: Isolation,
    /// When the store last confirmed the ownership.
    pub(super) renewed_at: Monotonic,
    pub(super) calls: JoinSet<()>,
    /// Begin of the term.
    pub(super) since: Monotonic,
    /// What this host can carry.
    pub(super) capability: Capability,
    pub(super) lag: LagMeter,
    /// Host that the ownership is to be given to.
    pub(super) successor: Option<SuccessorRecord>,
}

impl<P: Platform> Driver<P> {
    /// Loads the state that earlier owners and the other hosts have stored.
    pub(super) async fn load(
        shared: &Rc<Shared<P>>,
        term: Term,
        clock: SystemClock,
        sender: Sender,
    ) -> Result<Self, KvError> {
        let began = clock.now();
        let kv = shared.platform.kv();
        // The lists, which can fill a thin link for seconds, come last: single keys have
        // less time to arrive.
        let (commit, learned, voters, retired) = tokio::join!(
            read("commit", kv.get(keys::COMMIT)),
            read("pressures", kv.get(keys::PRESSURES)),
            read("voters", kv.get(keys::VOTERS)),
            read("retired", retirement::read(shared, term.fence)),
        );
        let (registry, progress, intake) = tokio::join!(
            read("registry", kv.range(shared.platform.registry_prefix())),
            read("progress", kv.range(keys::PROGRESS_PREFIX)),
            read("intake", kv.range(keys::INTAKE_PREFIX)),
        );
        let settings = &shared.settings;
        let bounds = worker_bounds(settings.lease_max, settings.cap_overshoot, kv.value_max());
        let mut driver = Self {
            shared: Rc::clone(shared),
            term,
            clock,
            sender,
            dispatcher: Dispatcher::new(bounds, clock.now()),
            worker_names: HashMap::default(),
            commit_revision: commit?.map_or(0, |item| item.revision),
            pending_commit: None,
            isolation: Isolation::default(),
            renewed_at: clock.now(),
            stored_pressures: PressureRecord::default(),
            checked_at: clock.now(),
            calls: JoinSet::new(),
            since: clock.now(),
            capability: shared.capability(),
            lag: LagMeter::default(),
            successor: None,
        };
        // The reading may have taken longer than the lease; only renewals tell.
        driver.dispatcher.confirm_ownership(began);
        let learned = learned?.and_then(|item| shared.read::<PressureRecord>(&item, Item::decode));
        if let Some(learned) = learned {
            driver.dispatcher.restore_pressures(&learned);
        }
        driver.declare();
        driver.apply_registry(WatchUpdate::Listed(registry?.0));
        let voters = voters?.and_then(|item| shared.read(&item, Item::decode));
        driver.dispatcher.restore_voters(voters);
        let mut records: HashMap<JobId, ProgressRecord> = HashMap::default();
        let progress = progress?.0;
        for item in &progress {
            let Some(id) = keys::parse_progress(&item.key) else {
                continue;
            };
            if let Some(record) = shared.read(item, keys::read_progress) {
                records.insert(id, record);
            }
        }
        let intake = intake?.0;
        let stored = progress.iter().chain(&intake);
        let bytes: usize = stored.map(|item| item.bytes().map_or(0, <[u8]>::len)).sum();
        for item in &intake {
            driver.recover(item, &mut records);
        }
        let (jobs, open) = (intake.len(), progress.len());
        driver.apply_intake(WatchUpdate::Listed(intake));
        let retired = retired?;
        if let Some(record) = &retired {
            driver.dispatcher.restore_retirement(record, clock.now());
        }
        Entry::new(Kind::ShardRecovered)
            .with("retired", retired.is_some())
            .with("workers", driver.worker_names.len())
            .with("jobs", jobs)
            .with("progress", open)
            .with("bytes", bytes)
            .with("took-ms", clock.now().since(began))
            .emit();
        Ok(driver)
    }

    fn recover(&mut self, item: &Item, records: &mut HashMap<JobId, ProgressRecord>) {
        let Some(IntakeKey::Job(id)) = keys::parse_intake(&item.key) else {
            return;
        };
        let now = self.now();
        match self.shared.read(item, keys::read_job) {
            Some(JobEntry::Open(record)) => {
                self.dispatcher
                    .recover(id, record, records.remove(&id), now);
            }
            Some(JobEntry::Ended(state)) => self.dispatcher.add_ended(id, state, now),
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
        let (queues, accounts, zones) = self.shared.declared();
        self.dispatcher.declare(&queues, &accounts, &zones);
    }

    pub(super) async fn drive(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<OwnerEvent>,
    ) -> Outcome {
        loop {
            self.check_pause();
            self.run_pass();
            let tick = Duration::from_millis(self.dispatcher.next_pass_ms(TICK_MS));
            let event = tokio::time::timeout(tick, events.recv()).await;
            self.check_pause();
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

    fn check_pause(&mut self) {
        let now = self.clock.now();
        if self.dispatcher.note_running(self.clock.boot_ms(), now) {
            log::warn!(
                "this process was paused; orders are suspended until the owner's lease is renewed"
            );
        }
    }

    /// Waits for the commit in flight before a planned hand-over; returns the outcome of
    /// the term if it ends meanwhile.
    pub(super) async fn finish_commit(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<OwnerEvent>,
    ) -> Option<Outcome> {
        let limit = Duration::from_millis(HANDOVER_TIMEOUT_MS);
        let waiting = async {
            while self.pending_commit.is_some() {
                if let Some(outcome) = self.handle(events.recv().await?) {
                    return Some(outcome);
                }
            }
            None
        };
        let outcome = tokio::time::timeout(limit, waiting).await;
        outcome.unwrap_or_else(|_| {
            log::info!("no answer to the last commit before the hand-over");
            None
        })
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
            OwnerEvent::Polled(worker, result) => {
                self.dispatcher.on_poll_answer(worker, result, now.at)
            }
            OwnerEvent::Started(run, result) => {
                self.dispatcher.on_start_answer(run, result, now.at)
            }
            OwnerEvent::Stopped(run, result) => self.dispatcher.on_stop_answer(run, result, now.at),
            OwnerEvent::Paced(run, percent, result) => {
                self.dispatcher.on_pace_answer(run, percent, result, now.at);
            }
            OwnerEvent::Committed(result) => return self.handle_committed(result),
            OwnerEvent::Registry(update) => self.apply_registry(update),
            OwnerEvent::Intake(update) => self.apply_intake(update),
            OwnerEvent::Declared => self.declare(),
            OwnerEvent::Renewed(sent) => {
                self.renewed_at = now.at;
                self.dispatcher.confirm_ownership(sent);
            }
            OwnerEvent::LeaseEnded => return Some(Outcome::LeaseEnded),
            OwnerEvent::Offered(request) => return self.consider(*request),
            OwnerEvent::Probe(due) => self.record_lag(now.at.since(due)),
            OwnerEvent::Stop => return Some(Outcome::Stopped),
        }
        None
    }

    /// Runs one pass, and sends its orders and the next commit.
    fn run_pass(&mut self) {
        let now = self.now();
        for order in self.dispatcher.pass(now) {
            self.send_order(order);
        }
        if let Some(digest) = self.dispatcher.take_digest() {
            observe::set_forecasts(&digest);
            self.shared.inbox.publish(digest, self.term.fence);
        }
        if self.pending_commit.is_none() {
            self.pending_commit = self.next_commit(now.at);
            self.send_commit(Duration::ZERO);
        }
    }

    fn send_order(&mut self, order: Order) {
        let platform = self.shared.platform.clone();
        let sender = self.sender.clone();
        let fence = self.term.fence;
        self.calls.spawn_local(async move {
            let began = Instant::now();
            let (kind, is_ok, event) = match order {
                Order::Poll(poll) => {
                    let result = platform.poll(&poll, fence).await;
                    let is_ok = result.is_ok();
                    ("look", is_ok, OwnerEvent::Polled(poll.worker, result))
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
            observe::record_order(kind, is_ok, began.elapsed());
            // The loop may have ended.
            let _ = sender.send(event);
        });
    }
}

/// Reads a part of the stored state; logs one that cannot be read.
async fn read<T>(
    part: &'static str,
    reading: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    let began = Instant::now();
    let result = reading.await;
    if let Err(error) = &result {
        Entry::new(Kind::StateUnread)
            .with("part", part)
            .with("took-ms", began.elapsed().as_millis() as u64)
            .with_text("cause", error)
            .emit();
    }
    result
}
