//! A job as its shard's owner sees it.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::collections::{HashMap, HashSet};
use crate::domain::{
    JobRecord, Millis, Monotonic, Profile, ShardId, TaskId, TaskOutcome, WorkerKey,
};
use crate::scheduler::JobStatus;

/// Place of a job in its lane: the lowest first.
pub(super) type Order = (Millis, u64);

const EVICTION_WINDOW_MS: Millis = 3_600_000;

/// State of a task that is neither untouched nor ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Marked in a commit that is not yet durable.
    Marking,
    /// Marked durably and not running.
    Ready,
    /// Given to a worker.
    Running(u64),
    /// A run has ended and the task will start again; the commit is not yet durable.
    Requeueing(u64),
    /// Waits for the time of its next attempt; not marked.
    Delayed,
    /// Marked by an earlier owner, not yet reported by any worker.
    Unclear,
}

/// What is remembered of a task's attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Failed runs.
    pub failures: u32,
    /// Worker that failed it last.
    pub avoid: Option<WorkerKey>,
    evictions: Vec<Monotonic>,
}

impl Attempts {
    /// Evictions within the hour before `now`.
    pub fn recent_evictions(&self, now: Monotonic) -> usize {
        let recent = |at: &&Monotonic| now.since(**at) < EVICTION_WINDOW_MS;
        self.evictions.iter().filter(recent).count()
    }

    /// Notes an eviction.
    pub fn note_eviction(&mut self, now: Monotonic) {
        self.evictions
            .retain(|at| now.since(*at) < EVICTION_WINDOW_MS);
        self.evictions.push(now);
    }
}

/// What follows once a commit of the job is durable.
#[derive(Debug, Default)]
pub(super) struct Effects {
    /// Tasks that may be started.
    pub marks: Vec<u32>,
    /// Runs that their workers may forget.
    pub acks: Vec<(WorkerKey, u64)>,
    /// Tasks to start again from a time on.
    pub requeues: Vec<(u32, Monotonic)>,
    /// Requests answered by the acceptance of the job.
    pub accepts: Vec<u64>,
    /// Requests answered by the state of the job.
    pub answers: Vec<u64>,
}

/// Whether the store holds a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not yet.
    New,
    /// Yes.
    Stored,
    /// Yes, and it is being handed over.
    Moving(ShardId),
    /// Yes, and it is being removed.
    Removing,
}

/// A job with all that its owner knows of it.
#[derive(Debug)]
pub(super) struct Job {
    /// Record, with changes that are not yet durable.
    pub record: JobRecord,
    /// Whether the store holds it.
    pub stage: Stage,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile, unless it was never declared.
    pub profile: Option<Arc<Profile>>,
    /// Place in its lane.
    pub order: Order,
    /// When this owner learned of it.
    pub since: Monotonic,
    /// States of the tasks that are neither untouched nor ended.
    pub phases: HashMap<u32, Phase>,
    /// Unmarked tasks that ran before and may be marked again.
    pub again: BTreeSet<u32>,
    /// Tasks in [`Phase::Ready`].
    pub ready: BTreeSet<u32>,
    /// Attempts of tasks that failed or were evicted.
    pub attempts: HashMap<u32, Attempts>,
    /// Number of tasks in [`Phase::Running`].
    pub running: u32,
    /// Evictions so far.
    pub evictions: u32,
    /// Workers that failed one of its tasks.
    pub failed_on: HashSet<WorkerKey>,
    /// Whether one of its tasks ran to its end.
    pub succeeded: bool,
    /// Whether the record has changes that no batch holds.
    pub dirty: bool,
    /// What follows from the next commit.
    pub pending: Effects,
    /// What follows from the commit under way.
    pub inflight: Option<Effects>,
    /// Whether its end was logged.
    pub closed: bool,
    untouched: u32,
}

impl Job {
    /// Creates a job that waits, whole, for its turn.
    pub fn new(record: JobRecord, stage: Stage, seq: u64, now: Monotonic) -> Self {
        Self {
            name: Arc::from(record.spec.profile.as_str()),
            order: (record.accepted_ms, seq),
            record,
            stage,
            profile: None,
            since: now,
            phases: HashMap::default(),
            again: BTreeSet::new(),
            ready: BTreeSet::new(),
            attempts: HashMap::default(),
            running: 0,
            evictions: 0,
            failed_on: HashSet::default(),
            succeeded: false,
            dirty: false,
            pending: Effects::default(),
            inflight: None,
            closed: false,
            untouched: 0,
        }
    }

    /// Takes over a profile; more worth and an earlier deadline come first.
    pub fn set_profile(&mut self, profile: Arc<Profile>) {
        let slack = profile.deadline_ms.saturating_sub(self.record.spec.run_ms);
        let weighted = slack.saturating_mul(100) / (100 + u64::from(profile.worth));
        self.order.0 = self.record.accepted_ms.saturating_add(weighted);
        self.profile = Some(profile);
    }

    /// Identity of a task.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.record.id.clone(),
            index,
        }
    }

    /// Next task that could be marked.
    pub fn next_unmarked(&mut self) -> Option<u32> {
        if let Some(index) = self.again.first() {
            return Some(*index);
        }
        while self.untouched < self.record.spec.tasks {
            if self.is_untouched(self.untouched) {
                return Some(self.untouched);
            }
            self.untouched += 1;
        }
        None
    }

    /// Whether a task has neither ended nor ever been marked.
    pub fn is_untouched(&self, index: u32) -> bool {
        !self.phases.contains_key(&index)
            && !self.record.marked.contains(index)
            && !self.record.checkpoints.contains_key(&index)
            && self.record.ended.get(index).is_none()
    }

    /// Notes the outcome of a task that is in no phase.
    pub fn end(&mut self, index: u32, outcome: TaskOutcome) {
        self.again.remove(&index);
        self.attempts.remove(&index);
        self.record.marked.remove(index);
        self.record.checkpoints.remove(&index);
        self.record.ended.insert(index, outcome);
    }

    /// Whether none of its tasks may be running anywhere and nothing waits for a commit.
    pub fn is_idle(&self) -> bool {
        let idle = |phase: &Phase| matches!(phase, Phase::Ready | Phase::Delayed);
        !self.dirty && self.inflight.is_none() && self.phases.values().all(idle)
    }

    /// Whether an end of any task may take effect without harm if it happens twice.
    pub fn is_idempotent(&self) -> bool {
        self.profile
            .as_ref()
            .is_some_and(|profile| profile.idempotent)
    }

    /// How the job stands.
    pub fn status(&self, shard: &str) -> JobStatus {
        let ended = &self.record.ended;
        JobStatus {
            id: self.record.id.clone(),
            shard: shard.to_owned(),
            tasks: self.record.spec.tasks,
            running: self.running,
            done: ended.count(TaskOutcome::Done),
            failed: ended.count(TaskOutcome::Failed),
            cancelled: ended.count(TaskOutcome::Cancelled),
            unknown: ended.count(TaskOutcome::Unknown),
            evictions: self.evictions,
        }
    }
}
