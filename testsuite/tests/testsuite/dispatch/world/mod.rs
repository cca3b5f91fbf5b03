//! Simulated workers and store that drive the dispatcher on a simulated clock.
//!
//! A run progresses at its worker's speed times its pace. A standing task's tail grows
//! with the sum, over the fillers on its worker, of the pressure on its image times the
//! filler's share of the CPU, as [`Response`] says. The dispatcher learns of this only
//! through reports.

use std::collections::{BTreeMap, BTreeSet};

use verbenahitch::dispatch::{
    Amount, Bounds, CallFailure, Dispatcher, EndCause, JobId, JobRecord, JobSpec, JobState, Now,
    Order, Poll, Report, RunKey, RunningEntry, Start, TaskId, VoterRecord, WorkerInfo, WorkerKey,
    Write,
};
use verbenahitch::domain::{Millis, Monotonic};

mod accounts;
mod crashes;
mod jobs;
mod once;
mod owners;
mod registry;
mod room;
mod storms;
mod worker;

use accounts::AccountUsage;
pub use accounts::{account, cores};
use crashes::Crashes;
pub use crashes::{Deadly, NEVER_BACK};
pub use jobs::{AWAY_MS, TARGET_MS, filler, job, queue, standing, step};
use once::RunLedger;
use owners::Former;
pub use registry::UNLISTED_MS;
pub use storms::Storm;
use worker::Incarnation;
pub use worker::{FakeRun, FakeWorker};

/// Step of the clock in milliseconds.
const TICK_MS: Millis = 5;

/// Round trip of a call to a worker, and default time of a commit, in milliseconds.
const CALL_MS: Millis = 5;

/// Tail latency divided by target of a standing task without fillers.
const BASELINE_RATIO: f64 = 0.4;

/// Share of a standing task's capacity that its own load takes on average, and the part
/// of it by which the load swings.
const LOAD: f64 = 0.42;
const SWING: f64 = 0.5;

/// Period of the swing in milliseconds.
const SWING_MS: f64 = 10_000.0;

/// Tail latency divided by target of a standing task without any load, by default.
const UNLOADED_RATIO: f64 = 1.0 / 4.5;

/// Least part of its capacity that a standing task keeps.
const CAPACITY_MIN: f64 = 0.02;

/// How the tail of a standing task grows with the pressure on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// Exponentially, from a constant ratio to the target.
    Exponential,
    /// As in a queue: inversely to the capacity that the fillers and its own load, which
    /// swings, leave to it.
    Queue,
}

enum Event {
    Polled(WorkerKey, Result<Report, CallFailure>),
    Started(RunKey, Result<(), CallFailure>),
    Stopped(RunKey, Result<(), CallFailure>),
    Paced(RunKey, u8),
    CommitStored,
}

/// Order that a worker carries out late.
struct LateOrder {
    sent: Millis,
    due: Millis,
    fence: u64,
    order: Order,
}

/// Start that a worker carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    pub at: Millis,
    pub task: TaskId,
    pub run: u32,
    pub worker: String,
}

pub struct World {
    pub now: Millis,
    /// Begin of the owner's term, at which its monotonic clock is zero.
    origin: Millis,
    /// Times at which jobs were accepted.
    accepted: BTreeMap<JobId, Millis>,
    pub dispatcher: Dispatcher,
    pub workers: BTreeMap<String, FakeWorker>,
    pub specs: BTreeMap<JobId, JobSpec>,
    /// Actual pressures, by images of the filler and the standing task, if the filler used a
    /// whole worker: growth of the tail as a logarithm, or share of the task's capacity.
    pub pressures: BTreeMap<(String, String), f64>,
    pub response: Response,
    /// Tail latency divided by target of a standing task without any load.
    pub unloaded_ratio: f64,
    pub starts: Vec<Started>,
    /// Times of the start orders to each worker.
    pub start_orders: BTreeMap<String, Vec<Millis>>,
    pub records: BTreeMap<JobId, Write>,
    /// Whether the store answers.
    pub store_up: bool,
    /// Time that the store takes for a commit, in milliseconds.
    pub commit_ms: Millis,
    /// Highest acknowledged end of each worker.
    pub acked: BTreeMap<String, u64>,
    /// Number of polls of all workers.
    pub poll_count: usize,
    pub fence: u64,
    /// Time that standing tasks were over their target, summed over the tasks.
    pub over_ms: Millis,
    pub finished: BTreeMap<JobId, Millis>,
    /// Declared client accounts, and what they have running.
    pub usage: AccountUsage,
    /// Runs of each task, checked to run once.
    pub ledger: RunLedger,
    /// Crashes of workers.
    pub crashes: Crashes,
    polls: Vec<(Millis, Poll)>,
    events: Vec<(Millis, Event)>,
    /// Starts that brought a worker over its room.
    over_room: Vec<String>,
    /// Orders that workers carry out late.
    late_orders: Vec<LateOrder>,
    writing: Vec<Write>,
    writing_voters: Option<VoterRecord>,
    /// Voters that the store holds.
    voters: Option<VoterRecord>,
    /// Workers that the owner cannot reach.
    cut: BTreeSet<String>,
    /// Earlier owner that goes on without the store.
    former: Option<Former>,
    /// Bounds of the owner, also of later ones.
    bounds: Bounds,
    /// Whether there is no owner.
    is_orphaned: bool,
}

pub const BOUNDS: Bounds = Bounds {
    lease_ms: 4_000,
    lease_max_ms: 6_000,
    quorum_ms: 1_500,
    relist_ms: 2_500,
    cap_overshoot: 0.1,
    record_max: 1 << 20,
};

impl World {
    /// Creates a world with `count` workers of 16 cores.
    pub fn new(count: usize) -> Self {
        Self::with_bounds(count, BOUNDS)
    }

    /// As [`Self::new`], with other time bounds.
    pub fn with_bounds(count: usize, bounds: Bounds) -> Self {
        let mut world = Self {
            now: 10_000,
            origin: 10_000,
            accepted: BTreeMap::new(),
            dispatcher: Dispatcher::new(bounds, Monotonic(0)),
            workers: BTreeMap::new(),
            specs: BTreeMap::new(),
            pressures: BTreeMap::new(),
            response: Response::Exponential,
            unloaded_ratio: UNLOADED_RATIO,
            starts: Vec::new(),
            start_orders: BTreeMap::new(),
            records: BTreeMap::new(),
            store_up: true,
            commit_ms: CALL_MS,
            acked: BTreeMap::new(),
            poll_count: 0,
            fence: 1,
            over_ms: 0,
            finished: BTreeMap::new(),
            usage: AccountUsage::default(),
            ledger: RunLedger::default(),
            crashes: Crashes::default(),
            polls: Vec::new(),
            events: Vec::new(),
            over_room: Vec::new(),
            late_orders: Vec::new(),
            writing: Vec::new(),
            writing_voters: None,
            voters: None,
            cut: BTreeSet::new(),
            former: None,
            bounds,
            is_orphaned: false,
        };
        for number in 0..count {
            world.add_worker(&format!("w{number:02}"), 16);
        }
        world.declare();
        world
    }

    pub(super) fn declare(&mut self) {
        let queues = [queue("push", 0), queue("batch", 2)];
        self.dispatcher.declare(&queues, &self.usage.accounts, &[]);
    }

    pub fn add_worker(&mut self, name: &str, cores: u64) {
        self.add_worker_at(name, &format!("{name}:1"), cores);
    }

    /// Adds a worker that takes calls at `address`.
    fn add_worker_at(&mut self, name: &str, address: &str, cores: u64) {
        let info = WorkerInfo {
            name: name.to_owned(),
            pool: "pool".to_owned(),
            address: address.to_owned(),
            zone: "zone".to_owned(),
            capacity: Amount {
                cpu_milli: cores * 1_000,
                memory_mb: 64_000,
                gpus: 0,
            },
            incarnation: 1,
            ..WorkerInfo::default()
        };
        self.dispatcher.upsert_worker(info.clone(), self.clock().at);
        let worker = FakeWorker {
            address: info.address.clone(),
            info,
            life: Incarnation {
                number: 1,
                ..Incarnation::default()
            },
            speed: 1.0,
            lease_max_ms: self.bounds.lease_max_ms,
            ..FakeWorker::default()
        };
        self.workers.insert(name.to_owned(), worker);
    }

    /// Time on the clocks of the owner, whose monotonic one begins with its term.
    pub fn clock(&self) -> Now {
        Now {
            at: Monotonic(self.now - self.origin),
            wall_ms: self.now,
        }
    }

    pub fn record(&self, name: &str, spec: &JobSpec) -> JobRecord {
        JobRecord {
            queue: queue(name, if name == "push" { 0 } else { 2 }),
            spec: spec.clone(),
            account: None,
            accepted_ms: self.now,
        }
    }

    pub fn submit(&mut self, id: u64, name: &str, spec: JobSpec) -> JobId {
        let id = JobId(id);
        let record = JobRecord {
            account: self.usage.owners.get(&id).cloned(),
            ..self.record(name, &spec)
        };
        self.specs.insert(id, spec);
        self.accepted.insert(id, self.now);
        let now = self.clock();
        self.dispatcher.submit(id, record, now);
        id
    }

    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.dispatcher.state(id)
    }

    pub fn cancel(&mut self, id: JobId) {
        self.dispatcher.cancel(id, self.clock().at);
    }

    /// Cancels the jobs with standing tasks.
    pub fn cancel_standing(&mut self) {
        let is_standing = |spec: &JobSpec| spec.steps.iter().any(|step| step.standing);
        let standing = self.specs.iter().filter(|(_, spec)| is_standing(spec));
        let ids: Vec<JobId> = standing.map(|(id, _)| *id).collect();
        for id in ids {
            self.cancel(id);
        }
    }

    /// Jobs that have not ended.
    pub fn waiting_jobs(&self) -> Vec<JobId> {
        let is_final = |id: &JobId| self.state(*id).is_some_and(JobState::is_final);
        self.specs
            .keys()
            .copied()
            .filter(|id| !is_final(id))
            .collect()
    }

    pub fn starts_of(&self, id: JobId) -> Vec<&Started> {
        let starts = self.starts.iter();
        starts.filter(|start| start.task.job == id).collect()
    }

    /// Workers on which a job has runs.
    pub fn workers_of(&self, id: JobId) -> BTreeSet<&str> {
        let workers = self.workers.values();
        let has = |worker: &&FakeWorker| worker.life.runs.iter().any(|run| run.task.job == id);
        workers
            .filter(has)
            .map(|worker| worker.info.name.as_str())
            .collect()
    }

    pub fn run(&mut self, millis: Millis) {
        let end = self.now + millis;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.advance_runs();
        self.execute_crashes();
        self.execute_late_orders();
        self.step_owner();
        self.swap_owner();
        if self.former.is_some() {
            self.step_owner();
        }
        self.swap_owner();
        for id in self.specs.keys() {
            if self.dispatcher.state(*id) == Some(JobState::Completed) {
                self.finished.entry(*id).or_insert(self.now);
            }
        }
        self.ledger.check_single(self.now, self.workers.values());
    }

    /// Handles the events of the owner, and runs one pass.
    fn step_owner(&mut self) {
        if self.is_orphaned {
            return;
        }
        self.answer_polls();
        self.deliver();
        if self.store_up {
            self.dispatcher.confirm_ownership(self.clock().at);
        }
        for order in self.dispatcher.pass(self.clock()) {
            self.execute(order);
        }
        let is_committing = !self.writing.is_empty() || self.writing_voters.is_some();
        if self.store_up && !is_committing {
            self.writing = self.dispatcher.take_writes(16);
            self.writing_voters = self.dispatcher.take_voters(self.clock().at);
            if !self.writing.is_empty() || self.writing_voters.is_some() {
                let at = self.now + self.commit_ms;
                self.events.push((at, Event::CommitStored));
            }
        }
    }

    /// Fails if the owner cannot reach a worker, or not at this address.
    fn check_reachable(&self, name: &str, address: &str) -> Result<(), CallFailure> {
        if self.cut.contains(name) {
            return Err(CallFailure::Unanswered("cut".to_owned()));
        }
        let worker = &self.workers[name];
        worker.check_reachable(self.now)?;
        if worker.address == address {
            Ok(())
        } else {
            Err(CallFailure::OtherLife)
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.events = later;
        let due: Vec<(Millis, Event)> = due;
        let at = self.clock().at;
        for (_, event) in due {
            match event {
                Event::Polled(key, result) => self.dispatcher.on_poll_answer(key, result, at),
                Event::Started(key, result) => self.dispatcher.on_start_answer(key, result, at),
                Event::Stopped(key, result) => self.dispatcher.on_stop_answer(key, result, at),
                Event::Paced(key, percent) => {
                    self.dispatcher.on_pace_answer(key, percent, Ok(()), at);
                }
                Event::CommitStored => {
                    for write in std::mem::take(&mut self.writing) {
                        self.records.insert(write.job, write);
                    }
                    if let Some(voters) = self.writing_voters.take() {
                        self.voters = Some(voters);
                    }
                    self.dispatcher.commit_stored(at);
                }
            }
        }
    }

    fn execute(&mut self, order: Order) {
        let at = self.now + CALL_MS;
        match order {
            Order::Poll(poll) => {
                self.poll_count += 1;
                let acked = self.acked.entry(poll.name.clone()).or_default();
                *acked = poll.acked.max(*acked);
                self.polls.push((self.now + poll.wait_ms, poll));
            }
            Order::Start(start) => {
                let (key, name) = (start.target.key, start.target.name.clone());
                let orders = self.start_orders.entry(name.clone()).or_default();
                orders.push(self.now);
                let address = start.target.address.clone();
                if let Some(due) = self.delays_order(&name, &address) {
                    let failure = CallFailure::Unanswered("delayed".to_owned());
                    self.events.push((at, Event::Started(key, Err(failure))));
                    self.late_orders.push(LateOrder {
                        sent: self.now,
                        due,
                        fence: self.fence,
                        order: Order::Start(start),
                    });
                    return;
                }
                let result = self.check_reachable(&name, &address);
                let result = result.and_then(|()| self.start(&start, self.fence, self.now));
                self.events.push((at, Event::Started(key, result)));
            }
            Order::Stop(target) => {
                let (fence, now) = (self.fence, self.now);
                let reached = self.check_reachable(&target.name, &target.address);
                let result = reached.and_then(|()| {
                    let worker = self.workers.get_mut(&target.name).unwrap();
                    worker.stop(&target, fence, now)
                });
                self.events.push((at, Event::Stopped(target.key, result)));
            }
            Order::Pace(target, percent) => {
                let worker = self.workers.get_mut(&target.name).unwrap();
                let run = worker
                    .life
                    .runs
                    .iter_mut()
                    .find(|run| run.task == target.task);
                if let Some(run) = run {
                    run.pace = percent;
                }
                self.events.push((at, Event::Paced(target.key, percent)));
            }
        }
    }

    /// When a worker carries out an order that it receives now, if it delays orders.
    fn delays_order(&self, name: &str, address: &str) -> Option<Millis> {
        self.check_reachable(name, address).ok()?;
        Some(self.now + self.workers[name].order_delay?)
    }

    /// Carries out a start that was ordered at `sent`.
    fn start(&mut self, start: &Start, fence: u64, sent: Millis) -> Result<(), CallFailure> {
        let now = self.now;
        let worker = self.workers.get_mut(&start.target.name).unwrap();
        let drops_answer = worker.drops_start_answers;
        if worker.start(start, fence, now)? {
            let (task, run) = (start.target.task, start.target.run);
            self.usage
                .check_start(now, task, &self.specs, self.workers.values());
            self.ledger.run_started(now, task);
            let worker = &self.workers[&start.target.name];
            if let Err(violation) = worker.check_room(task, &self.specs, sent) {
                self.over_room.push(format!("{now}: {violation}"));
            }
            self.starts.push(Started {
                at: now,
                task,
                run,
                worker: start.target.name.clone(),
            });
            if self.start_deadly(&start.target.name, task.job) {
                return Err(CallFailure::Unanswered("crashed".to_owned()));
            }
        }
        if drops_answer {
            return Err(CallFailure::Unanswered("mute".to_owned()));
        }
        Ok(())
    }

    fn execute_late_orders(&mut self) {
        let now = self.now;
        let orders = std::mem::take(&mut self.late_orders);
        let (due, later) = orders.into_iter().partition(|late| late.due <= now);
        self.late_orders = later;
        let due: Vec<LateOrder> = due;
        for late in due {
            if let Order::Start(start) = late.order {
                // A late order is not answered.
                let _ = self.start(&start, late.fence, late.sent);
            }
        }
    }

    fn answer_polls(&mut self) {
        let now = self.now;
        let polls = std::mem::take(&mut self.polls);
        for (due, poll) in polls {
            let worker = &self.workers[&poll.name];
            let has_end = worker
                .life
                .ended
                .iter()
                .any(|end| end.sequence > poll.acked);
            let is_reached = self.check_reachable(&poll.name, &poll.address).is_ok();
            if is_reached && !has_end && now < due {
                self.polls.push((due, poll));
                continue;
            }
            let result = self.report(&poll);
            self.events
                .push((now + CALL_MS, Event::Polled(poll.worker, result)));
        }
    }

    fn report(&mut self, poll: &Poll) -> Result<Report, CallFailure> {
        let fence = self.fence;
        let tails = self.tails(&poll.name);
        let now = self.now;
        self.check_reachable(&poll.name, &poll.address)?;
        let worker = self.workers.get_mut(&poll.name).unwrap();
        worker.check_fence(fence)?;
        worker.extend_leases(poll.lease_end.unwrap_or(0), now);
        let life = &mut worker.life;
        let lapsed_end = life.lapsed_end;
        let acked = life.ended.extract_if(.., |end| end.sequence <= poll.acked);
        for end in acked.filter(|end| end.cause == EndCause::Done && end.sequence > lapsed_end) {
            self.ledger.end_noted(now, end.task, end.run);
        }
        let specs = &self.specs;
        let running = worker.life.runs.iter().zip(tails).map(|(run, tail)| {
            let spec = &specs[&run.task.job].steps[run.task.step as usize];
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss,
                reason = "a percentage"
            )]
            let percent = (run.worked_ms * 100.0 / spec.estimate_ms as f64) as u8;
            RunningEntry {
                task: run.task,
                run: run.run,
                checkpoint: if spec.checkpoints {
                    run.worked_ms.to_string()
                } else {
                    String::new()
                },
                progress_percent: if spec.standing { 100 } else { percent.min(99) },
                measurement: tail,
            }
        });
        Ok(Report {
            incarnation: worker.life.number,
            clock_ms: worker.clock(now) + worker.clock_offset,
            running: if worker.has_odd_rows {
                Vec::new()
            } else {
                running.collect()
            },
            ended: worker.life.ended.clone(),
            unread: worker.has_odd_rows.then(|| "odd".to_owned()),
        })
    }

    /// Tail latencies of a worker's standing tasks in milliseconds, zero for other runs.
    fn tails(&self, name: &str) -> Vec<Millis> {
        let worker = &self.workers[name];
        let spec = |run: &FakeRun| &self.specs[&run.task.job].steps[run.task.step as usize];
        let share = |run: &FakeRun| {
            #[expect(clippy::cast_precision_loss, reason = "a few cores")]
            let share = spec(run).amount.cpu_milli as f64 / worker.info.capacity.cpu_milli as f64;
            share * f64::from(run.pace) / 100.0
        };
        let tail = |run: &FakeRun| {
            let own = spec(run);
            if !own.standing {
                return 0;
            }
            let fillers = worker.life.runs.iter().filter(|run| spec(run).filler);
            let growth: f64 = fillers
                .map(|filler| {
                    let pair = (spec(filler).image.clone(), own.image.clone());
                    self.pressures.get(&pair).copied().unwrap_or(0.0) * share(filler)
                })
                .sum();
            let ratio = match self.response {
                Response::Exponential => BASELINE_RATIO * growth.exp(),
                Response::Queue => {
                    let left = 1.0 - self.load(run.task.job) - growth;
                    self.unloaded_ratio / left.max(CAPACITY_MIN)
                }
            };
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss,
                reason = "a few hundred milliseconds"
            )]
            let tail = (TARGET_MS as f64 * ratio) as Millis;
            tail
        };
        worker.life.runs.iter().map(tail).collect()
    }

    /// Share of its capacity that a standing task's own load takes now; the loads of
    /// different jobs peak at different times.
    fn load(&self, id: JobId) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let turns = self.now as f64 / SWING_MS + id.0 as f64 * 0.37;
        LOAD * (1.0 + SWING * (turns * std::f64::consts::TAU).sin())
    }

    fn advance_runs(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let over = self.tails(&name).iter().filter(|t| **t > TARGET_MS).count();
            self.over_ms += over as Millis * TICK_MS;
            let worker = self.workers.get_mut(&name).unwrap();
            if worker.has_lapsed(self.now) {
                for task in worker.tasks() {
                    worker.end(task, EndCause::Lapsed);
                }
                worker.life.lapsed_end = worker.life.last_end;
            }
            let (speed, failing) = (worker.speed, worker.failing);
            let mut ends = Vec::new();
            for run in &mut worker.life.runs {
                let spec = &self.specs[&run.task.job].steps[run.task.step as usize];
                #[expect(clippy::cast_precision_loss, reason = "a few milliseconds")]
                let tick = TICK_MS as f64;
                run.worked_ms += tick * speed * f64::from(run.pace) / 100.0;
                #[expect(clippy::cast_precision_loss, reason = "a few seconds")]
                let whole = spec.estimate_ms as f64;
                if run.stops_at.is_some_and(|at| at <= self.now) {
                    ends.push((run.task, run.run, EndCause::Stopped));
                } else if failing && run.worked_ms > whole / 4.0 {
                    ends.push((run.task, run.run, EndCause::Failed));
                } else if !spec.standing && run.worked_ms >= whole {
                    ends.push((run.task, run.run, EndCause::Done));
                }
            }
            for (task, run, cause) in ends {
                worker.end(task, cause);
                if cause == EndCause::Done {
                    self.ledger.run_done(task, run);
                }
            }
        }
    }
}
