//! Placement state of one worker.

use crate::domain::{Class, Millis, Monotonic, Resources, TaskKey};
use crate::interference::{Controller, ProfileId, Victim};

use super::index::Position;
use super::{Resident, WorkerState};

const MIN_PROBE_INTERVAL_MS: Millis = 10_000;
const MAX_PROBE_INTERVAL_MS: Millis = 600_000;
const MAX_DEPARTED: usize = 16;

/// A resident with its share, activity and pending stop.
#[derive(Clone, Debug)]
pub(super) struct ResidentEntry {
    pub(super) resident: Resident,
    pub(super) profile: ProfileId,
    /// CPU share, from 0.0 to 1.0.
    pub(super) share: f64,
    /// Time from which measurements reflect this share.
    pub(super) settled_at: Monotonic,
    /// Current activity relative to a typical task of its profile.
    pub(super) activity: f64,
    /// Time until which the resident counts as stopping.
    pub(super) stopping_until: Monotonic,
}

/// Committed resources and residents of one worker.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) capacity: Resources,
    pub(super) committed: Resources,
    /// Room reserved for tasks while others are evicted for them.
    pub(super) reserved: Resources,
    /// Resources of the residents that may be evicted.
    pub(super) evictable: Resources,
    pub(super) state: WorkerState,
    pub(super) rack: usize,
    pub(super) position: Option<Position>,
    pub(super) residents: Vec<ResidentEntry>,
    /// Activity of each batch profile relative to one typical task.
    pub(super) sources: Vec<(ProfileId, f64)>,
    /// Latency-critical profiles served on this worker.
    pub(super) victims: Vec<Victim>,
    pub(super) controller: Controller,
    departed: Vec<(u64, ProfileId)>,
    probe: Option<TaskKey>,
    probe_after: Monotonic,
    probe_interval: Millis,
}

impl Host {
    pub(super) fn new(capacity: Resources, rack: usize, state: WorkerState) -> Self {
        Self {
            capacity,
            committed: Resources::ZERO,
            reserved: Resources::ZERO,
            evictable: Resources::ZERO,
            state,
            rack,
            position: None,
            residents: Vec::new(),
            sources: Vec::new(),
            victims: Vec::new(),
            controller: Controller::default(),
            departed: Vec::new(),
            probe: None,
            probe_after: Monotonic::default(),
            probe_interval: MIN_PROBE_INTERVAL_MS,
        }
    }

    /// Resources that are not committed.
    pub(super) fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.committed)
    }

    /// Resources that are neither committed nor reserved.
    pub(super) fn room(&self) -> Resources {
        self.free().saturating_sub(self.reserved)
    }

    /// Position of a task among the residents.
    pub(super) fn find(&self, task: TaskKey) -> Option<usize> {
        self.residents
            .iter()
            .position(|entry| entry.resident.task == task)
    }

    /// Profile of a current or recently departed run.
    pub(super) fn profile_of(&self, run: u64) -> Option<ProfileId> {
        let here = self
            .residents
            .iter()
            .find(|entry| entry.resident.run == run);
        here.map(|entry| entry.profile).or_else(|| {
            let left = self.departed.iter().find(|(departed, _)| *departed == run);
            left.map(|(_, profile)| *profile)
        })
    }

    /// Adds a resident; on a quarantined worker it becomes the probe.
    pub(super) fn add(&mut self, entry: ResidentEntry) {
        self.committed += entry.resident.resources;
        if self.state == WorkerState::Quarantined {
            self.probe = Some(entry.resident.task);
            self.probe_after = entry.resident.since + self.probe_interval;
            self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL_MS);
        }
        self.residents.push(entry);
        self.recompute_sums();
    }

    /// Removes the resident at a position.
    pub(super) fn remove(&mut self, at: usize) -> ResidentEntry {
        let entry = self.residents.swap_remove(at);
        self.committed -= entry.resident.resources;
        if self.probe == Some(entry.resident.task) {
            self.probe = None;
        }
        if self.departed.len() == MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((entry.resident.run, entry.profile));
        self.recompute_sums();
        entry
    }

    /// Changes the state; leaving quarantine resets the probe interval.
    pub(super) fn set_state(&mut self, state: WorkerState) {
        if state != WorkerState::Quarantined {
            self.probe = None;
            self.probe_interval = MIN_PROBE_INTERVAL_MS;
            self.probe_after = Monotonic::default();
        }
        self.state = state;
    }

    /// Whether a probe may start.
    pub(super) fn may_probe(&self, now: Monotonic) -> bool {
        self.state == WorkerState::Quarantined && self.probe.is_none() && now >= self.probe_after
    }

    /// Recomputes the sums over the residents.
    pub(super) fn recompute_sums(&mut self) {
        self.sources.clear();
        self.evictable = Resources::ZERO;
        for entry in &self.residents {
            let profile = &entry.resident.profile;
            if profile.class == Class::LatencyCritical {
                continue;
            }
            if profile.eviction.allowed && !profile.urgent {
                self.evictable += entry.resident.resources;
            }
            match self.sources.iter_mut().find(|(id, _)| *id == entry.profile) {
                Some((_, activity)) => *activity += entry.activity,
                None => self.sources.push((entry.profile, entry.activity)),
            }
        }
    }
}
