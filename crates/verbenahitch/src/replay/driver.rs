//! Replays a trace in ticks of one second.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::cell::{Cell, Policy};
use super::fleet::{Job, Run, State, Worker};
use super::model::Model;
use super::tally::Tally;
use super::trace::{Event, Kind, Submit, Trace};
use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::{JobKey, Millis, Monotonic, TaskKey};

pub(super) const TICK_MS: Millis = 1_000;

/// One run of a trace under one policy and seed.
pub(super) struct Driver<'a> {
    pub(super) trace: &'a Trace,
    pub(super) policy: Policy,
    pub(super) seed: u64,
    pub(super) now: Monotonic,
    pub(super) declared: Arc<Declarations>,
    pub(super) model: Model,
    pub(super) kinds: Vec<(Kind, JobKey)>,
    pub(super) rates: HashMap<String, f64>,
    pub(super) zones: Vec<String>,
    pub(super) cells: Vec<Cell>,
    pub(super) workers: Vec<Worker>,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) runs: BTreeMap<u64, Run>,
    pub(super) next_run: u64,
    /// Tasks of failed workers, with the end of their lease.
    pub(super) leased: Vec<(Monotonic, TaskKey)>,
    /// End of the quarantine of workers, which only the baseline policies observe.
    pub(super) quarantine_ends: Vec<(Monotonic, usize)>,
    pub(super) reserved_fraction: f64,
    pub(super) tally: Tally,
    pub(super) rng: ChaCha8Rng,
    job_keys: HashMap<String, JobKey>,
    store_up: bool,
    deferred: Vec<Event>,
}

impl<'a> Driver<'a> {
    pub(super) fn new(trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let declared = Arc::new(trace.declarations());
        let mut driver = Self {
            trace,
            policy,
            seed,
            now: Monotonic(0),
            declared,
            model: Model::default(),
            kinds: Vec::new(),
            rates: HashMap::default(),
            zones: Vec::new(),
            cells: Vec::new(),
            workers: Vec::new(),
            jobs: SlotMap::with_key(),
            runs: BTreeMap::new(),
            next_run: 0,
            leased: Vec::new(),
            quarantine_ends: Vec::new(),
            reserved_fraction: 0.0,
            tally: Tally::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            job_keys: HashMap::default(),
            store_up: true,
            deferred: Vec::new(),
        };
        driver.set_up();
        driver
    }

    /// Reads the request kinds first: a worker commits the resources of its
    /// upstreams as soon as it is added.
    fn set_up(&mut self) {
        let trace = self.trace;
        for entry in &trace.entries {
            if let Event::Kind(kind) = &entry.event {
                let key = self.jobs.insert(self.upstream_job(kind));
                self.kinds.push((kind.clone(), key));
            }
        }
        self.reserved_fraction = self.peak_fraction();
    }

    /// Job that represents the upstreams of one kind on all workers.
    fn upstream_job(&self, kind: &Kind) -> Job {
        let submit = Submit {
            job: kind.profile.clone(),
            profile: kind.profile.clone(),
            tasks: 0,
            run_ms: 0,
        };
        let profile = Arc::new(self.declared.profiles[&kind.profile].clone());
        Job::new(submit, profile, 0, self.now)
    }

    pub(super) fn run(mut self) -> Tally {
        let trace = self.trace;
        let mut entries = trace.entries.iter().peekable();
        let end = trace.entries.last().map_or(0, |entry| entry.at_ms);
        while self.now.0 <= end {
            while let Some(entry) = entries.next_if(|entry| entry.at_ms <= self.now.0) {
                self.apply(entry.event.clone());
            }
            self.tick();
            self.now = self.now + TICK_MS;
        }
        self.tally.end_ms = end;
        self.record_waiting_urgent();
        self.tally
    }

    fn tick(&mut self) {
        self.advance_runs();
        self.release_expired();
        self.serve();
        self.deliver_reports();
        self.apply_actions();
        self.place();
        self.check_commitments();
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Declare(_) | Event::Kind(_) | Event::End => {}
            Event::Workers {
                zone,
                count,
                per_rack,
                capacity,
            } => self.add_workers(&zone, count, per_rack, capacity),
            Event::Truth(truth) => self.model.add_truth(&truth),
            Event::Load { profile, rate } => {
                self.rates.insert(profile, rate);
            }
            Event::Noise { profile, factor } => self.model.set_noise(&profile, factor),
            Event::Submit(_) | Event::Cancel { .. } if !self.store_up => self.deferred.push(event),
            Event::Submit(submit) => self.submit(submit),
            Event::Cancel { job } => self.cancel(&job),
            Event::Down { worker } => self.with_worker(&worker, Self::take_down),
            Event::Up { worker } => self.with_worker(&worker, Self::bring_up),
            Event::Bad { worker } => self.with_worker(&worker, |driver, at| {
                driver.workers[at].bad = true;
            }),
            Event::Good { worker } => self.with_worker(&worker, |driver, at| {
                driver.workers[at].bad = false;
            }),
            Event::ZoneOut { zone } => self.set_zone(&zone, false),
            Event::ZoneIn { zone } => self.set_zone(&zone, true),
            Event::StoreDown => self.store_up = false,
            Event::StoreUp => {
                self.store_up = true;
                for event in std::mem::take(&mut self.deferred) {
                    self.apply(event);
                }
            }
        }
    }

    fn with_worker(&mut self, name: &str, update: impl FnOnce(&mut Self, usize)) {
        if let Some(at) = self.workers.iter().position(|worker| worker.name == name) {
            update(self, at);
        }
    }

    fn submit(&mut self, submit: Submit) {
        let Some(profile) = self.declared.profiles.get(&submit.profile) else {
            return;
        };
        let count = u64::from(submit.tasks);
        let profile = Arc::new(profile.clone());
        let name = submit.job.clone();
        let job = Job::new(submit, profile, self.least_loaded(), self.now);
        let key = self.jobs.insert(job);
        if self.never_fits(key) {
            self.tally.refused_tasks += count;
            self.jobs.remove(key);
            return;
        }
        let batch = self.tally.batch(&self.jobs[key].profile_name);
        batch.worth = self.jobs[key].profile.worth;
        batch.due += count;
        self.job_keys.insert(name, key);
        for index in 0..self.jobs[key].submit.tasks {
            self.enqueue(TaskKey { job: key, index }, self.now);
        }
    }

    fn cancel(&mut self, name: &str) {
        let Some(key) = self.job_keys.get(name).copied() else {
            return;
        };
        for index in 0..self.jobs[key].submit.tasks {
            let task = TaskKey { job: key, index };
            let cell = self.jobs[key].cell;
            match self.jobs[key].task(index).state {
                State::Ended => continue,
                State::Waiting(_) => {
                    self.cells[cell].queue.withdraw(task);
                }
                State::Running(run) => {
                    self.remove_run(run);
                }
                State::AwaitingLapse => self.leased.retain(|(_, leased)| *leased != task),
            }
            let job = &mut self.jobs[key];
            job.task(index).state = State::Ended;
            self.tally.batch(&job.profile_name).due -= 1;
        }
    }

    /// Takes a zone out of service and moves its jobs, or brings it back.
    fn set_zone(&mut self, zone: &str, in_service: bool) {
        let Some(cell) = self.zones.iter().position(|name| name == zone) else {
            return;
        };
        self.cells[cell].in_service = in_service;
        if in_service {
            return;
        }
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            if self.jobs[key].cell == cell && self.jobs[key].submit.tasks > 0 {
                self.move_job(key);
            }
        }
    }

    /// Moves a job to another zone; its runs are evicted first.
    fn move_job(&mut self, key: JobKey) {
        let from = self.jobs[key].cell;
        let to = self.least_loaded();
        self.jobs[key].cell = to;
        for index in 0..self.jobs[key].submit.tasks {
            let task = TaskKey { job: key, index };
            match self.jobs[key].task(index).state {
                State::Waiting(since) => {
                    self.cells[from].queue.withdraw(task);
                    self.enqueue(task, since);
                }
                State::Running(run) => self.evict(run),
                State::AwaitingLapse | State::Ended => {}
            }
        }
    }

    /// Zone in service with the fewest tasks per worker.
    fn least_loaded(&self) -> usize {
        let mut tasks = vec![0_usize; self.cells.len()];
        for run in self.runs.values() {
            tasks[self.workers[run.worker].cell] += 1;
        }
        for (at, cell) in self.cells.iter().enumerate() {
            tasks[at] += cell.queue.len();
        }
        let open = self
            .cells
            .iter()
            .enumerate()
            .filter(|(_, cell)| cell.in_service);
        open.map(|(at, cell)| (tasks[at] * 1_000 / cell.chooser.order.len().max(1), at))
            .min()
            .map_or(0, |(_, at)| at)
    }
}
