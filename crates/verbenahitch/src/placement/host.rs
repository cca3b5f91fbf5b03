//! One worker as the placer sees it.

use crate::domain::{Class, Millis, Monotonic, Resources, TaskKey};
use crate::interference::{Hold, ProfileId, Victim};

use super::index::Slot;
use super::{Resident, WorkerState};

const FIRST_PROBE_MS: Millis = 10_000;
const LONGEST_PROBE_MS: Millis = 600_000;
const DEPARTED: usize = 16;

/// A resident with what is known of its effect on others.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) resident: Resident,
    pub(super) profile: ProfileId,
    /// Share of its processors.
    pub(super) share: f64,
    /// From when on measurements show this share.
    pub(super) settled: Monotonic,
    /// Its present activity in units of a usual task of its profile.
    pub(super) units: f64,
    /// Until when it counts as about to stop.
    pub(super) leaving: Monotonic,
}

/// Committed resources and residents of one worker.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) capacity: Resources,
    pub(super) committed: Resources,
    /// Room kept for tasks that evictions are under way for.
    pub(super) claimed: Resources,
    /// What eviction could free.
    pub(super) evictable: Resources,
    pub(super) state: WorkerState,
    pub(super) rack: usize,
    pub(super) slot: Option<Slot>,
    pub(super) held: Vec<Held>,
    /// Activity of each batch profile, in units of a usual task.
    pub(super) sources: Vec<(ProfileId, f64)>,
    /// Latency-critical profiles that answer here.
    pub(super) victims: Vec<Victim>,
    /// State of the measures taken here.
    pub(super) hold: Hold,
    departed: Vec<(u64, ProfileId)>,
    probe: Option<TaskKey>,
    probe_after: Monotonic,
    probe_wait: Millis,
}

impl Host {
    pub(super) fn new(capacity: Resources, rack: usize, state: WorkerState) -> Self {
        Self {
            capacity,
            committed: Resources::ZERO,
            claimed: Resources::ZERO,
            evictable: Resources::ZERO,
            state,
            rack,
            slot: None,
            held: Vec::new(),
            sources: Vec::new(),
            victims: Vec::new(),
            hold: Hold::default(),
            departed: Vec::new(),
            probe: None,
            probe_after: Monotonic::default(),
            probe_wait: FIRST_PROBE_MS,
        }
    }

    /// What is not committed.
    pub(super) fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.committed)
    }

    /// What is neither committed nor claimed.
    pub(super) fn room(&self) -> Resources {
        self.free().saturating_sub(self.claimed)
    }

    /// Resident with that task.
    pub(super) fn find(&self, task: TaskKey) -> Option<usize> {
        self.held.iter().position(|held| held.resident.task == task)
    }

    /// Profile of a run that is here or left a short while ago.
    pub(super) fn profile_of(&self, run: u64) -> Option<ProfileId> {
        let here = self.held.iter().find(|held| held.resident.run == run);
        here.map(|held| held.profile).or_else(|| {
            let left = self.departed.iter().find(|(left, _)| *left == run);
            left.map(|(_, profile)| *profile)
        })
    }

    /// Adds a resident.
    pub(super) fn add(&mut self, held: Held) {
        self.committed += held.resident.resources;
        if self.state == WorkerState::Quarantined {
            self.probe = Some(held.resident.task);
            self.probe_after = held.resident.since + self.probe_wait;
            self.probe_wait = (self.probe_wait * 2).min(LONGEST_PROBE_MS);
        }
        self.held.push(held);
        self.recount();
    }

    /// Removes the resident at a position.
    pub(super) fn take(&mut self, at: usize) -> Held {
        let held = self.held.swap_remove(at);
        self.committed -= held.resident.resources;
        if self.probe == Some(held.resident.task) {
            self.probe = None;
        }
        if self.departed.len() == DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((held.resident.run, held.profile));
        self.recount();
        held
    }

    /// Changes the state; leaving quarantine forgets its waits.
    pub(super) fn set_state(&mut self, state: WorkerState) {
        if state != WorkerState::Quarantined {
            self.probe = None;
            self.probe_wait = FIRST_PROBE_MS;
            self.probe_after = Monotonic::default();
        }
        self.state = state;
    }

    /// Whether a probe may start.
    pub(super) fn may_probe(&self, now: Monotonic) -> bool {
        self.state == WorkerState::Quarantined && self.probe.is_none() && now >= self.probe_after
    }

    /// Works the sums over the residents out again.
    pub(super) fn recount(&mut self) {
        self.sources.clear();
        self.evictable = Resources::ZERO;
        for held in &self.held {
            let profile = &held.resident.profile;
            if profile.class == Class::LatencyCritical {
                continue;
            }
            if profile.eviction.allowed && !profile.urgent {
                self.evictable += held.resident.resources;
            }
            match self.sources.iter_mut().find(|(id, _)| *id == held.profile) {
                Some((_, units)) => *units += held.units,
                None => self.sources.push((held.profile, held.units)),
            }
        }
    }
}
