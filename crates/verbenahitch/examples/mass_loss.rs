//! Cost of the dispatcher's calls while many workers are lost at once, again and again.
//!
//! A simulation in virtual time: a fleet full of standing tasks, short tasks and fillers, with
//! more tasks that wait. Four times a second a seventh of the workers is lost for
//! [`DOWN_MS`], and each comes back at the address of another one, while the store is slow. The
//! workers and the store are simulated; the dispatcher, its records and its log are the product's.
//! Costs are processor time of the owner's thread.
//!
//! With a share of a core the owner's clock advances with its cost, as on such a host; the number
//! of starts then tells what it achieves. Without one, the digest of the starts tells whether two
//! builds decide the same.
//!
//! Usage: `cargo run --release --example mass_loss -- [WORKERS [WAITING [SHARE]]] >/dev/null`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::{Hash, Hasher};

use hdrhistogram::Histogram;
use nix::time::{ClockId, clock_gettime};
use rand::rngs::StdRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use verbenahitch::dispatch::{
    Amount, Bounds, CallFailure, Dispatcher, EndCause, EndedEntry, JobId, JobRecord, JobSpec, Now,
    Order, Poll, Queue, Report, RunKey, RunningEntry, Start, StepSpec, TaskId, WorkerInfo,
};
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::event::{Level, start_queued_logging};

const LOST_DIVISOR: usize = 7;
const LOSS_PERIOD_MS: Millis = 250;
const DOWN_MS: Millis = 240;

/// Time until the registry shows the new address of a worker that is back.
const REGISTRY_MS: Millis = 60;

const FIRST_LOSS_MS: Millis = 4_000;
const LAST_LOSS_MS: Millis = 10_000;
const END_MS: Millis = 14_000;

/// Round trip of a call to a worker, and time of a commit.
const CALL_MS: Millis = 4;
const COMMIT_MS: Millis = 5;

/// Time of a commit while workers are lost: the store is slow then.
const SLOW_COMMIT_MS: Millis = 300;

/// Processor time of a call besides the dispatcher's part, which a share pays for: encoding,
/// HTTP, the event loop. By a profile of an owner.
const CALL_NS: u64 = 60_000;

/// Longest time between two passes, and number of jobs in a commit, as of an owner.
const TICK_MS: Millis = 50;
const COMMIT_JOBS: usize = 8;

/// Longest cost of a call that is told apart, in nanoseconds.
const MAX_NS: u64 = 10_000_000_000;

/// Shortest time between two passes of an owner with processor time to spare.
const STEP_MS: Millis = 5;

const WORKER: Amount = Amount {
    cpu_milli: 16_000,
    memory_mb: 64_000,
    gpus: 0,
};
const RACK: usize = 20;

/// Part of the CPU that standing tasks take, in percent.
const STANDING_PERCENT: u64 = 60;

/// Calls of the dispatcher whose costs are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    Submit,
    Poll,
    Loss,
    Return,
    Start,
    FailedStart,
    Other,
    Pass,
    Writes,
    Encode,
    Stored,
}

impl Call {
    /// Whether it handles the answer to a call.
    fn is_answer(self) -> bool {
        match self {
            Self::Poll
            | Self::Loss
            | Self::Return
            | Self::Start
            | Self::FailedStart
            | Self::Other
            | Self::Stored => true,
            Self::Submit | Self::Pass | Self::Writes | Self::Encode => false,
        }
    }
}

enum Event {
    Poll(Poll),
    Answer(usize, Poll),
    Ended(usize, u64, TaskId, u32),
    Start(Start),
    Started(RunKey, Result<(), CallFailure>),
    Stopped(RunKey),
    Paced(RunKey, u8),
    Stored,
    Lose,
    Listed(usize, u64),
}

/// Run on a simulated worker.
struct Running {
    task: TaskId,
    run: u32,
    began: Millis,
    length: Millis,
}

/// Simulated worker.
struct Server {
    life: u64,
    /// Number of its address, which another worker may have had before.
    address: usize,
    origin: Millis,
    down_until: Millis,
    running: Vec<Running>,
    ended: Vec<EndedEntry>,
    last_end: u64,
    /// Poll that waits for an end, by the time of its arrival.
    waiting: Option<Poll>,
}

struct Simulation {
    now: Millis,
    /// Number of waiting tasks.
    waiting: usize,
    share: Option<f64>,
    owner: Dispatcher,
    servers: Vec<Server>,
    names: HashMap<String, usize>,
    /// Worker at each address.
    places: HashMap<String, usize>,
    specs: HashMap<JobId, JobSpec>,
    events: BinaryHeap<Reverse<(Millis, u64)>>,
    bodies: HashMap<u64, Event>,
    last_event: u64,
    open_tasks: usize,
    is_committing: bool,
    random: StdRng,
    costs: BTreeMap<Call, Histogram<u64>>,
    spent_ns: u64,
    /// Number of answers from workers and the store.
    called: u64,
    starts: u64,
    digest: std::hash::DefaultHasher,
    written: u64,
}

fn thread_ns() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock exists");
    std::time::Duration::from(time).as_nanos() as u64
}

fn queue(name: &str, priority: u32, stretch: f64, target_ms: Millis) -> Queue {
    Queue {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        priority,
        attempts: 3,
        stretch,
        target_ms,
    }
}

fn queues() -> [Queue; 3] {
    [
        queue("push", 0, 1.5, 250),
        queue("recalc", 2, 2.0, 1_000),
        queue("watch", 0, 2.2, 2_500),
    ]
}

/// Address of that number.
fn place(number: usize) -> String {
    format!("10.0.{}.{}:7000", number / 250, number % 250)
}

/// Step like those of the users' large deployment.
fn step(number: u64, random: &mut StdRng) -> StepSpec {
    let amount = |cpu_milli| Amount {
        cpu_milli,
        memory_mb: cpu_milli * 2,
        gpus: 0,
    };
    match number {
        0 => StepSpec {
            count: random.random_range(4..16),
            amount: amount(random.random_range(1_500..5_000)),
            estimate_ms: random.random_range(300..1_200),
            speculative: random.random_bool(0.3),
            ..StepSpec::default()
        },
        1 => StepSpec {
            count: random.random_range(15..70),
            amount: amount(random.random_range(1_200..2_600)),
            estimate_ms: random.random_range(900..3_000),
            filler: true,
            checkpoints: random.random_bool(0.8),
            image: format!("recalc-{}", random.random_range(0..30)),
            ..StepSpec::default()
        },
        _ => StepSpec {
            count: random.random_range(15..35),
            amount: amount(random.random_range(2_400..4_000)),
            estimate_ms: 500,
            standing: true,
            spread: u32::from(random.random_bool(0.5)) * 2,
            image: format!("watch-{}", random.random_range(0..16)),
            target_ms: 20,
            ..StepSpec::default()
        },
    }
}

impl Simulation {
    fn new(workers: usize, waiting: usize, share: Option<f64>) -> Self {
        let bounds = Bounds {
            lease_ms: 5_000,
            lease_max_ms: 6_000,
            quorum_ms: 1_500,
            relist_ms: 2_500,
            record_max: 1 << 20,
            cap_overshoot: 0.1,
        };
        let mut simulation = Self {
            now: 0,
            waiting,
            share,
            owner: Dispatcher::new(bounds, Monotonic(0)),
            servers: Vec::new(),
            names: HashMap::new(),
            places: HashMap::new(),
            specs: HashMap::new(),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            last_event: 0,
            open_tasks: 0,
            is_committing: false,
            random: StdRng::seed_from_u64(1),
            costs: BTreeMap::new(),
            spent_ns: 0,
            called: 0,
            starts: 0,
            digest: std::hash::DefaultHasher::new(),
            written: 0,
        };
        simulation.owner.declare(&queues(), &[], &[]);
        for number in 0..workers {
            simulation.servers.push(Server {
                life: 1,
                address: number,
                origin: 0,
                down_until: 0,
                running: Vec::new(),
                ended: Vec::new(),
                last_end: 0,
                waiting: None,
            });
            let info = simulation.info(number);
            simulation.names.insert(info.name.clone(), number);
            simulation.places.insert(info.address.clone(), number);
            simulation.owner.upsert_worker(info, Monotonic(0));
        }
        let mut standing_milli = WORKER.cpu_milli * workers as u64 * STANDING_PERCENT / 100;
        while standing_milli > 0 {
            let spec = step(2, &mut simulation.random);
            let taken = spec.amount.cpu_milli * u64::from(spec.count);
            standing_milli = standing_milli.saturating_sub(taken);
            simulation.submit(2, spec);
        }
        simulation.open_tasks = 0;
        simulation.after(FIRST_LOSS_MS, Event::Lose);
        simulation
    }

    fn info(&self, number: usize) -> WorkerInfo {
        WorkerInfo {
            name: format!("server-{number:04}"),
            pool: "pool".to_owned(),
            address: place(self.servers[number].address),
            zone: "zone".to_owned(),
            labels: vec!["a".to_owned(), format!("rack-{}", number / RACK)],
            capacity: WORKER,
            incarnation: self.servers[number].life,
            ..WorkerInfo::default()
        }
    }

    fn now(&self) -> Now {
        Now {
            at: Monotonic(self.now),
            wall_ms: self.now,
        }
    }

    fn after(&mut self, millis: Millis, event: Event) {
        self.last_event += 1;
        self.bodies.insert(self.last_event, event);
        self.events
            .push(Reverse((self.now + millis, self.last_event)));
    }

    fn measure<T>(&mut self, call: Call, work: impl FnOnce(&mut Dispatcher, Now) -> T) -> T {
        let now = self.now();
        let began = thread_ns();
        let result = work(&mut self.owner, now);
        let took = thread_ns() - began;
        self.spent_ns += took;
        self.called += u64::from(call.is_answer());
        let costs = self.costs.entry(call).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_NS, 3).expect("the bounds are valid")
        });
        costs.saturating_record(took);
        result
    }

    fn submit(&mut self, number: u64, spec: StepSpec) {
        let id = JobId(self.random.random());
        self.open_tasks += spec.count as usize;
        let spec = JobSpec {
            payload: "x".repeat(600).into(),
            steps: vec![spec],
            repeat: None,
        };
        let record = JobRecord {
            queue: queues()[number as usize].clone(),
            spec: spec.clone(),
            account: None,
            accepted_ms: self.now,
        };
        self.specs.insert(id, spec);
        self.measure(Call::Submit, |owner, now| owner.submit(id, record, now));
    }

    /// Keeps the number of waiting tasks up.
    fn fill(&mut self) {
        let running: usize = self.servers.iter().map(|server| server.running.len()).sum();
        let standing: usize = self
            .specs
            .values()
            .map(|spec| &spec.steps[0])
            .filter(|step| step.standing)
            .map(|step| step.count as usize)
            .sum();
        while self.open_tasks + standing < running + self.waiting {
            let number = u64::from(self.random.random_bool(0.35));
            let spec = step(number, &mut self.random);
            self.submit(number, spec);
        }
    }

    fn run(&mut self) {
        while self.now < END_MS {
            let spent = |simulation: &Self| simulation.spent_ns + simulation.called * CALL_NS;
            let began = spent(self);
            self.step();
            let paused = match self.share {
                Some(share) => ((spent(self) - began) as f64 / share / 1e6) as Millis,
                None => STEP_MS,
            };
            let tick = self.owner.next_pass_ms(TICK_MS);
            let next = self.events.peek().map_or(tick, |Reverse((at, _))| {
                at.saturating_sub(self.now).min(tick)
            });
            self.now += paused.max(next).max(1);
        }
    }

    fn step(&mut self) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > self.now {
                break;
            }
            self.events.pop();
            let event = self.bodies.remove(&number).expect("each event has a body");
            self.handle(event);
        }
        self.fill();
        let now = self.now();
        self.owner.confirm_ownership(now.at);
        let orders = self.measure(Call::Pass, |owner, now| owner.pass(now));
        for order in orders {
            self.execute(order);
        }
        if self.is_committing {
            return;
        }
        let writes = self.measure(Call::Writes, |owner, _| owner.take_writes(COMMIT_JOBS));
        let voters = self.owner.take_voters(now.at);
        if writes.is_empty() && voters.is_none() {
            return;
        }
        for write in &writes {
            let bytes = self.measure(Call::Encode, |_, _| serde_json::to_vec(&write.record));
            self.written += bytes.map_or(0, |bytes| bytes.len()) as u64;
        }
        self.is_committing = true;
        let is_slow = (FIRST_LOSS_MS..LAST_LOSS_MS).contains(&self.now);
        let took = if is_slow { SLOW_COMMIT_MS } else { COMMIT_MS };
        self.after(took, Event::Stored);
    }

    fn execute(&mut self, order: Order) {
        let half = CALL_MS / 2;
        match order {
            Order::Poll(poll) => self.after(half, Event::Poll(poll)),
            Order::Start(start) => {
                (
                    self.now,
                    start.target.task,
                    start.target.run,
                    &start.target.name,
                )
                    .hash(&mut self.digest);
                self.after(half, Event::Start(start));
            }
            Order::Stop(target) => {
                let server = self.names[&target.name];
                self.end(server, target.task, target.run, EndCause::Stopped);
                self.after(CALL_MS, Event::Stopped(target.key));
            }
            Order::Pace(target, percent) => {
                self.after(CALL_MS, Event::Paced(target.key, percent));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poll(poll) => self.poll(poll),
            Event::Answer(number, poll) => self.answer(number, &poll),
            Event::Ended(number, life, task, run) => {
                if self.servers[number].life == life {
                    self.end(number, task, run, EndCause::Done);
                }
            }
            Event::Start(start) => self.start(&start),
            Event::Started(key, result) => {
                let call = if result.is_ok() {
                    Call::Start
                } else {
                    Call::FailedStart
                };
                self.measure(call, |owner, now| {
                    owner.on_start_answer(key, result, now.at)
                });
            }
            Event::Stopped(key) => {
                self.measure(Call::Other, |owner, now| {
                    owner.on_stop_answer(key, Ok(()), now.at);
                });
            }
            Event::Paced(key, percent) => {
                self.measure(Call::Other, |owner, now| {
                    owner.on_pace_answer(key, percent, Ok(()), now.at);
                });
            }
            Event::Stored => {
                self.is_committing = false;
                self.measure(Call::Stored, |owner, now| owner.commit_stored(now.at));
            }
            Event::Lose => self.lose(),
            Event::Listed(number, life) => {
                if self.servers[number].life == life {
                    let info = self.info(number);
                    self.measure(Call::Other, |owner, now| owner.upsert_worker(info, now.at));
                }
            }
        }
    }

    /// Fails if the worker does not answer at this address.
    fn check(&self, number: usize, address: &str) -> Result<(), CallFailure> {
        let found = self.places[address];
        if self.servers[found].down_until > self.now {
            Err(CallFailure::NotSent("connection refused".to_owned()))
        } else if found == number {
            Ok(())
        } else {
            Err(CallFailure::OtherLife)
        }
    }

    fn poll(&mut self, poll: Poll) {
        let number = self.names[&poll.name];
        let is_reached = self.check(number, &poll.address).is_ok();
        let server = &mut self.servers[number];
        server.ended.retain(|end| end.sequence > poll.acked);
        let must_wait = is_reached && server.ended.is_empty() && poll.wait_ms > 0;
        if must_wait {
            server.waiting = Some(poll.clone());
            self.after(poll.wait_ms, Event::Answer(number, poll));
        } else {
            self.after(CALL_MS / 2, Event::Answer(number, poll));
        }
    }

    /// Answers a poll that is due, or for which an end came.
    fn answer(&mut self, number: usize, poll: &Poll) {
        let now = self.now;
        let reached = self.check(number, &poll.address);
        let server = &mut self.servers[number];
        let is_answered = poll.wait_ms > 0 && server.waiting.take().is_none();
        if is_answered && server.ended.is_empty() && reached.is_ok() {
            return;
        }
        let specs = &self.specs;
        let entry = |run: &Running| {
            let is_standing = specs[&run.task.job].steps[0].standing;
            let percent = (now - run.began) * 100 / run.length;
            RunningEntry {
                task: run.task,
                run: run.run,
                checkpoint: String::new(),
                progress_percent: if is_standing {
                    100
                } else {
                    percent.min(99) as u8
                },
                measurement: 9,
            }
        };
        let result = reached.map(|()| Report {
            incarnation: server.life,
            clock_ms: now - server.origin,
            running: server.running.iter().map(entry).collect(),
            ended: server.ended.clone(),
            unread: None,
        });
        let call = match &result {
            Err(_) => Call::Loss,
            Ok(_) if now < server.down_until + 2 * LOSS_PERIOD_MS && server.life > 1 => {
                Call::Return
            }
            Ok(_) => Call::Poll,
        };
        let key = poll.worker;
        self.measure(call, |owner, now| owner.on_poll_answer(key, result, now.at));
    }

    fn start(&mut self, start: &Start) {
        let number = self.names[&start.target.name];
        let (task, run) = (start.target.task, start.target.run);
        if let Err(failure) = self.check(number, &start.target.address) {
            self.after(CALL_MS / 2, Event::Started(start.target.key, Err(failure)));
            return;
        }
        let life = self.servers[number].life;
        let step = &self.specs[&task.job].steps[0];
        let length = step.estimate_ms * self.random.random_range(70..150) / 100;
        let is_standing = step.standing;
        self.servers[number].running.push(Running {
            task,
            run,
            began: self.now,
            length,
        });
        self.starts += 1;
        if !is_standing {
            self.after(length, Event::Ended(number, life, task, run));
        }
        self.after(CALL_MS / 2, Event::Started(start.target.key, Ok(())));
    }

    fn end(&mut self, number: usize, task: TaskId, run: u32, cause: EndCause) {
        let server = &mut self.servers[number];
        let Some(at) = server
            .running
            .iter()
            .position(|other| (other.task, other.run) == (task, run))
        else {
            return;
        };
        server.running.swap_remove(at);
        server.last_end += 1;
        server.ended.push(EndedEntry {
            sequence: server.last_end,
            task,
            run,
            cause,
            checkpoint: String::new(),
        });
        if cause == EndCause::Done {
            self.open_tasks = self.open_tasks.saturating_sub(1);
        }
        if let Some(poll) = server.waiting.clone() {
            self.after(CALL_MS / 2, Event::Answer(number, poll));
        }
    }

    /// Loses a part of the workers, which come back with nothing.
    fn lose(&mut self) {
        let count = self.servers.len() / LOST_DIVISOR;
        let lost = index::sample(&mut self.random, self.servers.len(), count).into_vec();
        let mut places: Vec<usize> = lost
            .iter()
            .map(|number| self.servers[*number].address)
            .collect();
        places.rotate_left(1);
        for (number, address) in lost.into_iter().zip(places) {
            let server = &mut self.servers[number];
            server.life += 1;
            server.address = address;
            server.origin = self.now;
            server.down_until = self.now + DOWN_MS;
            server.running.clear();
            server.ended.clear();
            server.last_end = 0;
            if let Some(poll) = server.waiting.clone() {
                self.after(CALL_MS / 2, Event::Answer(number, poll));
            }
            self.places.insert(place(address), number);
            let life = self.servers[number].life;
            self.after(DOWN_MS + REGISTRY_MS, Event::Listed(number, life));
        }
        if self.now < LAST_LOSS_MS {
            self.after(LOSS_PERIOD_MS, Event::Lose);
        }
    }

    fn report(&self, workers: usize, waiting: usize) {
        let total: u64 = self.spent_ns;
        eprintln!(
            "{workers} workers, {waiting} waiting tasks, share {:?}:",
            self.share
        );
        eprintln!(
            "{:<12} {:>8} {:>9} {:>6} {:>9} {:>9} {:>9}",
            "call", "count", "ms", "%", "mean us", "p50 us", "p99 us"
        );
        for (call, costs) in &self.costs {
            let sum = costs.mean() * costs.len() as f64;
            let micros = |value: u64| value as f64 / 1e3;
            eprintln!(
                "{:<12} {:>8} {:>9.1} {:>6.1} {:>9.1} {:>9.1} {:>9.1}",
                format!("{call:?}"),
                costs.len(),
                sum / 1e6,
                sum * 100.0 / total as f64,
                costs.mean() / 1e3,
                micros(costs.value_at_quantile(0.5)),
                micros(costs.value_at_quantile(0.99)),
            );
        }
        let ended = self.owner.counts(Monotonic(self.now));
        eprintln!(
            "total {:.1} ms, {} starts, {:.1} us a start, {} KB of records, end: {ended:?}, digest {:016x}",
            total as f64 / 1e6,
            self.starts,
            total as f64 / 1e3 / self.starts.max(1) as f64,
            self.written / 1_000,
            self.digest.finish(),
        );
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        let text = arguments.next();
        text.map_or(default, |text| text.parse().expect("a number"))
    };
    let (workers, waiting) = (number(540), number(3_000));
    let share = arguments
        .next()
        .map(|text| text.parse().expect("a share of a core"));
    let _log = start_queued_logging("owner", Level::Info, "mass_loss").expect("no logger yet");
    let mut simulation = Simulation::new(workers, waiting, share);
    simulation.run();
    simulation.report(workers, waiting);
}
