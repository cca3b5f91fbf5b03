//! The part of the platform's store that a shard's owner uses, in memory.

use std::collections::BTreeMap;

use verbenahitch::domain::{JobId, JobRecord, Millis, ShardId, TaskId};
use verbenahitch::scheduler::{Batch, CommitError, Write};

use super::history::{History, Seen};

/// Operations that the store takes besides those for the lock and the batch's number.
const MAX_OPS: usize = 62;

fn operations(write: &Write) -> usize {
    match write {
        Write::Put(_) => 1,
        Write::Move { .. } => 3,
        Write::Remove(_) => 2,
    }
}

#[derive(Default)]
pub struct FakeStore {
    pub down: bool,
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub moved: BTreeMap<JobId, (ShardId, JobRecord)>,
    /// Batches that took effect, with repeats left out.
    pub batches: usize,
    holder: Option<usize>,
    epoch: u64,
    expires: Millis,
    released: bool,
    newest: (u64, u64),
}

impl FakeStore {
    /// Locks the shard if it is free; answers the epoch and whether the last holder released it.
    pub fn acquire(&mut self, owner: usize, now: Millis, lease_ms: Millis) -> Option<(u64, bool)> {
        let free = self.holder.is_none() || now >= self.expires;
        if self.down || !free {
            return None;
        }
        let released = self.released;
        self.holder = Some(owner);
        self.epoch += 1;
        self.expires = now + lease_ms;
        self.released = false;
        Some((self.epoch, released))
    }

    /// Renews the lock; false if it is no longer the caller's.
    pub fn renew(&mut self, owner: usize, epoch: u64, now: Millis, lease_ms: Millis) -> bool {
        if !self.is_held(owner, epoch) || now >= self.expires {
            return false;
        }
        self.expires = now + lease_ms;
        true
    }

    /// Gives the lock up.
    pub fn release(&mut self, owner: usize, epoch: u64, settled: bool) {
        if self.is_held(owner, epoch) {
            self.holder = None;
            self.released = settled;
        }
    }

    /// Answers again after an outage; leases start anew.
    pub fn recover(&mut self, now: Millis, lease_ms: Millis) {
        self.down = false;
        self.expires = self.expires.max(now + lease_ms);
    }

    pub fn commit(
        &mut self,
        owner: usize,
        epoch: u64,
        batch: &Batch,
        now: Millis,
        history: &mut History,
    ) -> Result<(), CommitError> {
        if self.newest == (epoch, batch.number) {
            return Ok(());
        }
        if !self.is_held(owner, epoch) {
            return Err(CommitError::NotOwner);
        }
        let ops: usize = batch.writes.iter().map(operations).sum();
        assert!(ops <= MAX_OPS, "{ops} operations in one transaction");
        self.newest = (epoch, batch.number);
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
                let before = self.jobs.insert(record.id.clone(), record.clone());
                for (index, checkpoint) in &record.checkpoints {
                    let seen = Seen::Kept {
                        task: TaskId {
                            job: record.id.clone(),
                            index: *index,
                        },
                        progress_ms: checkpoint.progress_ms,
                    };
                    history.note(now, seen);
                }
                for index in 0..record.spec.tasks {
                    let old = before.as_ref().and_then(|old| old.ended.get(index));
                    let new = record.ended.get(index);
                    if let Some(outcome) = new.filter(|_| old.is_none()) {
                        let job = record.id.clone();
                        let task = TaskId { job, index };
                        history.note(now, Seen::Stored { task, outcome });
                    }
                }
            }
            Write::Move { record, to } => {
                self.jobs.remove(&record.id);
                history.note(now, Seen::Moved(record.id.clone()));
                let entry = (to.clone(), record.clone());
                self.moved.insert(record.id.clone(), entry);
            }
            Write::Remove(id) => {
                self.jobs.remove(id);
            }
        }
    }
}
