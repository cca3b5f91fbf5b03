//! Declarations, the list of workers, zones going out of and into service.

use std::hash::Hasher;
use std::sync::Arc;

use super::Shard;
use super::job::Stage;
use super::worker::Worker;
use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::{JobId, JobKey, Millis, Monotonic, ShardId, WorkerKey};
use crate::event::{Entry, Kind};
use crate::placement::WorkerState;
use crate::port::{HostRecord, HostState};

/// Time between two passes that hand jobs over.
const MOVES_MS: Millis = 100;
/// Largest number of jobs handed over in one pass, so that a step stays short.
const MOVES_PER_PASS: usize = 256;

impl Shard {
    /// Whether the shard's zone is in service.
    pub(super) fn in_service(&self) -> bool {
        self.declared.is_in_service(&self.params.shard.zone)
    }

    pub(super) fn on_declared(&mut self, declared: Arc<Declarations>, now: Monotonic) {
        if declared.revision <= self.declared.revision && self.declared.revision > 0 {
            return;
        }
        let first = self.declared.revision == 0;
        let before = self.in_service();
        self.declared = declared;
        let entry = Entry::new(Kind::Declared)
            .with("shard", &self.name)
            .with("revision", self.declared.revision);
        self.log(entry);
        let share = self.quota_share();
        self.placer
            .set_declarations(Arc::clone(&self.declared), share);
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            self.assign_profile(key);
        }
        if !self.in_service() {
            self.on_zone_out(now);
        } else if !before && !first {
            self.on_zone_in(now);
        }
        self.schedule_pass(now);
    }

    /// This shard's part of the teams' quotas, which all shards in service share equally.
    fn quota_share(&self) -> f64 {
        let shards: u32 = self
            .declared
            .zones
            .iter()
            .filter(|(name, _)| self.declared.is_in_service(name))
            .map(|(_, zone)| zone.shards)
            .sum();
        1.0 / f64::from(shards.max(1))
    }

    fn on_zone_out(&mut self, now: Monotonic) {
        self.moves_due = now;
        let mut runs: Vec<u64> = self.runs.keys().copied().collect();
        runs.sort_unstable();
        for run in runs {
            self.evict_if_leaving(run, now);
        }
    }

    /// Spreads the opening times of the workers evenly over the zone's ramp.
    fn on_zone_in(&mut self, now: Monotonic) {
        self.returning_since = Some(now);
        let mut keys: Vec<WorkerKey> = self.workers.keys().collect();
        keys.sort_by_key(|key| name_rank(&self.workers[*key].host.name));
        let ramp_ms = self.ramp_ms();
        let count = u64::try_from(keys.len()).unwrap_or(u64::MAX).max(1);
        for (at, key) in (0..).zip(keys) {
            self.workers[key].opens_at = now + ramp_ms * at / count;
            self.refresh_worker(key, now);
        }
    }

    fn ramp_ms(&self) -> Millis {
        let zone = self.declared.zones.get(&self.params.shard.zone);
        zone.map_or(0, |zone| zone.ramp_ms)
    }

    /// When a newly listed worker may first be given tasks.
    fn opening_time(&self, name: &str, now: Monotonic) -> Monotonic {
        const PARTS: u64 = 1 << 10;
        let ramp_ms = self.ramp_ms();
        match self
            .returning_since
            .filter(|since| now.since(*since) < ramp_ms)
        {
            Some(since) => since + ramp_ms * (name_rank(name) % PARTS) / PARTS,
            None => now,
        }
    }

    pub(super) fn on_hosts(&mut self, read: Monotonic, hosts: Vec<HostRecord>, now: Monotonic) {
        self.listed = Some(read);
        let mut unlisted: HashMap<String, WorkerKey> = self.by_name.clone();
        for host in hosts {
            unlisted.remove(&host.name);
            match self.by_name.get(&host.name).copied() {
                Some(key) => self.update_host(key, host, now),
                None => self.add_host(host, now),
            }
        }
        for key in unlisted.into_values() {
            let worker = &mut self.workers[key];
            worker.listed = false;
            worker.successor = None;
            self.refresh_worker(key, now);
        }
    }

    fn add_host(&mut self, host: HostRecord, now: Monotonic) {
        let key = self
            .placer
            .add_worker(host.capacity, &host.rack, WorkerState::Closed);
        self.by_name.insert(host.name.clone(), key);
        let opens_at = self.opening_time(&host.name, now);
        self.workers
            .insert(key, Worker::new(key, host, opens_at, now));
        self.timers.insert((now, key));
        self.record_worker(key, now);
    }

    fn update_host(&mut self, key: WorkerKey, host: HostRecord, now: Monotonic) {
        let worker = &mut self.workers[key];
        if worker.host == host && worker.listed {
            return;
        }
        if self.owned.is_some() && worker.host.control != host.control {
            // What the other machine reports says nothing about the runs of this one.
            worker.listed = false;
            worker.successor = Some(host);
            return self.refresh_worker(key, now);
        }
        worker.listed = true;
        worker.successor = None;
        if worker.host.capacity != host.capacity {
            self.placer.resize(key, host.capacity);
        }
        let leaves = worker.host.state != host.state && host.state == HostState::Leaving;
        worker.host = host;
        self.refresh_worker(key, now);
        if leaves {
            let mut runs: Vec<u64> = self.workers[key].runs.iter().copied().collect();
            runs.sort_unstable();
            for run in runs {
                self.evict_if_leaving(run, now);
            }
        }
    }

    /// Updates the state of a worker in the placer.
    pub(super) fn refresh_worker(&mut self, key: WorkerKey, now: Monotonic) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let state = worker.state(now);
        if std::mem::replace(&mut worker.placer_state, state) == state {
            return;
        }
        self.placer.set_state(key, state);
        if state != WorkerState::Closed {
            self.schedule_pass(now);
        }
    }

    /// Removes a worker that is no longer listed and has no runs, and adds the machine that has
    /// taken its name; returns whether it was removed.
    pub(super) fn drop_unlisted(&mut self, key: WorkerKey, now: Monotonic) -> bool {
        let worker = &self.workers[key];
        let recovered = self.is_recovered();
        let holds = !worker.runs.is_empty() || !worker.uncommitted_ends.is_empty();
        if worker.listed || holds || !recovered {
            return false;
        }
        self.timers.remove(&(worker.due, key));
        self.by_name.remove(&worker.host.name);
        let removed = self.workers.remove(key);
        self.placer.remove_worker(key);
        self.committer.queue_roster();
        if let Some(host) = removed.and_then(|worker| worker.successor) {
            self.add_host(host, now);
        }
        true
    }

    /// Hands over jobs of which nothing can be running here, while the zone is out of service.
    pub(super) fn move_jobs(&mut self, now: Monotonic) {
        if now < self.moves_due || self.in_service() || !self.is_recovered() {
            return;
        }
        self.moves_due = now + MOVES_MS;
        let targets = self.targets();
        if targets.is_empty() {
            return;
        }
        let idle: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.stage == Stage::Stored && !job.record.is_finished())
            .filter(|(_, job)| job.is_idle())
            .map(|(key, _)| key)
            .take(MOVES_PER_PASS)
            .collect();
        for key in idle {
            self.move_job(key, &targets);
        }
    }

    fn move_job(&mut self, key: JobKey, targets: &[ShardId]) {
        let tasks: Vec<u32> = self.jobs[key].phases.keys().copied().collect();
        for index in tasks {
            self.unmark(crate::domain::TaskKey { job: key, index });
        }
        let job = &mut self.jobs[key];
        for checkpoint in job.record.checkpoints.values_mut() {
            // Run numbers are comparable within one shard only.
            checkpoint.run = 0;
        }
        let target = targets
            .iter()
            .max_by_key(|shard| rendezvous_weight(&job.record.id, shard));
        if let Some(target) = target {
            job.stage = Stage::Moving(target.clone());
            self.queues
                .set_membership(&job.profile_name, job.order, key, false, false);
            self.queue_write(key, false);
        }
    }

    /// Shards of the zones in service.
    fn targets(&self) -> Vec<ShardId> {
        let zones = self.declared.zones.iter();
        zones
            .filter(|(name, _)| self.declared.is_in_service(name))
            .flat_map(|(name, zone)| {
                (0..zone.shards).map(|index| ShardId {
                    zone: name.clone(),
                    index,
                })
            })
            .collect()
    }
}

/// Pseudo-random rank of a worker, the same in every process.
fn name_rank(name: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish() >> 16
}

/// Rendezvous hashing weight of a shard for a job, the same in every process; the highest wins.
fn rendezvous_weight(id: &JobId, shard: &ShardId) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(id.as_str().as_bytes());
    hasher.write(shard.zone.as_bytes());
    hasher.write_u32(shard.index);
    hasher.finish()
}
