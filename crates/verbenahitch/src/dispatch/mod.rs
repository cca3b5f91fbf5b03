//! Dispatcher: decides which task runs where and when, on all workers of a
//! deployment.
//!
//! One process owns the [`Dispatcher`] at a time. Its inputs are submissions,
//! workers' reports, registry entries and confirmations of the store; its outputs
//! are [`Order`]s to workers and [`Write`]s to the store. It does no I/O and reads
//! no clock.
//!
//! * A start is ordered only once the store holds the assignment, and an end is
//!   acknowledged only once the store holds it. A successor therefore knows of
//!   every run that may still be running.
//! * A task whose run is missing is started again only when the worker reported the
//!   run gone, or when the lease of the run has lapsed on the slowest clock allowed
//!   for.
//! * Workers refuse orders with a lower fencing token, so that orders of a former
//!   owner have no effect after those of its successor.
//!
//! Each decision has a module of its own, which names the load pattern that it is
//! made for: [`step_order`] (order of waiting steps), [`room`] (room for short steps beside
//! standing tasks), `place` (choice of a worker), `account` (caps and shares of client
//! accounts), [`forecast`] (when a new job would end), `headroom` (what fillers take from
//! standing tasks), `interference` (relief of slowed standing tasks), `health` (quarantine
//! of workers), `straggler` (runs much slower than their peers), `crash` (tasks that crash their
//! workers).

mod account;
mod assign;
mod commit;
mod crash;
mod ends;
pub mod forecast;
mod headroom;
mod health;
mod interference;
mod job;
mod mitigation;
mod orders;
mod pause;
mod place;
mod polls;
mod quorum;
pub mod record_size;
mod recover;
mod report;
mod retire;
pub mod room;
pub mod step_order;
mod straggler;
mod table;
mod worker;

use std::sync::Arc;

use slotmap::{SecondaryMap, SlotMap};

use crate::collections::{HashMap, HashSet};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

pub use account::{Account, AccountStatus, InUse, ShareRank, admits};
use account::{AccountKey, Accounts, Claim};
pub use assign::StepCounts;
use forecast::Forecaster;
pub use forecast::{Digest, Hindsight, PoolLimit, QueueForecast};
use headroom::HeadroomModel;
pub use headroom::{Pressure, PressureRecord};
pub use job::{
    Amount, IdError, JobId, JobRecord, JobSpec, JobState, MAX_STEPS, Queue, Repeat, SpecError,
    StepSpec, TaskId, are_foreign,
};
use pause::PauseDetector;
use quorum::Voters;
pub use report::{
    CallFailure, EndCause, EndedEntry, HomeRecord, Order, Poll, ProgressRecord, Report, Retirement,
    RunRecord, RunningEntry, Start, Target, TaskRecord, Voter, VoterRecord, Write,
};
use table::{Job, Round};
use worker::{Phase, Run, Worker};
pub use worker::{RunKey, WorkerInfo, WorkerKey};

/// Bounds that the deployment sets; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Length of the lease that each poll gives a worker's tasks.
    pub lease_ms: Millis,
    /// Length to which workers shorten longer leases.
    pub lease_max_ms: Millis,
    /// How long an owner may go on extending leases while neither the store nor
    /// most voters answer.
    pub quorum_ms: Millis,
    /// How long a worker stays usable after its registry entry has vanished.
    pub relist_ms: Millis,
    /// Part of an account's cap by which late starts may exceed it.
    pub cap_overshoot: f64,
    /// Largest record of a job's progress, in bytes.
    pub record_max: usize,
}

/// Time of an event on both clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic time of this process.
    pub at: Monotonic,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: Millis,
}

/// State and decisions of the dispatcher for all workers and jobs of a deployment.
#[derive(Debug)]
pub struct Dispatcher {
    bounds: Bounds,
    jobs: HashMap<JobId, Job>,
    /// Jobs whose end the store does not hold, or that still have runs.
    open_jobs: HashSet<JobId>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_keys: HashMap<String, WorkerKey>,
    /// Length of the longest name or address of a worker so far.
    name_bytes: usize,
    runs: SlotMap<RunKey, Run>,
    /// Cached loads of workers; an entry is removed when the worker's load changes.
    cached_loads: SecondaryMap<WorkerKey, place::Load>,
    /// Runs that may need an order to their worker.
    due_runs: HashSet<RunKey>,
    /// Jobs that may have tasks to place.
    pending: HashSet<JobId>,
    /// Jobs with repetitions that have not begun.
    recurring: Vec<JobId>,
    queues: HashMap<String, Queue>,
    accounts: Accounts,
    evacuated: HashSet<String>,
    /// Cancelled jobs that have not been submitted yet, with the account of the caller.
    early_cancels: HashMap<JobId, Option<String>>,
    /// Waiting or young tasks under which a worker may have crashed.
    suspects: HashMap<TaskId, Monotonic>,
    /// Recent losses of workers.
    losses: crash::Losses,
    /// Number of workers with a registry entry at the last pass.
    listed_count: usize,
    headroom: HeadroomModel,
    /// Recent demand of short steps, by pool.
    demands: HashMap<String, room::Demand>,
    /// Mean work of a job, by queue.
    work_means: HashMap<String, table::WorkMean>,
    /// Waiting steps of the last assignment.
    steps_waiting: StepCounts,
    /// Last log line on an overload.
    overload_logged: Option<Monotonic>,
    /// Last log line on steps that a pass did not try.
    skipped_logged: Option<Monotonic>,
    forecaster: Forecaster,
    /// Jobs with changes to be written.
    dirty: Vec<JobId>,
    /// Versions of the jobs in the write in progress.
    writing: HashMap<JobId, u64>,
    /// Jobs that are left out of the writes.
    held_writes: HashSet<JobId>,
    /// Whether a change may let a waiting task start.
    assign_needed: bool,
    /// Last attempt to assign waiting tasks.
    assigned_at: Monotonic,
    /// Last check for stalled and slow runs.
    checked_at: Monotonic,
    is_fenced: bool,
    /// When the ownership last came into doubt, until it is confirmed.
    suspended_at: Option<Monotonic>,
    pauses: PauseDetector,
    voters: Voters,
    /// Begin of the ownership.
    began_at: Monotonic,
    /// When most voters of the earlier owner had answered this one.
    quorum_at: Option<Monotonic>,
    /// When all earlier owners act no more, by the record of the last one.
    retired_end: Option<Monotonic>,
    /// When the leases of workers have lapsed, by that record.
    recorded_lapses: SecondaryMap<WorkerKey, Monotonic>,
    /// Last confirmation of the ownership by the store.
    ownership_at: Monotonic,
    /// Number of runs that workers listed without an assignment, until it is taken.
    unassigned: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without workers and jobs, owned since `now`.
    pub fn new(bounds: Bounds, now: Monotonic) -> Self {
        Self {
            bounds,
            jobs: HashMap::default(),
            open_jobs: HashSet::default(),
            workers: SlotMap::with_key(),
            worker_keys: HashMap::default(),
            name_bytes: 0,
            runs: SlotMap::with_key(),
            cached_loads: SecondaryMap::new(),
            due_runs: HashSet::default(),
            pending: HashSet::default(),
            recurring: Vec::new(),
            queues: HashMap::default(),
            accounts: Accounts::default(),
            evacuated: HashSet::default(),
            early_cancels: HashMap::default(),
            suspects: HashMap::default(),
            losses: crash::Losses::default(),
            listed_count: 0,
            headroom: HeadroomModel::default(),
            demands: HashMap::default(),
            work_means: HashMap::default(),
            steps_waiting: StepCounts::default(),
            overload_logged: None,
            skipped_logged: None,
            forecaster: Forecaster::default(),
            dirty: Vec::new(),
            writing: HashMap::default(),
            held_writes: HashSet::default(),
            assign_needed: true,
            assigned_at: now,
            checked_at: now,
            is_fenced: false,
            suspended_at: None,
            pauses: PauseDetector::default(),
            voters: Voters::default(),
            began_at: now,
            quorum_at: None,
            retired_end: None,
            recorded_lapses: SecondaryMap::new(),
            ownership_at: now,
            unassigned: 0,
        }
    }

    /// Sets the queues and client accounts in force and the zones whose workers get no
    /// tasks.
    pub fn declare(&mut self, queues: &[Queue], accounts: &[Account], evacuated: &[String]) {
        self.queues = queues
            .iter()
            .map(|queue| (queue.name.clone(), queue.clone()))
            .collect();
        self.accounts.declare(accounts);
        self.evacuated = evacuated.iter().cloned().collect();
    }

    /// Adds a job that the store holds; a known job is left unchanged.
    pub fn submit(&mut self, id: JobId, record: JobRecord, now: Now) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let forecast = self.forecast(&record);
        Entry::new(Kind::JobAccepted)
            .with_text("job", id)
            .with("queue", &record.queue.name)
            .with("steps", record.spec.steps.len())
            .with("forecast-ms", forecast)
            .emit();
        self.insert_job(id, record, now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.forecast_ms = forecast;
        }
        if let Some(account) = self.early_cancels.remove(&id) {
            self.cancel_for(id, account.as_deref(), now.at);
        }
    }

    fn insert_job(&mut self, id: JobId, mut record: JobRecord, now: Now) {
        for step in &mut record.spec.steps {
            if let Some(short) = headroom::short_name(&step.image) {
                step.image = short;
            }
        }
        let account = record.account.as_deref();
        let account = account.map(|name| self.accounts.key(name));
        let mut job = Job::new(record, now);
        job.account = account;
        if account.is_some() {
            self.accounts.add_job(id, job.record.accepted_ms);
        }
        self.note_demand(&job, now.at);
        if job.rounds_begun < job.times() {
            self.recurring.push(id);
        }
        self.jobs.insert(id, job);
        self.open_jobs.insert(id);
        self.pending.insert(id);
        self.assign_needed = true;
    }

    /// Takes a new job into the recent demand.
    fn note_demand(&mut self, job: &Job, now: Monotonic) {
        let queue = self.queue_of(job);
        let (pool, name) = (queue.pool.clone(), queue.name.clone());
        self.work_means.entry(name).or_default().add(job.work);
        let demand = self.demands.entry(pool).or_default();
        for step in job
            .record
            .spec
            .steps
            .iter()
            .filter(|step| room::is_short(step))
        {
            demand.add(step.count, step.amount, step.estimate_ms, now);
        }
    }

    /// Adds a job that ended under an earlier owner.
    pub fn add_ended(&mut self, id: JobId, state: JobState, now: Now) {
        self.jobs.insert(id, Job::ended(state, now));
    }

    /// Cancels a job, whosever it is.
    pub fn cancel(&mut self, id: JobId, now: Monotonic) {
        self.cancel_for(id, None, now);
    }

    /// Cancels a job for a caller of `account`: stops its runs and starts no more of its tasks. The
    /// cancel of an unknown job holds when it is submitted.
    pub fn cancel_for(&mut self, id: JobId, account: Option<&str>, now: Monotonic) {
        let Some(job) = self.jobs.get_mut(&id) else {
            let account = account.map(str::to_owned);
            self.early_cancels.insert(id, account);
            return;
        };
        if job.state.is_final() || are_foreign(job.record.account.as_deref(), account) {
            return;
        }
        job.state = JobState::Cancelled;
        Entry::new(Kind::JobCancelled).with_text("job", id).emit();
        self.stop_job(id, now);
        self.mark_dirty(id);
    }

    /// Forgets the cancel of a job that has not been submitted.
    pub fn forget_cancel(&mut self, id: JobId) {
        self.early_cancels.remove(&id);
    }

    /// Forgets the cancels of all jobs that have not been submitted but those.
    pub fn retain_cancels(&mut self, listed: &HashSet<JobId>) {
        self.early_cancels.retain(|id, _| listed.contains(id));
    }

    /// State of a job that callers are shown; none if the job is unknown.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(|job| job.visible_state)
    }

    /// Number of jobs of a queue of which no task has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| {
            job.record.queue.name == queue && !job.has_started && !job.state.is_final()
        })
        .count()
    }

    /// Whether a worker has seen the token of a later owner.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Suspends the extension of leases and the start of runs, since the ownership is in
    /// doubt.
    pub fn suspend(&mut self, now: Monotonic) {
        self.suspended_at = Some(now);
    }

    /// Records that the process ran at `boot_ms`, a reading of a clock that also runs while the
    /// host is suspended. Suspends the dispatcher after a pause; returns whether there was one.
    pub fn note_running(&mut self, boot_ms: Millis, now: Monotonic) -> bool {
        let has_paused = self.pauses.has_paused(boot_ms);
        if has_paused {
            self.suspend(now);
        }
        has_paused
    }

    /// Records that the store confirmed the ownership, as asked for at `sent`. This ends a
    /// suspension that began before.
    pub fn confirm_ownership(&mut self, sent: Monotonic) {
        if self.suspended_at.is_some_and(|at| sent <= at) {
            return;
        }
        self.suspended_at = None;
        self.ownership_at = sent;
    }

    /// Queue of a job as declared now, or as recorded at acceptance if it is no longer
    /// declared.
    fn queue_of<'a>(&'a self, job: &'a Job) -> &'a Queue {
        let recorded = &job.record.queue;
        self.queues.get(&recorded.name).unwrap_or(recorded)
    }

    /// Marks a job for writing.
    fn mark_dirty(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.version += 1;
        if !job.is_dirty {
            job.is_dirty = true;
            self.dirty.push(id);
        }
    }

    /// Payload of a job, empty if the job is unknown.
    fn payload(&self, id: JobId) -> Arc<str> {
        self.jobs
            .get(&id)
            .map_or_else(|| Arc::from(""), |job| Arc::clone(&job.record.spec.payload))
    }

    /// Record of the pressures between images that were observed last, of up to `max_bytes`.
    pub fn pressure_record(&self, max_bytes: usize) -> PressureRecord {
        self.headroom.record(max_bytes)
    }

    /// Restores pressures that an earlier owner learned.
    pub fn restore_pressures(&mut self, record: &PressureRecord) {
        self.headroom.restore(record);
    }

    /// Takes the number of runs that workers have listed without an assignment since the
    /// last call. Such a run was taken as ended too early, or belongs to another owner.
    pub fn take_unassigned(&mut self) -> u64 {
        std::mem::take(&mut self.unassigned)
    }

    /// Waiting steps of the last assignment, before it.
    pub fn steps_waiting(&self) -> StepCounts {
        self.steps_waiting
    }

    /// Number of usable workers, and of runs.
    pub fn counts(&self, now: Monotonic) -> (usize, usize) {
        let usable = self
            .workers
            .keys()
            .filter(|key| self.is_usable(*key, now))
            .count();
        (usable, self.runs.len())
    }
}
