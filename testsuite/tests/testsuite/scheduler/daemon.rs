//! What the daemon does for a shard: it holds the lock, commits and calls workers.

use std::sync::Arc;

use rand::Rng;
use verbenahitch::domain::Monotonic;
use verbenahitch::port::SyncRequest;
use verbenahitch::scheduler::{Batch, CommitError, Input};

use super::world::{Event, LATENCY_MS, OUTAGE_MS, PERMIT_MS, SHARD_LEASE_MS, World, ZONE};

impl World {
    pub(super) fn sync(&mut self, owner: usize, life: u32, worker: String, request: &SyncRequest) {
        if self.cuts.contains(&(owner, worker.clone())) {
            return;
        }
        let host = self.workers.get_mut(&worker).expect("a known worker");
        let answer = host.sync(request, self.now, &mut self.history);
        let seq = request.seq;
        let input = match answer {
            Ok(reply) => Input::Synced {
                worker,
                seq,
                sent: Monotonic(self.now.saturating_sub(LATENCY_MS)),
                reply,
            },
            Err(error) => Input::SyncFailed { worker, seq, error },
        };
        for at in self.arrivals() {
            self.push(at, Event::Input(owner, life, Box::new(input.clone())));
        }
    }

    /// What the daemon does to a commit: an answer that was lost is read back.
    pub(super) fn commit(&mut self, owner: usize, life: u32, epoch: u64, batch: &Batch) {
        let reached = !self.store.down && !self.owners[owner].cut;
        let mut result = Err(CommitError::Unavailable);
        if reached {
            result = self
                .store
                .commit(owner, epoch, batch, self.now, &mut self.history);
        }
        if result.is_ok() && self.rng.random_bool(self.weather.unanswered) {
            result = Err(CommitError::Unavailable);
        }
        let input = Input::Committed {
            batch: batch.number,
            result,
        };
        self.push(
            self.now + LATENCY_MS,
            Event::Input(owner, life, Box::new(input)),
        );
    }

    pub(super) fn renew(&mut self, owner: usize) {
        let reached = !self.store.down && !self.owners[owner].cut;
        if !reached {
            return self.go_on_without_store(owner);
        }
        self.feed(owner, Input::Declared(Arc::clone(&self.declared)));
        if self.declared.is_in(ZONE) {
            self.feed(owner, Input::Permit(Monotonic(self.now + PERMIT_MS)));
        }
        match self.owners[owner].epoch {
            None => self.try_acquire(owner),
            Some(epoch) => {
                if self.store.renew(owner, epoch, self.now, SHARD_LEASE_MS) {
                    self.owners[owner].renewed = self.now;
                    let until = Monotonic(self.now + SHARD_LEASE_MS);
                    self.feed(owner, Input::Authority(until));
                } else {
                    self.owners[owner].epoch = None;
                    self.feed(owner, Input::Lost);
                }
            }
        }
    }

    /// Peers say whether the store is down for everybody.
    pub(super) fn go_on_without_store(&mut self, owner: usize) {
        if self.owners[owner].epoch.is_none() {
            return;
        }
        let until = Monotonic(self.owners[owner].renewed + OUTAGE_MS);
        self.feed(owner, Input::Authority(until));
        if self.store.down && self.declared.is_in(ZONE) {
            self.feed(owner, Input::Permit(Monotonic(self.now + PERMIT_MS)));
        }
    }

    pub(super) fn try_acquire(&mut self, owner: usize) {
        let Some((epoch, released)) = self.store.acquire(owner, self.now, SHARD_LEASE_MS) else {
            return;
        };
        self.owners[owner].epoch = Some(epoch);
        self.owners[owner].renewed = self.now;
        let jobs = self.store.jobs.values().cloned().collect();
        let until = Monotonic(self.now + SHARD_LEASE_MS);
        self.feed(owner, Input::Authority(until));
        let input = Input::Acquired {
            epoch,
            jobs,
            released,
        };
        self.feed(owner, input);
    }

    pub(super) fn finish_release(&mut self, owner: usize) {
        let leaving = &self.owners[owner];
        if !leaving.leaving || !leaving.shard.is_released() || self.store.down || leaving.cut {
            return;
        }
        self.owners[owner].leaving = false;
        let settled = self.owners[owner].shard.is_settled();
        if let Some(epoch) = self.owners[owner].epoch.take() {
            self.store.release(owner, epoch, settled);
            self.feed(owner, Input::Lost);
        }
    }
}
