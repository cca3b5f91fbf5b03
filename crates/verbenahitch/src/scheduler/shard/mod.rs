//! Decision logic of one shard.
//!
//! [`Shard::step`] takes one [`Input`] and returns the [`Action`]s that follow
//! from it. Every right to act (ownership, authority, permit) is checked against
//! the time of the step that decides, so that a process that was paused does not
//! act on what held before the pause.
//!
//! * `requests`: what callers and operators ask.
//! * `commit`: group commit of jobs' records.
//! * `starts`: marks tasks and gives them to workers.
//! * `syncs`: messages to workers and their answers.
//! * `found`: runs that workers report.
//! * `ends`: what follows from the end of a run, or from a lapsed lease.
//! * `evictions`: evictions and throttling.
//! * `recovery`: what a new owner learns before it starts a marked task.
//! * `zone`: declarations, the list of workers, zones taken out and returning.

mod commit;
mod ends;
mod evictions;
mod found;
mod job;
mod lane;
mod params;
mod pressures;
mod recovery;
mod requests;
mod starts;
mod status;
mod syncs;
mod worker;
mod zone;

use std::collections::BTreeSet;
use std::sync::Arc;

use slotmap::{SecondaryMap, SlotMap};

use super::{Action, Input};
use crate::collections::{HashMap, HashSet};
use crate::config::Declarations;
use crate::domain::{JobId, JobKey, Millis, Monotonic, TaskKey, WorkerKey};
use crate::event::{Entry, Kind};
use crate::placement::Placer;
use commit::Committer;
use job::{Job, Phase};
use lane::Lanes;
use pressures::Reported;
use worker::Worker;

pub use params::Params;

/// Ownership of the shard by this process.
#[derive(Clone, Copy, Debug)]
struct Ownership {
    epoch: u64,
    since: Monotonic,
    released: bool,
    next_run: u32,
    settled: bool,
}

/// A run that was given to a worker or found on it.
#[derive(Debug)]
struct Run {
    task: TaskKey,
    worker: WorkerKey,
    /// Sync that carried the start; `None` while it waits for one.
    sent: Option<u64>,
    /// Whether the worker reported it.
    seen: bool,
    /// Whether the placer knows what it holds.
    held: bool,
    evicting: bool,
    checkpoint_ms: Millis,
    reason: String,
}

/// Decision logic of one shard.
#[derive(Debug)]
pub struct Shard {
    params: Params,
    name: String,
    declared: Arc<Declarations>,
    placer: Placer,
    owned: Option<Ownership>,
    authority: Monotonic,
    permit: Monotonic,
    permitted: bool,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<JobId, JobKey>,
    lanes: Lanes,
    runs: HashMap<u64, Run>,
    workers: SecondaryMap<WorkerKey, Worker>,
    by_name: HashMap<String, WorkerKey>,
    timers: BTreeSet<(Monotonic, WorkerKey)>,
    delayed: BTreeSet<(Monotonic, TaskKey)>,
    removals: BTreeSet<(Monotonic, JobKey)>,
    unclear: BTreeSet<TaskKey>,
    /// Runs evicted to make room, by the task that waits for it.
    making_room: HashMap<TaskKey, HashSet<u64>>,
    committer: Committer,
    next_seq: u64,
    next_job: u64,
    listed: bool,
    releasing: bool,
    returning: Option<Monotonic>,
    /// When a pass over the lanes is due even if nothing has changed.
    pass_due: Monotonic,
    /// When it is due to look for tasks to mark that are not idempotent.
    marks_due: Monotonic,
    moves_due: Monotonic,
    relief_due: Monotonic,
    reported: Reported,
    /// Time of the newest step.
    stepped: Monotonic,
    out: Vec<Action>,
}

impl Shard {
    /// Creates the logic of a shard that this process does not own yet.
    pub fn new(params: Params) -> Self {
        Self {
            name: params.shard.to_string(),
            placer: Placer::new(params.seed),
            committer: Committer::new(params.seed),
            params,
            declared: Arc::default(),
            owned: None,
            authority: Monotonic::default(),
            permit: Monotonic::default(),
            permitted: false,
            jobs: SlotMap::default(),
            by_id: HashMap::default(),
            lanes: Lanes::default(),
            runs: HashMap::default(),
            workers: SecondaryMap::default(),
            by_name: HashMap::default(),
            timers: BTreeSet::new(),
            delayed: BTreeSet::new(),
            removals: BTreeSet::new(),
            unclear: BTreeSet::new(),
            making_room: HashMap::default(),
            next_seq: 0,
            next_job: 0,
            listed: false,
            releasing: false,
            returning: None,
            pass_due: Monotonic::default(),
            marks_due: Monotonic::default(),
            moves_due: Monotonic::default(),
            relief_due: Monotonic::default(),
            reported: Reported::default(),
            stepped: Monotonic::default(),
            out: Vec::new(),
        }
    }

    /// Takes one input and says what to do.
    pub fn step(&mut self, input: Input, now: Monotonic) -> Vec<Action> {
        self.stepped = now;
        match input {
            Input::Tick => {}
            Input::Declared(declared) => self.on_declared(declared, now),
            Input::Hosts(hosts) => self.on_hosts(hosts, now),
            Input::Acquired {
                epoch,
                jobs,
                released,
            } => self.on_acquired(epoch, jobs, released, now),
            Input::Lost => self.on_lost(now),
            Input::Release => self.on_release(),
            Input::Authority(until) => self.authority = until,
            Input::Permit(until) => self.permit = until,
            Input::Asked {
                request,
                body,
                wall_ms,
            } => self.on_asked(request, body, wall_ms, now),
            Input::Synced {
                worker,
                seq,
                sent,
                reply,
            } => self.on_synced(&worker, seq, sent, reply, now),
            Input::SyncFailed { worker, seq, error } => {
                self.on_sync_failed(&worker, seq, error, now);
            }
            Input::Committed { batch, result } => self.on_committed(batch, result, now),
        }
        if self.owned.is_some() {
            self.advance(now);
        }
        std::mem::take(&mut self.out)
    }

    /// When a [`Input::Tick`] is wanted at the latest.
    pub fn next_wake(&self, now: Monotonic) -> Monotonic {
        if self.owned.is_none() {
            return now + self.params.sync_ms;
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        let removal = self.removals.first().map(|(at, _)| *at);
        let pass = self.lanes.has_ready().then_some(self.pass_due);
        let moves = (!self.in_service()).then_some(self.moves_due);
        let relief = (!self.runs.is_empty()).then_some(self.relief_due);
        let commit = self.committer.due(self.params.commit_ms);
        [timer, delayed, removal, pass, moves, relief, commit]
            .into_iter()
            .flatten()
            .fold(now + self.params.sync_ms, Ord::min)
            .max(now)
    }

    /// Whether every lease of earlier owners has ended or is known to this one.
    ///
    /// Only an owner that is settled may say that it released the shard, for the
    /// next owner then counts on this one's leases alone.
    pub fn is_settled(&self) -> bool {
        self.owned.is_some_and(|owned| owned.settled)
    }

    /// Whether all that [`Input::Release`] asks for is durable.
    pub fn is_released(&self) -> bool {
        let unanswered = |run: &Run| !run.seen;
        self.releasing && self.committer.is_quiet() && !self.runs.values().any(unanswered)
    }

    fn advance(&mut self, now: Monotonic) {
        self.log_permit(now);
        self.wake_delayed(now);
        self.remove_finished(now);
        self.settle(now);
        self.unmark_ready();
        self.move_jobs(now);
        self.relieve(now);
        self.report_pressures(now);
        self.start_ready(now);
        self.mark_ahead(now);
        self.begin_commit(now);
        self.flush_syncs(now);
    }

    fn log_permit(&mut self, now: Monotonic) {
        let permitted = now < self.permit;
        if permitted == self.permitted {
            return;
        }
        self.permitted = permitted;
        let kind = if permitted {
            Kind::PermitRenewed
        } else {
            Kind::PermitLapsed
        };
        self.log(Entry::new(kind).with("shard", &self.name));
        self.stir(now);
    }

    /// Has the lanes looked at again: something has changed.
    fn stir(&mut self, now: Monotonic) {
        self.pass_due = now;
        self.marks_due = now;
    }

    /// Whether a task may be started at this instant.
    fn may_start(&self, now: Monotonic) -> bool {
        self.owned.is_some()
            && !self.releasing
            && now < self.permit
            && now < self.authority
            && self.in_service()
    }

    fn log(&mut self, entry: Entry) {
        self.out.push(Action::Log(entry));
    }

    /// Changes the state of a task and all that is counted by state.
    fn set_phase(&mut self, task: TaskKey, phase: Option<Phase>) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let before = match phase {
            Some(phase) => job.phases.insert(task.index, phase),
            None => job.phases.remove(&task.index),
        };
        let lane = self.lanes.lane(&job.name);
        match before {
            Some(Phase::Marking) => lane.ahead -= 1,
            Some(Phase::Ready) => {
                lane.ahead -= 1;
                job.ready.remove(&task.index);
            }
            Some(Phase::Running(_)) => job.running -= 1,
            Some(Phase::Unclear) => {
                self.unclear.remove(&task);
            }
            Some(Phase::Requeueing(_) | Phase::Delayed) | None => {}
        }
        match phase {
            Some(Phase::Marking) => lane.ahead += 1,
            Some(Phase::Ready) => {
                lane.ahead += 1;
                job.ready.insert(task.index);
            }
            Some(Phase::Running(_)) => job.running += 1,
            Some(Phase::Unclear) => {
                self.unclear.insert(task);
            }
            Some(Phase::Requeueing(_) | Phase::Delayed) | None => {}
        }
        self.file(task.job);
    }

    /// Files a job in its lane by what it has waiting.
    fn file(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let takes = job.profile.is_some() && !job.record.cancelled;
        let unmarked = takes && job.next_unmarked().is_some();
        let ready = takes && !job.ready.is_empty();
        self.lanes.file(&job.name, job.order, key, unmarked, ready);
    }

    /// Gives a job its profile, which decides its lane's urgency and its place there.
    fn profile_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(profile) = self.declared.profiles.get(&*job.name) else {
            return;
        };
        if job.profile.as_deref() == Some(profile) {
            return;
        }
        self.lanes.file(&job.name, job.order, key, false, false);
        self.lanes.lane(&job.name).urgent = profile.urgent;
        job.set_profile(Arc::new(profile.clone()));
        self.file(key);
    }
}
