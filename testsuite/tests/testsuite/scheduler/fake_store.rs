//! In-memory fake of the part of the platform's store that a shard's owner uses.

use std::collections::{BTreeMap, BTreeSet};

use verbenahitch::domain::{JobId, JobRecord, Millis, ShardId, TaskId};
use verbenahitch::scheduler::{Batch, CommitError, Write};

use super::history::{History, ObservedEvent};

/// Maximum number of operations in a batch, besides those for the lock and the batch's number.
const MAX_OPS: usize = 62;

fn operations(write: &Write) -> usize {
    match write {
        Write::Put(_) | Write::Workers(_) => 1,
        Write::Move { .. } => 3,
        Write::Remove(_) => 2,
    }
}

#[derive(Default)]
pub struct FakeStore {
    pub down: bool,
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub moved: BTreeMap<JobId, (ShardId, JobRecord)>,
    pub workers: BTreeSet<String>,
    /// Number of batches that were applied, without repeats.
    pub batches: usize,
    holder: Option<usize>,
    epoch: u64,
    lease_end: Millis,
    released: bool,
    last_batch: (u64, u64),
}

impl FakeStore {
    /// Locks the shard if it is free; returns the epoch and whether the last holder released the
    /// lock after it had recovered.
    pub fn acquire(&mut self, owner: usize, now: Millis, lease_ms: Millis) -> Option<(u64, bool)> {
        let free = self.holder.is_none() || now >= self.lease_end;
        if self.down || !free {
            return None;
        }
        let released = self.released;
        self.holder = Some(owner);
        self.epoch += 1;
        self.lease_end = now + lease_ms;
        self.released = false;
        Some((self.epoch, released))
    }

    /// Renews the lock; returns false if the caller no longer holds it.
    pub fn renew(&mut self, owner: usize, epoch: u64, now: Millis, lease_ms: Millis) -> bool {
        if !self.is_held(owner, epoch) || now >= self.lease_end {
            return false;
        }
        self.lease_end = now + lease_ms;
        true
    }

    /// Releases the lock.
    pub fn release(&mut self, owner: usize, epoch: u64, recovered: bool) {
        if self.is_held(owner, epoch) {
            self.holder = None;
            self.released = recovered;
        }
    }

    /// Ends an outage and extends the current lease of the lock.
    pub fn recover(&mut self, now: Millis, lease_ms: Millis) {
        self.down = false;
        self.lease_end = self.lease_end.max(now + lease_ms);
    }

    pub fn commit(
        &mut self,
        owner: usize,
        epoch: u64,
        batch: &Batch,
        now: Millis,
        history: &mut History,
    ) -> Result<(), CommitError> {
        if self.last_batch == (epoch, batch.number) {
            return Ok(());
        }
        if !self.is_held(owner, epoch) {
            return Err(CommitError::NotOwner);
        }
        let ops: usize = batch.writes.iter().map(operations).sum();
        assert!(ops <= MAX_OPS, "{ops} operations in one transaction");
        self.last_batch = (epoch, batch.number);
        self.batches += 1;
        for write in &batch.writes {
            self.apply(write, now, history);
        }
        Ok(())
    }

    fn is_held(&self, owner: usize, epoch: u64) -> bool {
        self.holder == Some(owner) && self.epoch == epoch
    }

    fn apply(&mut self, write: &Write, now: Millis, history: &mut History) {
        match write {
            Write::Put(record) => {
                let previous = self.jobs.insert(record.id.clone(), record.clone());
                for (index, checkpoint) in &record.checkpoints {
                    let event = ObservedEvent::CheckpointStored {
                        task: TaskId {
                            job: record.id.clone(),
                            index: *index,
                        },
                        progress_ms: checkpoint.progress_ms,
                    };
                    history.record(now, event);
                }
                for index in 0..record.spec.tasks {
                    let old = previous.as_ref().and_then(|old| old.ended.get(index));
                    let new = record.ended.get(index);
                    if let Some(outcome) = new.filter(|_| old.is_none()) {
                        let job = record.id.clone();
                        let task = TaskId { job, index };
                        history.record(now, ObservedEvent::OutcomeStored { task, outcome });
                    }
                }
            }
            Write::Move { record, to } => {
                self.jobs.remove(&record.id);
                history.record(now, ObservedEvent::Moved(record.id.clone()));
                let entry = (to.clone(), record.clone());
                self.moved.insert(record.id.clone(), entry);
            }
            Write::Remove(id) => {
                self.jobs.remove(id);
            }
            Write::Workers(addresses) => self.workers = addresses.clone(),
        }
    }
}
