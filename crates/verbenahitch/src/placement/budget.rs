//! Eviction budgets: limits on how often one task is evicted.

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic, Profile, TaskKey};

const WINDOW_MS: Millis = 3_600_000;

/// Evictions of each task within the last hour.
#[derive(Debug, Default)]
pub(super) struct Budgets {
    evictions: HashMap<TaskKey, Vec<Monotonic>>,
}

impl Budgets {
    /// Whether the task's profile and budget allow another eviction.
    pub(super) fn allows(&self, task: TaskKey, profile: &Profile, now: Monotonic) -> bool {
        if !profile.eviction.allowed {
            return false;
        }
        let budget = usize::try_from(profile.eviction.hourly_budget).unwrap_or(usize::MAX);
        self.recent(task, now) < budget
    }

    /// Number of evictions of a task within the last hour.
    pub(super) fn recent(&self, task: TaskKey, now: Monotonic) -> usize {
        self.evictions.get(&task).map_or(0, |times| {
            times.iter().filter(|at| is_recent(**at, now)).count()
        })
    }

    /// Records an eviction.
    pub(super) fn record(&mut self, task: TaskKey, now: Monotonic) {
        self.evictions.entry(task).or_default().push(now);
    }

    /// Removes evictions that are older than the window.
    pub(super) fn prune(&mut self, now: Monotonic) {
        self.evictions.retain(|_, times| {
            times.retain(|at| is_recent(*at, now));
            !times.is_empty()
        });
    }
}

fn is_recent(at: Monotonic, now: Monotonic) -> bool {
    now.since(at) < WINDOW_MS
}
