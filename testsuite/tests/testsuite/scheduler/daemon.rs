//! Simulated daemon of a shard: holds the lock, commits and calls workers.

use std::sync::Arc;

use rand::Rng;
use verbenahitch::domain::Monotonic;
use verbenahitch::port::SyncRequest;
use verbenahitch::scheduler::{Batch, CommitError, Input};

use super::world::{Event, MAX_LATENCY_MS, OUTAGE_MS, PERMIT_MS, SHARD_LEASE_MS, World, ZONE};

impl World {
    pub(super) fn sync(
        &mut self,
        owner: usize,
        incarnation: u32,
        machine: String,
        request: &SyncRequest,
    ) {
        if self.partitions.contains(&(owner, machine.clone())) {
            return;
        }
        let host = self.workers.get_mut(&machine).expect("a known worker");
        let answer = host.sync(request, self.now, &mut self.history);
        let worker = host.host.name.clone();
        if answer.is_ok() && self.mute.contains(&machine) {
            return;
        }
        let seq = request.seq;
        let input = match answer {
            Ok(reply) => Input::Synced { worker, seq, reply },
            Err(error) => Input::SyncFailed { worker, seq, error },
        };
        for at in self.arrival_times() {
            self.push(
                at,
                Event::Input(owner, incarnation, Box::new(input.clone())),
            );
        }
    }

    /// Commits a batch. The answer may be lost after the effect; the store recognizes the repeat
    /// by the batch's number.
    pub(super) fn commit(&mut self, owner: usize, incarnation: u32, epoch: u64, batch: &Batch) {
        let reachable = !self.store.down && !self.owners[owner].store_unreachable;
        let mut result = Err(CommitError::Unavailable);
        if reachable {
            result = self
                .store
                .commit(owner, epoch, batch, self.now, &mut self.history);
        }
        if result.is_ok() && self.rng.random_bool(self.message_faults.unanswered) {
            result = Err(CommitError::Unavailable);
        }
        let input = Input::Committed {
            batch: batch.number,
            result,
        };
        self.push(
            self.now + MAX_LATENCY_MS,
            Event::Input(owner, incarnation, Box::new(input)),
        );
    }

    pub(super) fn renew(&mut self, owner: usize) {
        let reachable = !self.store.down && !self.owners[owner].store_unreachable;
        if !reachable {
            return self.continue_without_store(owner);
        }
        self.feed(owner, Input::Declared(Arc::clone(&self.declared)));
        if self.declared.is_in_service(ZONE) {
            self.feed(owner, Input::Permit(Monotonic(self.now + PERMIT_MS)));
        }
        match self.owners[owner].epoch {
            None => self.try_acquire(owner),
            Some(epoch) => {
                if self.store.renew(owner, epoch, self.now, SHARD_LEASE_MS) {
                    self.owners[owner].renewed_at = self.now;
                    let until = Monotonic(self.now + SHARD_LEASE_MS);
                    self.feed(owner, Input::Authority(until));
                } else {
                    self.owners[owner].epoch = None;
                    self.feed(owner, Input::Lost);
                }
            }
        }
    }

    /// Extends the permit only if the store is down for all processes, which peers report.
    pub(super) fn continue_without_store(&mut self, owner: usize) {
        if self.owners[owner].epoch.is_none() {
            return;
        }
        let until = Monotonic(self.owners[owner].renewed_at + OUTAGE_MS);
        self.feed(owner, Input::Authority(until));
        if self.store.down && self.declared.is_in_service(ZONE) {
            self.feed(owner, Input::Permit(Monotonic(self.now + PERMIT_MS)));
        }
    }

    pub(super) fn try_acquire(&mut self, owner: usize) {
        let Some((epoch, released)) = self.store.acquire(owner, self.now, SHARD_LEASE_MS) else {
            return;
        };
        self.owners[owner].epoch = Some(epoch);
        self.owners[owner].renewed_at = self.now;
        let jobs = self.store.jobs.values().cloned().collect();
        let workers = Some(self.store.workers.clone());
        let until = Monotonic(self.now + SHARD_LEASE_MS);
        self.feed(owner, Input::Authority(until));
        let input = Input::Acquired {
            epoch,
            jobs,
            workers,
            released,
        };
        self.feed(owner, input);
    }

    pub(super) fn finish_release(&mut self, owner: usize) {
        let process = &self.owners[owner];
        if !process.is_releasing
            || !process.shard.is_released()
            || self.store.down
            || process.store_unreachable
        {
            return;
        }
        self.owners[owner].is_releasing = false;
        let recovered = self.owners[owner].shard.is_recovered();
        if let Some(epoch) = self.owners[owner].epoch.take() {
            self.store.release(owner, epoch, recovered);
            self.feed(owner, Input::Lost);
        }
    }
}
