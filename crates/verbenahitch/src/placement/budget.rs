//! Eviction budgets: how often one task was evicted of late.

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic, Profile, TaskKey};

const WINDOW_MS: Millis = 3_600_000;

/// Evictions of each task within the last hour.
#[derive(Debug, Default)]
pub(super) struct Budgets {
    spent: HashMap<TaskKey, Vec<Monotonic>>,
}

impl Budgets {
    /// Whether the task's profile and budget allow one more eviction.
    pub(super) fn allows(&self, task: TaskKey, profile: &Profile, now: Monotonic) -> bool {
        if !profile.eviction.allowed {
            return false;
        }
        let budget = usize::try_from(profile.eviction.hourly_budget).unwrap_or(usize::MAX);
        self.spent(task, now) < budget
    }

    /// Evictions of a task within the last hour.
    pub(super) fn spent(&self, task: TaskKey, now: Monotonic) -> usize {
        self.spent.get(&task).map_or(0, |times| {
            times.iter().filter(|at| is_recent(**at, now)).count()
        })
    }

    /// Counts an eviction.
    pub(super) fn spend(&mut self, task: TaskKey, now: Monotonic) {
        self.spent.entry(task).or_default().push(now);
    }

    /// Forgets what is older than the window.
    pub(super) fn prune(&mut self, now: Monotonic) {
        self.spent.retain(|_, times| {
            times.retain(|at| is_recent(*at, now));
            !times.is_empty()
        });
    }
}

fn is_recent(at: Monotonic, now: Monotonic) -> bool {
    now.since(at) < WINDOW_MS
}
