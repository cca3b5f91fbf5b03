//! Dispatching: which task runs where and when, on all workers of a deployment.
//!
//! One process owns the [`Dispatcher`] at a time. It takes in what callers,
//! workers, registry and store say, and gives out [`Order`]s to workers and
//! [`Write`]s to the store. It does no I/O and reads no clock.
//!
//! * An assignment is ordered only once the store holds it, and an end is
//!   acknowledged only once the store holds it. A successor therefore knows of
//!   every run that may be at work.
//! * A run that is not accounted for is started again only when its worker said
//!   that it is gone, or when its lease has lapsed on the slowest possible clock.
//! * Workers refuse orders with a lower fencing token, which orders the acts of
//!   successive owners.
//!
//! Decisions stand apart, each under the load pattern that it answers: [`wait`]
//! (order of waiting steps), `place` (choice of a worker), `press` (relief from
//! fillers), `health` (workers to keep away from), `slow` (runs behind their peers).

mod assign;
mod commit;
mod ends;
mod health;
mod job;
mod looks;
mod orders;
mod place;
mod press;
mod recover;
mod relief;
mod report;
mod slow;
mod table;
pub mod wait;
mod worker;

use std::sync::Arc;

use slotmap::{SecondaryMap, SlotMap};

use crate::collections::{HashMap, HashSet};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

pub use job::{
    Amount, IdError, JobId, JobRecord, JobSpec, JobState, Queue, Repeat, SpecError, StepSpec,
    TaskId,
};
use press::Presses;
pub use press::Pressure;
pub use report::{
    CallFailure, EndCause, EndedEntry, Look, Order, ProgressRecord, Report, RunRecord,
    RunningEntry, Start, Target, TaskRecord, Write,
};
use table::{Job, Round};
use worker::{Phase, Run, Worker};
pub use worker::{RunKey, WorkerInfo, WorkerKey};

/// Bounds that the deployment sets, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Length of the lease that each look gives a worker's tasks.
    pub lease_ms: Millis,
    /// How long an owner that the store does not answer may go on extending
    /// leases without answers of most workers.
    pub quorum_ms: Millis,
    /// How long a vanished entry of the registry may still come back.
    pub relist_ms: Millis,
}

/// Instant of an event on both clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic time of this process.
    pub at: Monotonic,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: Millis,
}

/// The decisions about all workers and jobs of a deployment.
#[derive(Debug)]
pub struct Dispatcher {
    bounds: Bounds,
    jobs: HashMap<JobId, Job>,
    open: HashSet<JobId>,
    workers: SlotMap<WorkerKey, Worker>,
    names: HashMap<String, WorkerKey>,
    unlisted: HashMap<WorkerKey, Monotonic>,
    runs: SlotMap<RunKey, Run>,
    /// Loads of workers that were worked out, without those that have changed since.
    loads: SecondaryMap<WorkerKey, place::Load>,
    /// Runs whose worker may have to be told something.
    due: HashSet<RunKey>,
    /// Jobs that may have tasks to place.
    pending: HashSet<JobId>,
    /// Jobs with repetitions to come.
    recurring: Vec<JobId>,
    queues: HashMap<String, Queue>,
    evacuated: HashSet<String>,
    /// Cancels that came before their jobs.
    early_cancels: HashSet<JobId>,
    presses: Presses,
    dirty: Vec<JobId>,
    writing: HashMap<JobId, u64>,
    /// Whether something has changed that may let a waiting task start.
    has_news: bool,
    /// Last attempt to assign waiting tasks.
    assigned: Monotonic,
    /// Last search for slow runs.
    reviewed: Monotonic,
    is_fenced: bool,
    is_suspended: bool,
    quorum_at: Option<Monotonic>,
    store_at: Monotonic,
}

impl Dispatcher {
    /// Creates a dispatcher without workers and jobs, owned since `now`.
    pub fn new(bounds: Bounds, now: Monotonic) -> Self {
        Self {
            bounds,
            jobs: HashMap::default(),
            open: HashSet::default(),
            workers: SlotMap::with_key(),
            names: HashMap::default(),
            unlisted: HashMap::default(),
            runs: SlotMap::with_key(),
            loads: SecondaryMap::new(),
            due: HashSet::default(),
            pending: HashSet::default(),
            recurring: Vec::new(),
            queues: HashMap::default(),
            evacuated: HashSet::default(),
            early_cancels: HashSet::default(),
            presses: Presses::default(),
            dirty: Vec::new(),
            writing: HashMap::default(),
            has_news: true,
            assigned: now,
            reviewed: now,
            is_fenced: false,
            is_suspended: false,
            quorum_at: None,
            store_at: now,
        }
    }

    /// Sets the queues in force and the zones that get nothing.
    pub fn declare(&mut self, queues: &[Queue], evacuated: &[String]) {
        self.queues = queues
            .iter()
            .map(|queue| (queue.name.clone(), queue.clone()))
            .collect();
        self.evacuated = evacuated.iter().cloned().collect();
    }

    /// Takes in a job that the store holds; repeating it changes nothing.
    pub fn submit(&mut self, id: JobId, record: JobRecord, now: Now) {
        if self.jobs.contains_key(&id) {
            return;
        }
        Entry::new(Kind::JobAccepted)
            .with_text("job", id)
            .with("queue", &record.queue.name)
            .with("steps", record.spec.steps.len())
            .emit();
        self.admit(id, record, now);
        if self.early_cancels.remove(&id) {
            self.cancel(id, now.at);
        }
    }

    fn admit(&mut self, id: JobId, record: JobRecord, now: Now) {
        let job = Job::new(record, now);
        if job.begun < job.times() {
            self.recurring.push(id);
        }
        self.jobs.insert(id, job);
        self.open.insert(id);
        self.pending.insert(id);
        self.has_news = true;
    }

    /// Takes in that a job ended in an earlier ownership.
    pub fn remember(&mut self, id: JobId, state: JobState, now: Now) {
        self.jobs.insert(id, Job::ended(state, now));
    }

    /// Cancels a job; nothing of it starts any more.
    pub fn cancel(&mut self, id: JobId, now: Monotonic) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_cancels.insert(id);
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = JobState::Cancelled;
        Entry::new(Kind::JobCancelled).with_text("job", id).emit();
        self.stop_all(id, now);
        self.touch(id);
    }

    /// State of a job as callers may see it; none if it is not known.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(|job| job.shown)
    }

    /// Jobs of a queue of which no task has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| {
            job.record.queue.name == queue && !job.has_started && !job.state.is_final()
        })
        .count()
    }

    /// Whether a worker has seen the token of a later owner.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Sets whether ownership is in doubt: nothing is extended or started meanwhile.
    pub fn suspend(&mut self, is_suspended: bool) {
        self.is_suspended = is_suspended;
    }

    /// Notes that the store has confirmed the ownership at `now`.
    pub fn confirm(&mut self, now: Monotonic) {
        self.store_at = now;
    }

    /// Whether leases may be extended and runs started: the store has confirmed
    /// the ownership lately, or most workers have answered lately.
    fn may_act(&self, now: Monotonic) -> bool {
        if self.is_fenced || self.is_suspended {
            return false;
        }
        now.since(self.store_at) <= self.bounds.quorum_ms || self.has_quorum(now)
    }

    fn has_quorum(&self, now: Monotonic) -> bool {
        let limit = self.bounds.quorum_ms;
        let listed = self.workers.values().filter(|worker| worker.listed).count();
        let answering = self
            .workers
            .values()
            .filter(|worker| worker.answers(now, limit))
            .count();
        answering > 0 && answering * 2 > listed
    }

    /// Terms of a job: those in force, or those of its acceptance once its queue is gone.
    fn terms<'a>(&'a self, job: &'a Job) -> &'a Queue {
        let recorded = &job.record.queue;
        self.queues.get(&recorded.name).unwrap_or(recorded)
    }

    /// Marks a job for writing.
    fn touch(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.version += 1;
        if !job.is_dirty {
            job.is_dirty = true;
            self.dirty.push(id);
        }
    }

    /// Payload of a job.
    fn payload(&self, id: JobId) -> Arc<str> {
        self.jobs
            .get(&id)
            .map_or_else(|| Arc::from(""), |job| Arc::clone(&job.record.spec.payload))
    }

    /// Pressures between images that were learned.
    pub fn learned(&self) -> Vec<Pressure> {
        self.presses.learned()
    }

    /// Takes in pressures that an earlier owner has learned.
    pub fn relearn(&mut self, learned: &[Pressure]) {
        self.presses.relearn(learned);
    }

    /// Number of workers that can be given tasks, and of runs.
    pub fn counts(&self, now: Monotonic) -> (usize, usize) {
        let usable = self
            .workers
            .keys()
            .filter(|key| self.is_usable(*key, now))
            .count();
        (usable, self.runs.len())
    }
}
