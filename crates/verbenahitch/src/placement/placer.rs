//! Committed resources of a shard's workers, and the choice among them.

use std::sync::Arc;

use slotmap::SlotMap;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::{Class, Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};
use crate::interference::{Attribution, Estimator, ProfileId, Roster, Victim};

use super::budget::Budgets;
use super::host::{Held, Host};
use super::index::Index;
use super::quota::Quotas;
use super::score::Racks;
use super::size::Usages;
use super::{Ask, Overcommit, Resident, WorkerState};

pub(super) const CLAIM_MARGIN_MS: Millis = 10_000;

/// Time until a changed share of processors shows in a run's usage.
pub(super) const SETTLE_MS: Millis = 2_000;

/// Room that is being made for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) worker: WorkerKey,
    pub(super) need: Resources,
    pub(super) until: Monotonic,
}

/// Committed resources of a shard's workers, and the choice among them.
///
/// What is committed of a worker is the sum of its residents' `resources`, as
/// the caller gave them to [`Self::occupy`]; the worker holds each run to that.
/// Neither observation nor throttling changes a commitment.
#[derive(Debug, Default)]
pub struct Placer {
    pub(super) hosts: SlotMap<WorkerKey, Host>,
    pub(super) index: Index,
    pub(super) quarantined: Vec<WorkerKey>,
    pub(super) sizes: HashMap<Resources, u32>,
    pub(super) claims: HashMap<TaskKey, Claim>,
    pub(super) quotas: Quotas,
    pub(super) budgets: Budgets,
    pub(super) racks: Racks,
    pub(super) usages: Vec<Usages>,
    /// Tasks of each profile that run.
    pub(super) running: Vec<u32>,
    pub(super) roster: Roster,
    pub(super) estimator: Estimator,
    pub(super) declared: Arc<Declarations>,
    pub(super) seed: u64,
}

impl Placer {
    /// Creates a placer without workers; `seed` fixes its choice among equals.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Takes over newer declarations; `share` is this shard's part of the teams' quotas, 0.0 to 1.0.
    pub fn declare(&mut self, declared: Arc<Declarations>, share: f64) {
        for (name, profile) in &declared.profiles {
            self.roster.refresh(name, profile);
        }
        self.quotas.declare(Arc::clone(&declared), share);
        self.declared = declared;
    }

    /// Adds a worker without tasks.
    pub fn add_worker(&mut self, capacity: Resources, rack: &str, state: WorkerState) -> WorkerKey {
        let rack = self.racks.number(rack);
        let worker = self.hosts.insert(Host::new(capacity, rack, state));
        *self.sizes.entry(capacity).or_default() += 1;
        self.relist(worker);
        worker
    }

    /// Changes whether a worker takes tasks.
    pub fn set_state(&mut self, worker: WorkerKey, state: WorkerState) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.set_state(state);
            self.relist(worker);
        }
    }

    /// Changes the size of a worker; tasks that no longer fit stay until they end.
    pub fn resize(&mut self, worker: WorkerKey, capacity: Resources) {
        if let Some(host) = self.hosts.get_mut(worker) {
            let before = std::mem::replace(&mut host.capacity, capacity);
            *self.sizes.entry(capacity).or_default() += 1;
            self.forget_size(before);
            self.relist(worker);
        }
    }

    /// Removes a worker with all it holds.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        let Some(host) = self.hosts.get(worker) else {
            return;
        };
        let tasks: Vec<TaskKey> = host.held.iter().map(|held| held.resident.task).collect();
        for task in tasks {
            self.vacate(worker, task);
        }
        self.claims.retain(|_, claim| claim.worker != worker);
        self.set_state(worker, WorkerState::Closed);
        if let Some(host) = self.hosts.remove(worker) {
            self.forget_size(host.capacity);
        }
    }

    /// Tasks of a worker.
    pub fn residents(&self, worker: WorkerKey) -> impl Iterator<Item = &Resident> {
        let host = self.hosts.get(worker).into_iter();
        host.flat_map(|host| host.held.iter().map(|held| &held.resident))
    }

    /// What a worker has left.
    pub fn free(&self, worker: WorkerKey) -> Resources {
        self.hosts.get(worker).map_or(Resources::ZERO, Host::free)
    }

    /// Size of a worker.
    pub fn capacity(&self, worker: WorkerKey) -> Resources {
        self.hosts
            .get(worker)
            .map_or(Resources::ZERO, |host| host.capacity)
    }

    /// Commits resources of a worker to a task.
    ///
    /// A task that is on the worker already is replaced.
    ///
    /// # Errors
    ///
    /// When the worker lacks the room or does not exist; nothing changes then.
    pub fn occupy(&mut self, worker: WorkerKey, resident: Resident) -> Result<(), Overcommit> {
        let needed = resident.resources;
        let short = |free| Overcommit { needed, free };
        let host = self.hosts.get(worker).ok_or(short(Resources::ZERO))?;
        let replaced = host.find(resident.task);
        let back = replaced.map_or(Resources::ZERO, |at| host.held[at].resident.resources);
        let free = host
            .capacity
            .saturating_sub(host.committed.saturating_sub(back));
        if !needed.fits(free) {
            return Err(short(free));
        }
        if replaced.is_some() {
            self.vacate(worker, resident.task);
        }
        self.unclaim(resident.task);
        self.admit(worker, resident);
        Ok(())
    }

    fn admit(&mut self, worker: WorkerKey, resident: Resident) {
        let id = self.roster.add(&resident.name, &resident.profile);
        if self.usages.len() <= id.index() {
            self.usages.resize(id.index() + 1, Usages::default());
            self.running.resize(id.index() + 1, 0);
        }
        self.running[id.index()] += 1;
        let settled = resident.since + SETTLE_MS;
        self.quotas.take(&resident.profile.team, resident.resources);
        let host = &mut self.hosts[worker];
        self.racks.add(resident.task.job, host.rack);
        if resident.profile.class == Class::LatencyCritical {
            victim(host, id).residents += 1;
        }
        host.add(Held {
            resident,
            profile: id,
            share: 1.0,
            settled,
            units: 1.0,
            leaving: Monotonic::default(),
        });
        self.relist(worker);
    }

    /// Releases what a task holds on a worker; says whether it held anything.
    pub fn vacate(&mut self, worker: WorkerKey, task: TaskKey) -> bool {
        let Some(host) = self.hosts.get_mut(worker) else {
            return false;
        };
        let Some(at) = host.find(task) else {
            return false;
        };
        let held = host.take(at);
        let profile = &held.resident.profile;
        if profile.class == Class::LatencyCritical {
            let victim = victim(host, held.profile);
            victim.residents = victim.residents.saturating_sub(1);
        }
        self.running[held.profile.index()] -= 1;
        self.racks.remove(task.job, host.rack);
        self.quotas.give(&profile.team, held.resident.resources);
        self.relist(worker);
        true
    }

    /// Takes over the share of processors that a worker reports for a task.
    pub fn set_share(&mut self, worker: WorkerKey, task: TaskKey, share: f64) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if let Some(at) = host.find(task) {
            host.held[at].share = share.clamp(0.01, 1.0);
        }
    }

    /// Notes that `victims` are being evicted from a worker to make room for `ask`.
    ///
    /// The room is kept for `ask`, and the evictions count against the budgets.
    pub fn evict(&mut self, ask: &Ask, worker: WorkerKey, victims: &[TaskKey], now: Monotonic) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let mut grace = 0;
        for held in &mut host.held {
            if victims.contains(&held.resident.task) {
                let own = held.resident.profile.eviction.grace_ms;
                held.leaving = now + own + CLAIM_MARGIN_MS;
                self.budgets.spend(held.resident.task, now);
                grace = grace.max(own);
            }
        }
        self.unclaim(ask.task);
        let claim = Claim {
            worker,
            need: ask.profile.resources,
            until: now + grace + CLAIM_MARGIN_MS,
        };
        self.claims.insert(ask.task, claim);
        self.hosts[worker].claimed += claim.need;
        self.relist(worker);
    }

    /// Whose work pressed on whose so far, the strongest first.
    pub fn pressures(&self) -> Vec<Attribution> {
        self.estimator.attributions(&self.roster)
    }

    /// What a task of the profile should commit, by the usage of its like.
    ///
    /// It is the declared size until enough usage was seen, and declared
    /// accelerators always. Commit it only where the worker holds a run to it.
    pub fn size(&self, name: &str, profile: &Profile) -> Resources {
        let usages = self
            .roster
            .id(name)
            .and_then(|id| self.usages.get(id.index()));
        usages.map_or(profile.resources, |usages| usages.predict(profile))
    }

    /// Largest share of its quota that a team has committed in this shard.
    pub(super) fn dominant_share(&self, team: &str) -> f64 {
        self.quotas.dominant(team)
    }

    pub(super) fn unclaim(&mut self, task: TaskKey) {
        let Some(claim) = self.claims.remove(&task) else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(claim.worker) {
            host.claimed -= claim.need;
            self.relist(claim.worker);
        }
    }

    fn forget_size(&mut self, size: Resources) {
        if let Some(count) = self.sizes.get_mut(&size) {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(&size);
            }
        }
    }

    /// Brings a worker's place in the index up to date.
    fn relist(&mut self, worker: WorkerKey) {
        let host = &self.hosts[worker];
        let room = host.room();
        let open = host.state == WorkerState::Open;
        match host.slot {
            Some(slot) if open && Index::is_current(slot, room) => {}
            Some(slot) => {
                let moved = self.index.remove(slot);
                if let Some(moved) = moved {
                    self.hosts[moved].slot = Some(slot);
                }
                self.hosts[worker].slot = open.then(|| self.index.insert(worker, room));
            }
            None if open => self.hosts[worker].slot = Some(self.index.insert(worker, room)),
            None => {}
        }
        self.relist_quarantine(worker);
    }

    fn relist_quarantine(&mut self, worker: WorkerKey) {
        let wanted = self.hosts[worker].state == WorkerState::Quarantined;
        let at = self.quarantined.iter().position(|key| *key == worker);
        match (wanted, at) {
            (true, None) => self.quarantined.push(worker),
            (false, Some(at)) => {
                self.quarantined.remove(at);
            }
            _ => {}
        }
    }
}

/// The worker's entry of a latency-critical profile, added if it is new.
pub(super) fn victim(host: &mut Host, profile: ProfileId) -> &mut Victim {
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
