//! Chooses a worker for a task by best fit.

use std::sync::Arc;

use slotmap::SlotMap;
use snafu::Snafu;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::{Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};
use crate::interference::{Attribution, Relief};
use crate::port::Usage;

/// Whether a worker may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes tasks.
    Open,
    /// Leaving or not yet heard: keeps its tasks, takes none.
    Closed,
    /// Takes one probe task at a time.
    Quarantined,
}

/// A task that looks for a worker.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Task.
    pub task: TaskKey,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// Worker that should not get it again, if another can.
    pub avoid: Option<WorkerKey>,
    /// Time that the task has waited, in milliseconds.
    pub waited_ms: Millis,
}

/// A task that occupies a worker.
#[derive(Clone, Debug)]
pub struct Resident {
    /// Task.
    pub task: TaskKey,
    /// Number of its run.
    pub run: u64,
    /// Name of its profile.
    pub name: Arc<str>,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// What it commits.
    pub resources: Resources,
    /// When it started.
    pub since: Monotonic,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Give the task to a worker.
    Place {
        /// Chosen worker.
        worker: WorkerKey,
        /// Second best worker, if any.
        runner_up: Option<WorkerKey>,
        /// Why it was chosen.
        reason: Reason,
    },
    /// Evict tasks of a worker to make room, then choose again.
    Evict {
        /// Worker.
        worker: WorkerKey,
        /// Its tasks to evict, the least worth first.
        victims: Vec<TaskKey>,
    },
    /// Wait.
    Wait(Reason),
    /// No worker could ever run it, in words.
    Never(String),
}

/// Why a choice was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Leaves the least room unused.
    BestFit,
    /// Presses least on its neighbours.
    LeastPressure,
    /// Probe of a quarantined worker.
    Probe,
    /// No worker has room.
    NoRoom,
    /// The team has used its quota.
    Quota,
    /// Every worker with room would slow its neighbours too much.
    TooMuchPressure,
}

/// A worker was asked to hold more than its size.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{needed:?} does not fit into the {free:?} that are free"))]
pub struct Overcommit {
    /// What the task needs.
    pub needed: Resources,
    /// What is free.
    pub free: Resources,
}

#[derive(Debug)]
struct Host {
    capacity: Resources,
    free: Resources,
    state: WorkerState,
    residents: HashMap<TaskKey, Resident>,
}

/// Committed resources of a shard's workers, and the choice among them.
#[derive(Debug, Default)]
pub struct Placer {
    hosts: SlotMap<WorkerKey, Host>,
    declared: Arc<Declarations>,
}

impl Placer {
    /// Creates a placer without workers; `seed` fixes its choice among equals.
    pub fn new(_seed: u64) -> Self {
        Self::default()
    }

    /// Takes over newer declarations; `share` is this shard's part of the teams' quotas, 0.0 to 1.0.
    pub fn declare(&mut self, declared: Arc<Declarations>, _share: f64) {
        self.declared = declared;
    }

    /// Adds a worker without tasks.
    pub fn add_worker(
        &mut self,
        capacity: Resources,
        _rack: &str,
        state: WorkerState,
    ) -> WorkerKey {
        self.hosts.insert(Host {
            capacity,
            free: capacity,
            state,
            residents: HashMap::default(),
        })
    }

    /// Changes whether a worker takes tasks.
    pub fn set_state(&mut self, worker: WorkerKey, state: WorkerState) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.state = state;
        }
    }

    /// Changes the size of a worker; tasks that no longer fit stay until they end.
    pub fn resize(&mut self, worker: WorkerKey, capacity: Resources) {
        if let Some(host) = self.hosts.get_mut(worker) {
            let used = host.residents.values().map(|resident| resident.resources);
            let used = used.fold(Resources::ZERO, |sum, next| sum + next);
            host.capacity = capacity;
            host.free = capacity.saturating_sub(used);
        }
    }

    /// Removes a worker with all it holds.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.hosts.remove(worker);
    }

    /// Tasks of a worker.
    pub fn residents(&self, worker: WorkerKey) -> impl Iterator<Item = &Resident> {
        self.hosts
            .get(worker)
            .into_iter()
            .flat_map(|host| host.residents.values())
    }

    /// What a worker has left.
    pub fn free(&self, worker: WorkerKey) -> Resources {
        self.hosts
            .get(worker)
            .map_or(Resources::ZERO, |host| host.free)
    }

    /// Size of a worker.
    pub fn capacity(&self, worker: WorkerKey) -> Resources {
        self.hosts
            .get(worker)
            .map_or(Resources::ZERO, |host| host.capacity)
    }

    /// Chooses a worker; changes nothing.
    pub fn choose(&self, ask: &Ask, _now: Monotonic) -> Choice {
        let need = ask.profile.resources;
        if !self.hosts.is_empty() && !self.hosts.values().any(|host| need.fits(host.capacity)) {
            return Choice::Never(format!("{need:?} is larger than every worker"));
        }
        let mut fits: Vec<(u64, WorkerKey)> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.state == WorkerState::Open && need.fits(host.free))
            .map(|(key, host)| (host.free.millicores - need.millicores, key))
            .collect();
        fits.sort_unstable();
        match fits.as_slice() {
            [] => Choice::Wait(Reason::NoRoom),
            [(_, worker), rest @ ..] => Choice::Place {
                worker: *worker,
                runner_up: rest.first().map(|(_, key)| *key),
                reason: Reason::BestFit,
            },
        }
    }

    /// Commits resources of a worker to a task.
    ///
    /// # Errors
    ///
    /// When the worker lacks the room or does not exist; nothing is committed then.
    pub fn occupy(&mut self, worker: WorkerKey, resident: Resident) -> Result<(), Overcommit> {
        let needed = resident.resources;
        let short = |free| Overcommit { needed, free };
        let host = self.hosts.get_mut(worker).ok_or(short(Resources::ZERO))?;
        host.free = host.free.checked_sub(needed).ok_or(short(host.free))?;
        host.residents.insert(resident.task, resident);
        Ok(())
    }

    /// Releases what a task holds on a worker; says whether it held anything.
    pub fn vacate(&mut self, worker: WorkerKey, task: TaskKey) -> bool {
        let Some(host) = self.hosts.get_mut(worker) else {
            return false;
        };
        let Some(resident) = host.residents.remove(&task) else {
            return false;
        };
        host.free += resident.resources;
        true
    }

    /// Learns from a worker's lagging usage.
    pub fn observe(&mut self, _worker: WorkerKey, _usage: &Usage, _now: Monotonic) {}

    /// What to do now against interference: throttle, restore or evict.
    pub fn relieve(&mut self, _now: Monotonic) -> Vec<Relief> {
        Vec::new()
    }

    /// Whose work pressed on whose so far, the strongest first.
    pub fn pressures(&self) -> Vec<Attribution> {
        Vec::new()
    }
}
