//! Simulation of two processes that compete for one shard, of its workers and of
//! the store, on one clock.
//!
//! Messages are delayed and may be lost or repeated; the processes may be killed,
//! paused or cut off from the store and the workers. The seed determines the
//! order of all events.

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
use super::history::{History, ObservedEvent};

pub const ZONE: &str = "east";
pub const CAPACITY: Resources = Resources::new(4, 4_096);
pub const PERMIT_MS: Millis = 1_500;
pub const OUTAGE_MS: Millis = 20_000;
pub const TASK_LEASE_MS: Millis = 4_000;
pub const SHARD_LEASE_MS: Millis = 3_000;
pub const RENEW_MS: Millis = 500;
const SYNC_TIMEOUT_MS: Millis = 300;
const LIST_MS: Millis = 200;
pub const MAX_LATENCY_MS: Millis = 2;

/// Probabilities of faults in the delivery of messages.
#[derive(Clone, Copy, Default)]
pub struct MessageFaults {
    pub lost: f64,
    pub repeated: f64,
    pub late: f64,
    /// Probability that a commit takes effect and its answer is lost.
    pub unanswered: f64,
}

pub(super) enum Event {
    Tick(usize),
    Renew(usize),
    List,
    Input(usize, u32, Box<Input>),
    /// A sync over a connection to one boot of the worker.
    Sync(usize, u32, u32, String, SyncRequest),
    Commit(usize, u32, u64, Batch),
}

/// Process that can own the shard.
pub struct Owner {
    pub shard: Shard,
    /// Incremented when the process is replaced; messages for an earlier incarnation are dropped.
    pub(super) incarnation: u32,
    pub epoch: Option<u64>,
    pub is_paused: bool,
    pub store_unreachable: bool,
    pub(super) renewed_at: Millis,
    backlog: VecDeque<Input>,
    pub(super) is_releasing: bool,
    next_tick: Millis,
}

pub struct World {
    pub now: Millis,
    pub rng: ChaCha8Rng,
    pub message_faults: MessageFaults,
    pub owners: Vec<Owner>,
    /// Machines by key; several may have the same name.
    pub workers: BTreeMap<String, FakeWorker>,
    /// Machines that the list lacks.
    pub unlisted: BTreeSet<String>,
    /// Pairs of owner and worker that cannot reach each other.
    pub partitions: BTreeSet<(usize, String)>,
    /// Processes that cannot read the list of workers.
    pub list_unreachable: BTreeSet<usize>,
    /// Workers whose answers to accepted calls are lost.
    pub mute: BTreeSet<String>,
    /// Additional delay of messages to a worker, in milliseconds.
    pub delays: BTreeMap<String, Millis>,
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
    /// Creates a simulation in which the first of two processes soon acquires the shard.
    pub fn new(seed: u64, workers: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            message_faults: MessageFaults::default(),
            owners: Vec::new(),
            workers: (0..workers)
                .map(|index| format!("w{index}"))
                .map(|name| (name.clone(), FakeWorker::new(&name, ZONE, CAPACITY)))
                .collect(),
            unlisted: BTreeSet::new(),
            partitions: BTreeSet::new(),
            list_unreachable: BTreeSet::new(),
            mute: BTreeSet::new(),
            delays: BTreeMap::new(),
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
                incarnation: 0,
                epoch: None,
                is_paused: false,
                store_unreachable: false,
                renewed_at: 0,
                backlog: VecDeque::new(),
                is_releasing: false,
                next_tick: 0,
            });
            world.send_initial_state(owner);
            let first = world.now + u64::try_from(owner).expect("two owners") * 100;
            world.push(first, Event::Renew(owner));
        }
        world.push(world.now + LIST_MS, Event::List);
        world
    }

    /// Processes all events up to `until`.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
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

    /// Runs while `pending` holds; returns false if it still holds after `timeout` milliseconds.
    pub fn run_while(&mut self, timeout: Millis, pending: impl Fn(&Self) -> bool) -> bool {
        const STEP_MS: Millis = 20;
        let end = self.now + timeout;
        while pending(self) {
            if self.now >= end {
                return false;
            }
            self.run_for(STEP_MS);
        }
        true
    }

    /// Process that considers itself the owner; the one with the higher epoch if both do.
    pub fn owner(&self) -> Option<usize> {
        (0..self.owners.len())
            .filter(|owner| self.owners[*owner].epoch.is_some())
            .max_by_key(|owner| self.owners[*owner].epoch)
    }

    pub fn send_request(&mut self, owner: usize, body: Request) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        let input = Input::Requested {
            request,
            body,
            wall_ms: self.now,
        };
        self.feed(owner, input);
        request
    }

    pub fn submit(&mut self, owner: usize, id: &JobId, spec: JobSpec) -> u64 {
        let id = id.clone();
        self.send_request(owner, Request::Submit { id, spec })
    }

    /// Kills a process and at once starts a replacement of the same name without state.
    pub fn kill(&mut self, owner: usize) {
        let seed = self.rng.random();
        let old = &mut self.owners[owner];
        old.shard = shard(owner, seed);
        old.incarnation += 1;
        old.epoch = None;
        old.is_paused = false;
        old.is_releasing = false;
        old.backlog.clear();
        self.send_initial_state(owner);
    }

    pub fn pause(&mut self, owner: usize) {
        self.owners[owner].is_paused = true;
    }

    /// Resumes a process, which first handles the inputs that queued up during the pause.
    pub fn resume(&mut self, owner: usize) {
        self.owners[owner].is_paused = false;
        while let Some(input) = self.owners[owner].backlog.pop_front() {
            self.feed(owner, input);
        }
        self.feed(owner, Input::Tick);
    }

    /// Asks a process to release the shard, as before a planned stop.
    pub fn release(&mut self, owner: usize) {
        self.owners[owner].is_releasing = self.owners[owner].epoch.is_some();
        self.feed(owner, Input::Release);
    }

    pub fn crash_worker(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("a known worker");
        worker.crash(self.now, &mut self.history);
    }

    pub fn add_worker(&mut self, name: &str) {
        let worker = FakeWorker::new(name, ZONE, CAPACITY);
        self.workers.insert(name.to_owned(), worker);
    }

    /// Starts a machine that takes over the name of another in the list.
    pub fn replace_worker(&mut self, name: &str, machine: &str) {
        let mut worker = FakeWorker::new(machine, ZONE, CAPACITY);
        worker.host.name = name.to_owned();
        worker.boot = 100;
        self.workers.insert(machine.to_owned(), worker);
        self.unlisted.insert(name.to_owned());
    }

    /// Worker with the most runs in progress.
    pub fn busiest(&self) -> String {
        let busiest = self
            .workers
            .iter()
            .max_by_key(|(_, worker)| worker.run_count());
        busiest.expect("a worker").0.clone()
    }

    pub fn isolate_worker(&mut self, name: &str) {
        for owner in 0..self.owners.len() {
            self.partitions.insert((owner, name.to_owned()));
        }
    }

    pub fn set_zone(&mut self, state: ZoneState) {
        let revision = self.declared.revision + 1;
        self.declared = Arc::new(declarations(revision, state));
        let event = match state {
            ZoneState::Out => ObservedEvent::ZoneOut,
            ZoneState::In => ObservedEvent::ZoneIn,
        };
        self.history.record(self.now, event);
    }

    /// Sends the host list to every process that can read it.
    pub fn send_hosts(&mut self) {
        for owner in 0..self.owners.len() {
            if !self.list_unreachable.contains(&owner) && !self.owners[owner].is_paused {
                self.send_list(owner);
            }
        }
    }

    fn send_list(&mut self, owner: usize) {
        let read = Monotonic(self.now);
        let hosts = self.hosts();
        self.feed(owner, Input::Hosts { read, hosts });
    }

    pub fn feed(&mut self, owner: usize, input: Input) {
        if self.owners[owner].is_paused {
            return self.owners[owner].backlog.push_back(input);
        }
        let now = Monotonic(self.now);
        let actions = self.owners[owner].shard.step(input, now);
        let incarnation = self.owners[owner].incarnation;
        for action in actions {
            self.carry_out(owner, incarnation, action);
        }
        self.finish_release(owner);
        let wake = self.owners[owner].shard.next_wake(now).0.max(self.now + 1);
        if self.owners[owner].next_tick <= self.now || wake < self.owners[owner].next_tick {
            self.owners[owner].next_tick = wake;
            self.push(wake, Event::Tick(owner));
        }
    }

    fn hosts(&self) -> Vec<verbenahitch::port::HostRecord> {
        self.workers
            .iter()
            .filter(|(machine, _)| !self.unlisted.contains(*machine))
            .map(|(_, worker)| worker.host.clone())
            .collect()
    }

    fn send_initial_state(&mut self, owner: usize) {
        self.feed(owner, Input::Declared(Arc::clone(&self.declared)));
        if !self.list_unreachable.contains(&owner) {
            self.send_list(owner);
        }
    }

    pub(super) fn push(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    /// Arrival times of a message: none if it is lost, two if it is repeated.
    pub(super) fn arrival_times(&mut self) -> Vec<Millis> {
        const MAX_DELAY_MS: Millis = 12_000;
        let mut times = Vec::new();
        let copies = 1 + usize::from(self.rng.random_bool(self.message_faults.repeated));
        for _ in 0..copies {
            if self.rng.random_bool(self.message_faults.lost) {
                continue;
            }
            let late = self.rng.random_bool(self.message_faults.late);
            let max_delay = if late { MAX_DELAY_MS } else { MAX_LATENCY_MS };
            times.push(self.now + self.rng.random_range(1..=max_delay));
        }
        times
    }

    fn carry_out(&mut self, owner: usize, incarnation: u32, action: Action) {
        match action {
            Action::Sync {
                worker,
                address,
                request,
            } => {
                let mut machines = self.workers.iter();
                let found = machines.find(|(_, machine)| machine.host.control == address);
                let (machine, boot) = found
                    .map(|(key, machine)| (key.clone(), machine.boot))
                    .expect("the address of a machine");
                let delay = self.delays.get(&machine).copied().unwrap_or(0);
                for at in self.arrival_times() {
                    let event =
                        Event::Sync(owner, incarnation, boot, machine.clone(), request.clone());
                    self.push(at + delay, event);
                }
                let seq = request.seq;
                let reason = "timeout".to_owned();
                let error = SyncError::Unanswered { reason };
                let failed = Input::SyncFailed { worker, seq, error };
                let at = self.now + SYNC_TIMEOUT_MS;
                self.push(at, Event::Input(owner, incarnation, Box::new(failed)));
            }
            Action::Commit(batch) => {
                let epoch = self.owners[owner].epoch.expect("only an owner commits");
                let at = self.now + self.rng.random_range(1..=MAX_LATENCY_MS);
                self.push(at, Event::Commit(owner, incarnation, epoch, batch));
            }
            Action::Answer { request, body } => {
                if let Answer::Accepted(status) = &body {
                    self.accepted.insert(status.id.clone());
                }
                self.answers.insert(request, body);
            }
            Action::Log(entry) => self.entries.push(entry),
            Action::Superseded => self.owners[owner].epoch = None,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(owner) => {
                if !self.owners[owner].is_paused && self.owners[owner].next_tick <= self.now {
                    self.feed(owner, Input::Tick);
                }
            }
            Event::Renew(owner) => {
                self.push(self.now + RENEW_MS, Event::Renew(owner));
                if !self.owners[owner].is_paused {
                    self.renew(owner);
                }
            }
            Event::List => {
                self.push(self.now + LIST_MS, Event::List);
                self.send_hosts();
            }
            Event::Input(owner, incarnation, input) => {
                if self.owners[owner].incarnation == incarnation {
                    self.feed(owner, *input);
                }
            }
            Event::Sync(owner, incarnation, boot, worker, request) => {
                if self.workers[&worker].boot == boot {
                    self.sync(owner, incarnation, worker, &request);
                }
            }
            Event::Commit(owner, incarnation, epoch, batch) => {
                self.commit(owner, incarnation, epoch, &batch)
            }
        }
    }

    /// Submits the jobs that have not been accepted yet, as a caller that retries.
    pub fn resubmit(&mut self, wanted: &[(JobId, JobSpec)]) {
        let Some(owner) = self.owner().filter(|owner| !self.owners[*owner].is_paused) else {
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
