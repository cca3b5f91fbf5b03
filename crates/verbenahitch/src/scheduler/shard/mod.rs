//! Decision logic of one shard.
//!
//! [`Shard::step`] processes one [`Input`] and returns the [`Action`]s that follow
//! from it. Each step checks every right to act (ownership, authority, permit)
//! against its own time, so that a process that was paused does not act on rights
//! that have expired during the pause.
//!
//! * `requests`: requests of callers and operators.
//! * `commit`: group commit of job records.
//! * `profile_queue`: queues of jobs, one per profile.
//! * `starts`: marks tasks and assigns them to workers.
//! * `syncs`: calls to workers and their answers.
//! * `run_reports`: runs that workers report.
//! * `ends`: ends of runs and lapsed leases.
//! * `evictions`: evictions and throttling.
//! * `recovery`: takeover of a shard, and the checks before a marked task is started.
//! * `roster`: record of the workers in use.
//! * `zone`: declarations, the list of workers, zones going out of and into service.

mod commit;
mod ends;
mod evictions;
mod job;
mod params;
mod pressures;
mod profile_queue;
mod recovery;
mod requests;
mod roster;
mod run_reports;
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
use pressures::ReportedPressures;
use profile_queue::ProfileQueues;
use roster::Roster;
use worker::Worker;

pub use params::Params;

/// Ownership of the shard by this process.
#[derive(Clone, Copy, Debug)]
struct Ownership {
    epoch: u64,
    since: Monotonic,
    released: bool,
    next_run: u32,
    recovered: bool,
}

/// A run that was assigned to a worker or that the worker reported.
#[derive(Debug)]
struct Run {
    task: TaskKey,
    worker: WorkerKey,
    /// Number of the sync that carried the start; `None` while it waits for one, 0 if this owner
    /// did not start it.
    start_seq: Option<u64>,
    /// Life of the worker that was known when the start was sent.
    life: u64,
    /// Whether the worker has reported it.
    seen: bool,
    /// Whether the placer accounts for its resources.
    accounted: bool,
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
    queues: ProfileQueues,
    runs: HashMap<u64, Run>,
    workers: SecondaryMap<WorkerKey, Worker>,
    by_name: HashMap<String, WorkerKey>,
    timers: BTreeSet<(Monotonic, WorkerKey)>,
    delayed: BTreeSet<(Monotonic, TaskKey)>,
    removals: BTreeSet<(Monotonic, JobKey)>,
    unclear: BTreeSet<TaskKey>,
    /// Runs that are evicted to make room, by the task that waits for the room.
    making_room: HashMap<TaskKey, HashSet<u64>>,
    committer: Committer,
    roster: Roster,
    next_seq: u64,
    next_job: u64,
    /// When the last read of the platform's list of workers began.
    listed: Option<Monotonic>,
    releasing: bool,
    returning_since: Option<Monotonic>,
    /// When the next pass over the queues is due.
    pass_due: Monotonic,
    /// When the next check for non-idempotent tasks to mark is due.
    marks_due: Monotonic,
    moves_due: Monotonic,
    mitigation_due: Monotonic,
    last_pressures: ReportedPressures,
    /// Time of the last step.
    last_step: Monotonic,
    actions: Vec<Action>,
}

impl Shard {
    /// Creates the logic of a shard that this process does not own yet.
    pub fn new(params: Params) -> Self {
        Self {
            name: params.shard.to_string(),
            placer: Placer::new(params.seed),
            committer: Committer::new(params.seed),
            roster: Roster::default(),
            params,
            declared: Arc::default(),
            owned: None,
            authority: Monotonic::default(),
            permit: Monotonic::default(),
            permitted: false,
            jobs: SlotMap::default(),
            by_id: HashMap::default(),
            queues: ProfileQueues::default(),
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
            listed: None,
            releasing: false,
            returning_since: None,
            pass_due: Monotonic::default(),
            marks_due: Monotonic::default(),
            moves_due: Monotonic::default(),
            mitigation_due: Monotonic::default(),
            last_pressures: ReportedPressures::default(),
            last_step: Monotonic::default(),
            actions: Vec::new(),
        }
    }

    /// Processes one input and returns the actions that follow from it.
    pub fn step(&mut self, input: Input, now: Monotonic) -> Vec<Action> {
        self.last_step = now;
        match input {
            Input::Tick => {}
            Input::Declared(declared) => self.on_declared(declared, now),
            Input::Hosts { read, hosts } => self.on_hosts(read, hosts, now),
            Input::Acquired {
                epoch,
                jobs,
                workers,
                released,
            } => self.on_acquired(epoch, jobs, workers, released, now),
            Input::Lost => self.on_lost(now),
            Input::Release => self.on_release(),
            Input::Authority(until) => self.authority = until,
            Input::Permit(until) => self.permit = until,
            Input::Requested {
                request,
                body,
                wall_ms,
            } => self.on_requested(request, body, wall_ms, now),
            Input::Synced { worker, seq, reply } => self.on_synced(&worker, seq, reply, now),
            Input::SyncFailed { worker, seq, error } => {
                self.on_sync_failed(&worker, seq, error, now);
            }
            Input::Committed { batch, result } => self.on_committed(batch, result, now),
        }
        if self.owned.is_some() {
            self.advance(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Latest time for the next [`Input::Tick`].
    pub fn next_wake(&self, now: Monotonic) -> Monotonic {
        if self.owned.is_none() {
            return now + self.params.sync_ms;
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        let removal = self.removals.first().map(|(at, _)| *at);
        let pass = self.queues.has_ready().then_some(self.pass_due);
        let moves = (!self.in_service()).then_some(self.moves_due);
        let mitigation = (!self.runs.is_empty()).then_some(self.mitigation_due);
        let commit = self.committer.due(self.params.commit_ms);
        [timer, delayed, removal, pass, moves, mitigation, commit]
            .into_iter()
            .flatten()
            .fold(now + self.params.sync_ms, Ord::min)
            .max(now)
    }

    /// Whether every lease of earlier owners has ended or is known to this owner.
    ///
    /// Only a recovered owner may mark the shard as released in the store, because
    /// the next owner then waits for the leases of this owner only.
    pub fn is_recovered(&self) -> bool {
        self.owned.is_some_and(|owned| owned.recovered)
    }

    /// Whether the shard can be released: all changes are durable and all runs were reported.
    pub fn is_released(&self) -> bool {
        let unanswered = |run: &Run| !run.seen;
        self.releasing && self.committer.is_idle() && !self.runs.values().any(unanswered)
    }

    fn advance(&mut self, now: Monotonic) {
        self.log_permit(now);
        self.wake_delayed(now);
        self.remove_finished(now);
        self.finish_recovery(now);
        self.unmark_ready();
        self.move_jobs(now);
        self.mitigate(now);
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
        self.schedule_pass(now);
    }

    /// Makes the next pass over the queues due at once, because something has changed.
    fn schedule_pass(&mut self, now: Monotonic) {
        self.pass_due = now;
        self.marks_due = now;
    }

    /// Whether tasks may be started at `now`.
    fn may_start(&self, now: Monotonic) -> bool {
        self.owned.is_some()
            && !self.releasing
            && now < self.permit
            && now < self.authority
            && self.in_service()
    }

    fn log(&mut self, entry: Entry) {
        self.actions.push(Action::Log(entry));
    }

    /// Changes the state of a task and updates the sets and counters that depend on it.
    fn set_phase(&mut self, task: TaskKey, phase: Option<Phase>) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let before = match phase {
            Some(phase) => job.phases.insert(task.index, phase),
            None => job.phases.remove(&task.index),
        };
        let queue = self.queues.queue(&job.profile_name);
        match before {
            Some(Phase::Marking) => queue.marked_ahead -= 1,
            Some(Phase::Ready) => {
                queue.marked_ahead -= 1;
                job.ready.remove(&task.index);
            }
            Some(Phase::Running(_)) => job.running -= 1,
            Some(Phase::Unclear) => {
                self.unclear.remove(&task);
            }
            Some(Phase::Requeueing(_) | Phase::Delayed) | None => {}
        }
        match phase {
            Some(Phase::Marking) => queue.marked_ahead += 1,
            Some(Phase::Ready) => {
                queue.marked_ahead += 1;
                job.ready.insert(task.index);
            }
            Some(Phase::Running(_)) => job.running += 1,
            Some(Phase::Unclear) => {
                self.unclear.insert(task);
            }
            Some(Phase::Requeueing(_) | Phase::Delayed) | None => {}
        }
        self.update_queue(task.job);
    }

    /// Updates the entries of a job in its queue.
    fn update_queue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let eligible = job.profile.is_some() && !job.record.cancelled;
        let unmarked = eligible && job.next_unmarked().is_some();
        let ready = eligible && !job.ready.is_empty();
        self.queues
            .set_membership(&job.profile_name, job.order, key, unmarked, ready);
    }

    /// Sets the profile of a job, if declared, with its place in the queue and the queue's urgency.
    fn assign_profile(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(profile) = self.declared.profiles.get(&*job.profile_name) else {
            return;
        };
        if job.profile.as_deref() == Some(profile) {
            return;
        }
        self.queues
            .set_membership(&job.profile_name, job.order, key, false, false);
        self.queues.queue(&job.profile_name).urgent = profile.urgent;
        job.set_profile(Arc::new(profile.clone()));
        self.update_queue(key);
    }
}
