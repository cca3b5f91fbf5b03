//! A job as its shard's owner sees it.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::collections::{HashMap, HashSet};
use crate::domain::{
    JobRecord, Millis, Monotonic, Profile, ShardId, TaskId, TaskOutcome, WorkerKey,
};
use crate::scheduler::JobStatus;

/// Place of a job in its queue, the lowest first.
pub(super) type Order = (Millis, u64);

const EVICTION_WINDOW_MS: Millis = 3_600_000;

/// State of a task that is neither [untouched](Job::is_untouched) nor ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Marked in a commit that is not yet durable.
    Marking,
    /// Marked durably and not running.
    Ready,
    /// Assigned to a worker, with the number of the run.
    Running(u64),
    /// The run with this number has ended and the task will be started again; the commit is not
    /// yet durable.
    Requeueing(u64),
    /// Not marked; waits for the time of its next attempt.
    Delayed,
    /// Marked by an earlier owner and not yet reported by any worker.
    Unclear,
}

/// History of a task's attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Failed runs.
    pub failures: u32,
    /// Worker on which it last failed.
    pub avoid: Option<WorkerKey>,
    evictions: Vec<Monotonic>,
}

impl Attempts {
    /// Evictions within the hour before `now`.
    pub fn recent_evictions(&self, now: Monotonic) -> usize {
        let recent = |at: &&Monotonic| now.since(**at) < EVICTION_WINDOW_MS;
        self.evictions.iter().filter(recent).count()
    }

    /// Records an eviction.
    pub fn record_eviction(&mut self, now: Monotonic) {
        self.evictions
            .retain(|at| now.since(*at) < EVICTION_WINDOW_MS);
        self.evictions.push(now);
    }
}

/// Effects to apply once a commit of the job is durable.
#[derive(Debug, Default)]
pub(super) struct Effects {
    /// Tasks that may be started.
    pub marks: Vec<u32>,
    /// Ended runs to acknowledge to their workers.
    pub acks: Vec<(WorkerKey, u64)>,
    /// Tasks to start again, each with the earliest time.
    pub requeues: Vec<(u32, Monotonic)>,
    /// Requests to answer with the acceptance of the job.
    pub accepts: Vec<u64>,
    /// Requests to answer with the state of the job.
    pub answers: Vec<u64>,
}

/// Storage state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not yet in the store.
    New,
    /// In the store.
    Stored,
    /// In the store; being handed over to the given shard.
    Moving(ShardId),
    /// In the store; being removed.
    Removing,
}

/// A job and the state that its owner keeps about it.
#[derive(Debug)]
pub(super) struct Job {
    /// Record, with changes that are not yet durable.
    pub record: JobRecord,
    /// Storage state.
    pub stage: Stage,
    /// Name of its profile.
    pub profile_name: Arc<str>,
    /// Its profile; `None` if it was never declared.
    pub profile: Option<Arc<Profile>>,
    /// Place in its queue.
    pub order: Order,
    /// When this owner first saw it.
    pub since: Monotonic,
    /// States of the tasks that are neither untouched nor ended, by index.
    pub phases: HashMap<u32, Phase>,
    /// Unmarked tasks that were marked before and may be marked again.
    pub requeued: BTreeSet<u32>,
    /// Tasks in [`Phase::Ready`].
    pub ready: BTreeSet<u32>,
    /// Attempts of tasks that failed or were evicted.
    pub attempts: HashMap<u32, Attempts>,
    /// Number of tasks in [`Phase::Running`].
    pub running: u32,
    /// Evictions so far.
    pub evictions: u32,
    /// Workers on which one of its tasks failed.
    pub failed_on: HashSet<WorkerKey>,
    /// Whether one of its tasks has completed.
    pub succeeded: bool,
    /// Whether the record has changes that are in no batch yet.
    pub dirty: bool,
    /// Effects of the next commit.
    pub pending: Effects,
    /// Effects of the commit in flight.
    pub inflight: Option<Effects>,
    /// Whether its end was logged and its removal scheduled.
    pub closed: bool,
    /// Lower bound of the first untouched task.
    first_untouched: u32,
}

impl Job {
    /// Creates a job whose tasks are all waiting.
    pub fn new(record: JobRecord, stage: Stage, seq: u64, now: Monotonic) -> Self {
        Self {
            profile_name: Arc::from(record.spec.profile.as_str()),
            order: (record.accepted_ms, seq),
            record,
            stage,
            profile: None,
            since: now,
            phases: HashMap::default(),
            requeued: BTreeSet::new(),
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
            first_untouched: 0,
        }
    }

    /// Sets the profile and derives the place in the queue: a higher worth and an earlier deadline
    /// come first.
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
        if let Some(index) = self.requeued.first() {
            return Some(*index);
        }
        while self.first_untouched < self.record.spec.tasks {
            if self.is_untouched(self.first_untouched) {
                return Some(self.first_untouched);
            }
            self.first_untouched += 1;
        }
        None
    }

    /// Whether a task is not marked, has no trace of an earlier run and has not ended.
    pub fn is_untouched(&self, index: u32) -> bool {
        !self.phases.contains_key(&index)
            && !self.record.marked.contains(index)
            && !self.record.checkpoints.contains_key(&index)
            && self.record.ended.get(index).is_none()
    }

    /// Records the outcome of a task that is in no phase.
    pub fn end(&mut self, index: u32, outcome: TaskOutcome) {
        self.requeued.remove(&index);
        self.attempts.remove(&index);
        self.record.marked.remove(index);
        self.record.checkpoints.remove(&index);
        self.record.ended.insert(index, outcome);
    }

    /// Whether no task can be running on any worker and no commit is pending.
    pub fn is_idle(&self) -> bool {
        let idle = |phase: &Phase| matches!(phase, Phase::Ready | Phase::Delayed);
        !self.dirty && self.inflight.is_none() && self.phases.values().all(idle)
    }

    /// Whether its tasks may run more than once without harm; false while its profile is not known.
    pub fn is_idempotent(&self) -> bool {
        self.profile
            .as_ref()
            .is_some_and(|profile| profile.idempotent)
    }

    /// State of the job.
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
