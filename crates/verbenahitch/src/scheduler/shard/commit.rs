//! Group commit: at most one batch in flight, several jobs per batch, all changes
//! of a job in one write.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Shard;
use super::job::{Effects, Phase, Stage};
use super::requests::unavailable;
use crate::domain::{JobKey, JobRecord, Millis, Monotonic, TaskKey, WorkerKey};
use crate::event::{Entry, Kind};
use crate::scheduler::{Action, Answer, Batch, CommitError, Write};

/// The store allows 64 operations in a transaction; two check the lock and update the batch key.
const MAX_BATCH_OPS: usize = 62;
/// The store limits a transaction to 512 KiB.
const MAX_BATCH_BYTES: usize = 360 << 10;
const MIN_BACKOFF_MS: Millis = 100;
const MAX_BACKOFF_MS: Millis = 5_000;

/// State of the group commit.
#[derive(Debug)]
pub(super) struct Committer {
    urgent: VecDeque<JobKey>,
    other: VecDeque<JobKey>,
    /// Whether the workers in use may have changed.
    roster: bool,
    inflight: Option<(Batch, Vec<JobKey>)>,
    next_batch: u64,
    last_sent: Option<Monotonic>,
    retry_at: Option<Monotonic>,
    backoff_ms: Millis,
    rng: ChaCha8Rng,
}

impl Committer {
    /// Creates an idle group commit.
    pub fn new(seed: u64) -> Self {
        Self {
            urgent: VecDeque::new(),
            other: VecDeque::new(),
            roster: false,
            inflight: None,
            next_batch: 0,
            last_sent: None,
            retry_at: None,
            backoff_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Drops all pending writes; batch numbers continue to increase.
    pub fn reset(&mut self) {
        self.urgent.clear();
        self.other.clear();
        self.roster = false;
        self.inflight = None;
        self.retry_at = None;
        self.backoff_ms = 0;
    }

    /// When the next commit or retry is due, if any.
    pub fn due(&self, interval_ms: Millis) -> Option<Monotonic> {
        if self.inflight.is_some() {
            return self.retry_at;
        }
        let waits = self.roster || !self.urgent.is_empty() || !self.other.is_empty();
        waits.then(|| {
            self.last_sent
                .map_or(Monotonic::default(), |sent| sent + interval_ms)
        })
    }

    /// Whether no write is queued and no batch is in flight.
    pub fn is_idle(&self) -> bool {
        self.inflight.is_none() && !self.roster && self.urgent.is_empty() && self.other.is_empty()
    }

    /// Writes the workers in use with the next batch if they have changed.
    pub fn queue_roster(&mut self) {
        self.roster = true;
    }

    /// Whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.backoff_ms > 0
    }

    fn back_off(&mut self, now: Monotonic) {
        self.backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        let jitter = self.rng.random_range(0..=self.backoff_ms / 4);
        self.retry_at = Some(now + self.backoff_ms + jitter);
    }
}

impl Shard {
    /// Queues a job's changed record for the next batch; urgent changes go first.
    pub(super) fn queue_write(&mut self, key: JobKey, urgent: bool) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if urgent {
            self.committer.urgent.push_back(key);
        } else if !job.dirty {
            self.committer.other.push_back(key);
        }
        job.dirty = true;
    }

    pub(super) fn begin_commit(&mut self, now: Monotonic) {
        if let Some((batch, _)) = &self.committer.inflight {
            if self.committer.retry_at.is_some_and(|at| now >= at) {
                self.committer.retry_at = None;
                self.actions.push(Action::Commit(batch.clone()));
            }
            return;
        }
        let due = self.committer.due(self.params.commit_ms);
        if due.is_none_or(|due| now < due) {
            return;
        }
        let (keys, writes) = self.collect_writes();
        if writes.is_empty() {
            return;
        }
        self.committer.next_batch += 1;
        let number = self.committer.next_batch;
        let batch = Batch { number, writes };
        self.committer.last_sent = Some(now);
        self.committer.inflight = Some((batch.clone(), keys));
        self.actions.push(Action::Commit(batch));
    }

    fn collect_writes(&mut self) -> (Vec<JobKey>, Vec<Write>) {
        let (mut keys, mut writes) = (Vec::new(), Vec::new());
        let (mut ops, mut bytes) = (0, 0);
        if std::mem::take(&mut self.committer.roster)
            && let Some(addresses) = self.next_roster()
        {
            ops += 1;
            bytes += addresses
                .iter()
                .map(|address| address.len() + 3)
                .sum::<usize>();
            self.begin_roster(addresses.clone());
            writes.push(Write::Workers(addresses));
        }
        while ops + MAX_WRITE_OPS <= MAX_BATCH_OPS && bytes < MAX_BATCH_BYTES {
            let next = self.committer.urgent.pop_front();
            let Some(key) = next.or_else(|| self.committer.other.pop_front()) else {
                break;
            };
            let Some(job) = self.jobs.get_mut(key).filter(|job| job.dirty) else {
                continue;
            };
            job.dirty = false;
            job.inflight = Some(std::mem::take(&mut job.pending));
            ops += op_count(&job.stage);
            bytes += estimated_bytes(&job.record);
            keys.push(key);
            writes.push(match &job.stage {
                Stage::New | Stage::Stored => Write::Put(job.record.clone()),
                Stage::Moving(to) => Write::Move {
                    record: job.record.clone(),
                    to: to.clone(),
                },
                Stage::Removing => Write::Remove(job.record.id.clone()),
            });
        }
        (keys, writes)
    }

    pub(super) fn on_committed(
        &mut self,
        number: u64,
        result: Result<(), CommitError>,
        now: Monotonic,
    ) {
        let current = |(batch, _): &mut (Batch, Vec<JobKey>)| batch.number == number;
        match result {
            Ok(()) => {
                let Some((_, keys)) = self.committer.inflight.take_if(current) else {
                    return;
                };
                if self.committer.is_failing() {
                    self.log(Entry::new(Kind::StoreUp).with("shard", &self.name));
                }
                self.committer.retry_at = None;
                self.committer.backoff_ms = 0;
                self.on_roster_durable(now);
                for key in keys {
                    self.on_durable(key, now);
                }
            }
            Err(CommitError::Unavailable) => {
                if self.committer.inflight.as_mut().is_some_and(current) {
                    if !self.committer.is_failing() {
                        self.log(Entry::new(Kind::StoreDown).with("shard", &self.name));
                    }
                    self.committer.back_off(now);
                }
            }
            Err(CommitError::NotOwner) => {
                if self.committer.inflight.as_mut().is_some_and(current) {
                    self.on_superseded("the store says that another process owns the shard", now);
                }
            }
        }
    }

    fn on_durable(&mut self, key: JobKey, now: Monotonic) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let effects = job.inflight.take().unwrap_or_default();
        match job.stage.clone() {
            Stage::Removing => return self.forget_job(key, effects),
            Stage::Moving(to) => {
                let entry = Entry::new(Kind::JobMoved)
                    .with("job", &job.record.id)
                    .with_text("to", &to);
                self.log(entry);
                return self.forget_job(key, effects);
            }
            Stage::New => {
                job.stage = Stage::Stored;
                let entry = Entry::new(Kind::JobAccepted)
                    .with("job", &job.record.id)
                    .with("profile", &*job.profile_name)
                    .with("tasks", job.record.spec.tasks);
                self.log(entry);
            }
            Stage::Stored => {}
        }
        self.apply_effects(key, effects, now);
        self.close_finished(key, now);
    }

    fn apply_effects(&mut self, key: JobKey, effects: Effects, now: Monotonic) {
        for index in effects.marks {
            let task = TaskKey { job: key, index };
            if self.phase(task) == Some(Phase::Marking) {
                self.set_phase(task, Some(Phase::Ready));
                self.schedule_pass(now);
            }
        }
        self.acknowledge(effects.acks);
        for (index, from) in effects.requeues {
            self.requeue(TaskKey { job: key, index }, from, now);
        }
        let Some(status) = self.jobs.get(key).map(|job| job.status(&self.name)) else {
            return;
        };
        let accepted = effects
            .accepts
            .into_iter()
            .map(|request| (request, Answer::Accepted(status.clone())));
        let answered = effects
            .answers
            .into_iter()
            .map(|request| (request, Answer::Job(status.clone())));
        for (request, body) in accepted.chain(answered) {
            self.actions.push(Action::Answer { request, body });
        }
    }

    fn acknowledge(&mut self, acks: Vec<(WorkerKey, u64)>) {
        for (worker, run) in acks {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.uncommitted_ends.remove(&run);
                worker.acks.push(run);
            }
        }
    }

    fn close_finished(&mut self, key: JobKey, now: Monotonic) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.closed || job.dirty || !job.record.is_finished() {
            return;
        }
        job.closed = true;
        let status = job.status(&self.name);
        self.removals.insert((now + self.params.retention_ms, key));
        let entry = Entry::new(Kind::JobFinished)
            .with("job", &status.id)
            .with("done", status.done)
            .with("failed", status.failed)
            .with("cancelled", status.cancelled)
            .with("unknown", status.unknown);
        self.log(entry);
    }

    pub(super) fn remove_finished(&mut self, now: Monotonic) {
        while let Some((at, key)) = self.removals.first().copied().filter(|(at, _)| *at <= now) {
            self.removals.remove(&(at, key));
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.dirty || job.inflight.is_some() {
                self.removals.insert((now + self.params.sync_ms, key));
                continue;
            }
            job.stage = Stage::Removing;
            self.queue_write(key, false);
        }
    }

    /// Removes a job that the store no longer holds for this shard.
    fn forget_job(&mut self, key: JobKey, effects: Effects) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.queues
            .set_membership(&job.profile_name, job.order, key, false, false);
        self.queues.queue(&job.profile_name).marked_ahead -= job.ready.len();
        self.by_id.remove(&job.record.id);
        for remaining in [effects, job.pending] {
            self.acknowledge(remaining.acks);
            for request in remaining.accepts.into_iter().chain(remaining.answers) {
                self.refuse(request, unavailable("the job has left the shard"));
            }
        }
    }

    pub(super) fn phase(&self, task: TaskKey) -> Option<Phase> {
        self.jobs.get(task.job)?.phases.get(&task.index).copied()
    }
}

/// Largest number of operations of one write.
const MAX_WRITE_OPS: usize = 3;

/// Number of operations that a write needs in the store's transaction.
fn op_count(stage: &Stage) -> usize {
    match stage {
        Stage::Stored => 1,
        // The record, and the inbox entry if the job was handed over.
        Stage::New => 2,
        // The record and the name key.
        Stage::Removing => 2,
        // The record, the name key and the other shard's inbox entry.
        Stage::Moving(_) => MAX_WRITE_OPS,
    }
}

fn estimated_bytes(record: &JobRecord) -> usize {
    const FIXED_BYTES: usize = 512;
    const CHECKPOINT_BYTES: usize = 48;
    let tasks = usize::try_from(record.spec.tasks).unwrap_or(usize::MAX);
    // Each task takes one bit, in base64, in at most two of the task sets.
    FIXED_BYTES
        + record.spec.payload.len()
        + tasks / 2
        + record.checkpoints.len() * CHECKPOINT_BYTES
}
