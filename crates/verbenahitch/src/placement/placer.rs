//! State of placement in one shard: committed resources, residents, reservations and quotas.

use std::sync::Arc;

use slotmap::SlotMap;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::{Class, Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};
use crate::interference::{Attribution, Estimator, ProfileId, ProfileTable, Victim};

use super::budget::Budgets;
use super::host::{Host, ResidentEntry};
use super::index::Index;
use super::quota::Quotas;
use super::score::Racks;
use super::size::UsageStats;
use super::{Overcommit, PlacementRequest, Resident, WorkerState};

/// Time beyond the grace period of an eviction until its reservation expires and its
/// tasks no longer count as stopping.
pub(super) const RESERVATION_MARGIN_MS: Millis = 10_000;

/// Time until a changed CPU share shows in a run's reported usage.
pub(super) const USAGE_SETTLE_MS: Millis = 2_000;

/// Room kept for a task while others are evicted for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) worker: WorkerKey,
    pub(super) need: Resources,
    pub(super) until: Monotonic,
}

/// Committed resources of a shard's workers, and the choice of a worker for a task.
///
/// The committed resources of a worker are the sum of its residents' `resources`
/// as passed to [`Self::commit`]; the worker limits each run to its commitment.
/// Neither observed usage nor throttling changes a commitment.
#[derive(Debug, Default)]
pub struct Placer {
    pub(super) hosts: SlotMap<WorkerKey, Host>,
    pub(super) index: Index,
    pub(super) quarantined: Vec<WorkerKey>,
    pub(super) sizes: HashMap<Resources, u32>,
    pub(super) reservations: HashMap<TaskKey, Reservation>,
    pub(super) quotas: Quotas,
    pub(super) eviction_budgets: Budgets,
    pub(super) racks: Racks,
    pub(super) usage_stats: Vec<UsageStats>,
    /// Number of running tasks by profile index.
    pub(super) running: Vec<u32>,
    pub(super) profiles: ProfileTable,
    pub(super) estimator: Estimator,
    pub(super) declared: Arc<Declarations>,
    pub(super) seed: u64,
}

impl Placer {
    /// Creates a placer without workers; `seed` determines the choice among equal workers.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Applies new declarations; `share` is this shard's fraction of the teams' quotas, 0.0 to 1.0.
    pub fn set_declarations(&mut self, declared: Arc<Declarations>, share: f64) {
        for (name, profile) in &declared.profiles {
            self.profiles.refresh(name, profile);
        }
        self.quotas.set_declarations(Arc::clone(&declared), share);
        self.declared = declared;
    }

    /// Adds a worker without tasks.
    pub fn add_worker(&mut self, capacity: Resources, rack: &str, state: WorkerState) -> WorkerKey {
        let rack = self.racks.index(rack);
        let worker = self.hosts.insert(Host::new(capacity, rack, state));
        *self.sizes.entry(capacity).or_default() += 1;
        self.reindex(worker);
        worker
    }

    /// Changes whether a worker accepts tasks.
    pub fn set_state(&mut self, worker: WorkerKey, state: WorkerState) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.set_state(state);
            self.reindex(worker);
        }
    }

    /// Changes the capacity of a worker; tasks that no longer fit stay until they end.
    pub fn resize(&mut self, worker: WorkerKey, capacity: Resources) {
        if let Some(host) = self.hosts.get_mut(worker) {
            let before = std::mem::replace(&mut host.capacity, capacity);
            *self.sizes.entry(capacity).or_default() += 1;
            self.remove_size(before);
            self.reindex(worker);
        }
    }

    /// Removes a worker with its tasks and reservations.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        let Some(host) = self.hosts.get(worker) else {
            return;
        };
        let tasks: Vec<TaskKey> = host
            .residents
            .iter()
            .map(|entry| entry.resident.task)
            .collect();
        for task in tasks {
            self.release(worker, task);
        }
        self.reservations
            .retain(|_, reservation| reservation.worker != worker);
        self.set_state(worker, WorkerState::Closed);
        if let Some(host) = self.hosts.remove(worker) {
            self.remove_size(host.capacity);
        }
    }

    /// Tasks placed on a worker.
    pub fn residents(&self, worker: WorkerKey) -> impl Iterator<Item = &Resident> {
        let host = self.hosts.get(worker).into_iter();
        host.flat_map(|host| host.residents.iter().map(|entry| &entry.resident))
    }

    /// Uncommitted resources of a worker.
    pub fn free(&self, worker: WorkerKey) -> Resources {
        self.hosts.get(worker).map_or(Resources::ZERO, Host::free)
    }

    /// Capacity of a worker.
    pub fn capacity(&self, worker: WorkerKey) -> Resources {
        self.hosts
            .get(worker)
            .map_or(Resources::ZERO, |host| host.capacity)
    }

    /// Commits resources of a worker to a task.
    ///
    /// If the task is already on the worker, its commitment is replaced.
    ///
    /// # Errors
    ///
    /// If the worker has too little room or does not exist; nothing changes then.
    pub fn commit(&mut self, worker: WorkerKey, resident: Resident) -> Result<(), Overcommit> {
        let needed = resident.resources;
        let short = |free| Overcommit { needed, free };
        let host = self.hosts.get(worker).ok_or(short(Resources::ZERO))?;
        let replaced = host.find(resident.task);
        let replaced_size =
            replaced.map_or(Resources::ZERO, |at| host.residents[at].resident.resources);
        let free = host
            .capacity
            .saturating_sub(host.committed.saturating_sub(replaced_size));
        if !needed.fits(free) {
            return Err(short(free));
        }
        if replaced.is_some() {
            self.release(worker, resident.task);
        }
        self.cancel_reservation(resident.task);
        self.add_resident(worker, resident);
        Ok(())
    }

    fn add_resident(&mut self, worker: WorkerKey, resident: Resident) {
        let id = self.profiles.add(&resident.name, &resident.profile);
        if self.usage_stats.len() <= id.index() {
            self.usage_stats
                .resize(id.index() + 1, UsageStats::default());
            self.running.resize(id.index() + 1, 0);
        }
        self.running[id.index()] += 1;
        let settled_at = resident.since + USAGE_SETTLE_MS;
        self.quotas
            .commit(&resident.profile.team, resident.resources);
        let host = &mut self.hosts[worker];
        self.racks.add(resident.task.job, host.rack);
        if resident.profile.class == Class::LatencyCritical {
            victim_entry(host, id).task_count += 1;
        }
        host.add(ResidentEntry {
            resident,
            profile: id,
            share: 1.0,
            settled_at,
            activity: 1.0,
            stopping_until: Monotonic::default(),
        });
        self.reindex(worker);
    }

    /// Releases a task's resources on a worker; returns whether the task was there.
    pub fn release(&mut self, worker: WorkerKey, task: TaskKey) -> bool {
        let Some(host) = self.hosts.get_mut(worker) else {
            return false;
        };
        let Some(at) = host.find(task) else {
            return false;
        };
        let entry = host.remove(at);
        let profile = &entry.resident.profile;
        if profile.class == Class::LatencyCritical {
            let victim = victim_entry(host, entry.profile);
            victim.task_count = victim.task_count.saturating_sub(1);
        }
        self.running[entry.profile.index()] -= 1;
        self.racks.remove(task.job, host.rack);
        self.quotas.release(&profile.team, entry.resident.resources);
        self.reindex(worker);
        true
    }

    /// Sets the CPU share that a worker reports for a task.
    pub fn set_share(&mut self, worker: WorkerKey, task: TaskKey, share: f64) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if let Some(at) = host.find(task) {
            host.residents[at].share = share.clamp(0.01, 1.0);
        }
    }

    /// Records that the tasks `evicted` are being evicted from a worker to make room for `request`.
    ///
    /// The room is reserved for `request`, and the evictions count against the budgets.
    pub fn record_evictions(
        &mut self,
        request: &PlacementRequest,
        worker: WorkerKey,
        evicted: &[TaskKey],
        now: Monotonic,
    ) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let mut longest_grace = 0;
        for entry in &mut host.residents {
            if evicted.contains(&entry.resident.task) {
                let own_grace = entry.resident.profile.eviction.grace_ms;
                entry.stopping_until = now + own_grace + RESERVATION_MARGIN_MS;
                self.eviction_budgets.record(entry.resident.task, now);
                longest_grace = longest_grace.max(own_grace);
            }
        }
        self.cancel_reservation(request.task);
        let reservation = Reservation {
            worker,
            need: request.profile.resources,
            until: now + longest_grace + RESERVATION_MARGIN_MS,
        };
        self.reservations.insert(request.task, reservation);
        self.hosts[worker].reserved += reservation.need;
        self.reindex(worker);
    }

    /// Estimated slowdown of each measured pair of profiles, the largest first.
    pub fn pressures(&self) -> Vec<Attribution> {
        self.estimator.attributions(&self.profiles)
    }

    /// Resources that a task should commit, predicted from the usage of its profile.
    ///
    /// Returns the declared resources until enough usage was observed; accelerators
    /// are always as declared. Commit the result only where the worker enforces it
    /// as a limit on the run.
    pub fn predicted_size(&self, name: &str, profile: &Profile) -> Resources {
        let stats = self
            .profiles
            .id(name)
            .and_then(|id| self.usage_stats.get(id.index()));
        stats.map_or(profile.resources, |stats| stats.predict(profile))
    }

    /// Largest fraction of any resource of its quota that a team has committed in this shard.
    pub(super) fn dominant_share(&self, team: &str) -> f64 {
        self.quotas.dominant_share(team)
    }

    pub(super) fn cancel_reservation(&mut self, task: TaskKey) {
        let Some(reservation) = self.reservations.remove(&task) else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(reservation.worker) {
            host.reserved -= reservation.need;
            self.reindex(reservation.worker);
        }
    }

    fn remove_size(&mut self, size: Resources) {
        if let Some(count) = self.sizes.get_mut(&size) {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(&size);
            }
        }
    }

    /// Updates a worker's position in the index and in the list of quarantined workers.
    fn reindex(&mut self, worker: WorkerKey) {
        let host = &self.hosts[worker];
        let room = host.room();
        let open = host.state == WorkerState::Open;
        match host.position {
            Some(position) if open && Index::is_current(position, room) => {}
            Some(position) => {
                let moved = self.index.remove(position);
                if let Some(moved) = moved {
                    self.hosts[moved].position = Some(position);
                }
                self.hosts[worker].position = open.then(|| self.index.insert(worker, room));
            }
            None if open => self.hosts[worker].position = Some(self.index.insert(worker, room)),
            None => {}
        }
        self.update_quarantined(worker);
    }

    fn update_quarantined(&mut self, worker: WorkerKey) {
        let quarantined = self.hosts[worker].state == WorkerState::Quarantined;
        let at = self.quarantined.iter().position(|key| *key == worker);
        match (quarantined, at) {
            (true, None) => self.quarantined.push(worker),
            (false, Some(at)) => {
                self.quarantined.remove(at);
            }
            _ => {}
        }
    }
}

/// Entry of a latency-critical profile on a worker, added if it is missing.
pub(super) fn victim_entry(host: &mut Host, profile: ProfileId) -> &mut Victim {
    let at = host
        .victims
        .iter()
        .position(|victim| victim.profile == profile);
    let at = at.unwrap_or_else(|| {
        host.victims.push(Victim::new(profile));
        host.victims.len() - 1
    });
    &mut host.victims[at]
}
