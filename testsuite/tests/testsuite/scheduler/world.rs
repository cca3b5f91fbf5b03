//! Two processes that want one shard, its workers and the store, on one clock.
//!
//! Messages take time and may be lost, repeated or late; the processes may be
//! killed, paused or cut off. The order of all events follows from the seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::config::{Declarations, ZoneState};
use verbenahitch::domain::{JobId, JobSpec, Millis, Monotonic, Resources, ShardId};
use verbenahitch::event::Entry;
use verbenahitch::port::{SyncError, SyncRequest};
use verbenahitch::scheduler::{Action, Answer, Batch, Input, Params, Request, Shard, SubmitError};

use super::declared::declarations;
use super::fake_store::FakeStore;
use super::fake_worker::FakeWorker;
use super::history::{History, Seen};

pub const ZONE: &str = "east";
pub const CAPACITY: Resources = Resources::new(4, 4_096);
pub const PERMIT_MS: Millis = 1_500;
pub const OUTAGE_MS: Millis = 20_000;
pub const TASK_LEASE_MS: Millis = 4_000;
pub const SHARD_LEASE_MS: Millis = 3_000;
pub const RENEW_MS: Millis = 500;
const SYNC_TIMEOUT_MS: Millis = 300;
pub const LATENCY_MS: Millis = 2;

/// How badly messages fare.
#[derive(Clone, Copy, Default)]
pub struct Weather {
    pub lost: f64,
    pub repeated: f64,
    pub late: f64,
    /// Share of commits whose answer is lost after the effect.
    pub unanswered: f64,
}

pub(super) enum Event {
    Tick(usize),
    Renew(usize),
    Input(usize, u32, Box<Input>),
    /// A call over a connection to one life of the worker.
    Sync(usize, u32, u32, String, SyncRequest),
    Commit(usize, u32, u64, Batch),
}

pub struct Owner {
    pub shard: Shard,
    /// Rises when the process is replaced; messages for an earlier one are lost.
    pub(super) life: u32,
    pub epoch: Option<u64>,
    pub frozen: bool,
    pub cut: bool,
    pub(super) renewed: Millis,
    backlog: VecDeque<Input>,
    pub(super) leaving: bool,
    tick: Millis,
}

pub struct World {
    pub now: Millis,
    pub rng: ChaCha8Rng,
    pub weather: Weather,
    pub owners: Vec<Owner>,
    pub workers: BTreeMap<String, FakeWorker>,
    /// Pairs of owner and worker that cannot reach each other.
    pub cuts: BTreeSet<(usize, String)>,
    /// Time that messages to a worker take besides, in milliseconds.
    pub slow: BTreeMap<String, Millis>,
    pub store: FakeStore,
    pub declared: Arc<Declarations>,
    pub history: History,
    pub entries: Vec<Entry>,
    pub answers: BTreeMap<u64, Answer>,
    pub accepted: BTreeSet<JobId>,
    queue: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    next_request: u64,
}

fn shard(owner: usize, seed: u64) -> Shard {
    Shard::new(Params {
        shard: ShardId {
            zone: ZONE.to_owned(),
            index: 0,
        },
        owner: format!("s{owner}"),
        sync_ms: 400,
        sync_timeout_ms: SYNC_TIMEOUT_MS,
        task_lease_ms: TASK_LEASE_MS,
        outage_ms: OUTAGE_MS,
        commit_ms: 50,
        mark_ahead: 4,
        retention_ms: 3_600_000,
        seed,
    })
}

impl World {
    /// Creates a world in which the first of two processes will soon own the shard.
    pub fn new(seed: u64, workers: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            weather: Weather::default(),
            owners: Vec::new(),
            workers: (0..workers)
                .map(|index| format!("w{index}"))
                .map(|name| (name.clone(), FakeWorker::new(&name, ZONE, CAPACITY)))
                .collect(),
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            store: FakeStore::default(),
            declared: Arc::new(declarations(1, ZoneState::In)),
            history: History::default(),
            entries: Vec::new(),
            answers: BTreeMap::new(),
            accepted: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
        };
        for owner in 0..2 {
            world.owners.push(Owner {
                shard: shard(owner, seed),
                life: 0,
                epoch: None,
                frozen: false,
                cut: false,
                renewed: 0,
                backlog: VecDeque::new(),
                leaving: false,
                tick: 0,
            });
            world.greet(owner);
            let first = world.now + u64::try_from(owner).expect("two owners") * 100;
            world.push(first, Event::Renew(owner));
        }
        world
    }

    /// Lets events happen until `until`.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = self.now.max(until);
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.advance(now, &mut self.history);
        }
    }

    pub fn run_for(&mut self, millis: Millis) {
        self.run_until(self.now + millis);
    }

    /// Runs until `done` holds; false if it never does within `limit` milliseconds.
    pub fn run_while(&mut self, limit: Millis, pending: impl Fn(&Self) -> bool) -> bool {
        const STEP_MS: Millis = 20;
        let end = self.now + limit;
        while pending(self) {
            if self.now >= end {
                return false;
            }
            self.run_for(STEP_MS);
        }
        true
    }

    /// Process that owns the shard by its own belief, the newest if there are two.
    pub fn owner(&self) -> Option<usize> {
        (0..self.owners.len())
            .filter(|owner| self.owners[*owner].epoch.is_some())
            .max_by_key(|owner| self.owners[*owner].epoch)
    }

    pub fn ask(&mut self, owner: usize, body: Request) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        let input = Input::Asked {
            request,
            body,
            wall_ms: self.now,
        };
        self.feed(owner, input);
        request
    }

    pub fn submit(&mut self, owner: usize, id: &JobId, spec: JobSpec) -> u64 {
        let id = id.clone();
        self.ask(owner, Request::Submit { id, spec })
    }

    /// Kills a process; another one of its name starts at once, empty.
    pub fn kill(&mut self, owner: usize) {
        let seed = self.rng.random();
        let old = &mut self.owners[owner];
        old.shard = shard(owner, seed);
        old.life += 1;
        old.epoch = None;
        old.frozen = false;
        old.leaving = false;
        old.backlog.clear();
        self.greet(owner);
    }

    pub fn freeze(&mut self, owner: usize) {
        self.owners[owner].frozen = true;
    }

    /// Wakes a process, which first takes in what waited for it.
    pub fn wake(&mut self, owner: usize) {
        self.owners[owner].frozen = false;
        while let Some(input) = self.owners[owner].backlog.pop_front() {
            self.feed(owner, input);
        }
        self.feed(owner, Input::Tick);
    }

    /// Asks a process to give the shard up, as before a planned stop.
    pub fn release(&mut self, owner: usize) {
        self.owners[owner].leaving = self.owners[owner].epoch.is_some();
        self.feed(owner, Input::Release);
    }

    pub fn crash_worker(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("a known worker");
        worker.crash(self.now, &mut self.history);
    }

    pub fn cut_worker(&mut self, name: &str) {
        for owner in 0..self.owners.len() {
            self.cuts.insert((owner, name.to_owned()));
        }
    }

    pub fn set_zone(&mut self, state: ZoneState) {
        let revision = self.declared.revision + 1;
        self.declared = Arc::new(declarations(revision, state));
        let seen = match state {
            ZoneState::Out => Seen::ZoneOut,
            ZoneState::In => Seen::ZoneIn,
        };
        self.history.note(self.now, seen);
    }

    /// Hands a host list to every process.
    pub fn list_hosts(&mut self) {
        for owner in 0..self.owners.len() {
            let hosts = self.hosts();
            self.feed(owner, Input::Hosts(hosts));
        }
    }

    pub fn feed(&mut self, owner: usize, input: Input) {
        if self.owners[owner].frozen {
            return self.owners[owner].backlog.push_back(input);
        }
        let now = Monotonic(self.now);
        let actions = self.owners[owner].shard.step(input, now);
        let life = self.owners[owner].life;
        for action in actions {
            self.carry_out(owner, life, action);
        }
        self.finish_release(owner);
        let wake = self.owners[owner].shard.next_wake(now).0.max(self.now + 1);
        if self.owners[owner].tick <= self.now || wake < self.owners[owner].tick {
            self.owners[owner].tick = wake;
            self.push(wake, Event::Tick(owner));
        }
    }

    fn hosts(&self) -> Vec<verbenahitch::port::HostRecord> {
        self.workers
            .values()
            .map(|worker| worker.host.clone())
            .collect()
    }

    fn greet(&mut self, owner: usize) {
        let hosts = self.hosts();
        self.feed(owner, Input::Declared(Arc::clone(&self.declared)));
        self.feed(owner, Input::Hosts(hosts));
    }

    pub(super) fn push(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    /// Times at which a message arrives: none, one or two.
    pub(super) fn arrivals(&mut self) -> Vec<Millis> {
        const LATEST_MS: Millis = 12_000;
        let mut times = Vec::new();
        let copies = 1 + usize::from(self.rng.random_bool(self.weather.repeated));
        for _ in 0..copies {
            if self.rng.random_bool(self.weather.lost) {
                continue;
            }
            let late = self.rng.random_bool(self.weather.late);
            let most = if late { LATEST_MS } else { LATENCY_MS };
            times.push(self.now + self.rng.random_range(1..=most));
        }
        times
    }

    fn carry_out(&mut self, owner: usize, life: u32, action: Action) {
        match action {
            Action::Sync {
                worker, request, ..
            } => {
                let boot = self.workers[&worker].boot;
                let slow = self.slow.get(&worker).copied().unwrap_or(0);
                for at in self.arrivals() {
                    let event = Event::Sync(owner, life, boot, worker.clone(), request.clone());
                    self.push(at + slow, event);
                }
                let seq = request.seq;
                let reason = "timeout".to_owned();
                let error = SyncError::Unanswered { reason };
                let failed = Input::SyncFailed { worker, seq, error };
                let at = self.now + SYNC_TIMEOUT_MS;
                self.push(at, Event::Input(owner, life, Box::new(failed)));
            }
            Action::Commit(batch) => {
                let epoch = self.owners[owner].epoch.expect("only an owner commits");
                let at = self.now + self.rng.random_range(1..=LATENCY_MS);
                self.push(at, Event::Commit(owner, life, epoch, batch));
            }
            Action::Answer { request, body } => {
                if let Answer::Accepted(status) = &body {
                    self.accepted.insert(status.id.clone());
                }
                self.answers.insert(request, body);
            }
            Action::Log(entry) => self.entries.push(entry),
            Action::StandDown => self.owners[owner].epoch = None,
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(owner) => {
                if !self.owners[owner].frozen && self.owners[owner].tick <= self.now {
                    self.feed(owner, Input::Tick);
                }
            }
            Event::Renew(owner) => {
                self.push(self.now + RENEW_MS, Event::Renew(owner));
                if !self.owners[owner].frozen {
                    self.renew(owner);
                }
            }
            Event::Input(owner, life, input) => {
                if self.owners[owner].life == life {
                    self.feed(owner, *input);
                }
            }
            Event::Sync(owner, life, boot, worker, request) => {
                if self.workers[&worker].boot == boot {
                    self.sync(owner, life, worker, &request);
                }
            }
            Event::Commit(owner, life, epoch, batch) => self.commit(owner, life, epoch, &batch),
        }
    }

    /// Submits again what was not accepted, as a caller would.
    pub fn insist(&mut self, wanted: &[(JobId, JobSpec)]) {
        let Some(owner) = self.owner().filter(|owner| !self.owners[*owner].frozen) else {
            return;
        };
        for (id, spec) in wanted {
            if !self.accepted.contains(id) {
                self.submit(owner, id, spec.clone());
            }
        }
    }

    /// Refusal of a request, if it was refused.
    pub fn refusal(&self, request: u64) -> Option<&SubmitError> {
        match self.answers.get(&request) {
            Some(Answer::Refused(error)) => Some(error),
            _ => None,
        }
    }
}
