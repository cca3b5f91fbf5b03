//! Queues of jobs, one per profile.
//!
//! Whether a task finds room depends on its profile. A pass over the queues
//! therefore skips the rest of a queue once its first task finds no room, and
//! never visits every waiting job.
//!
//! A task is marked in the store as startable before it is started.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::job::Order;
use crate::domain::{JobKey, Monotonic};

/// Jobs of one profile with tasks that wait to be marked or started.
#[derive(Debug, Default)]
pub(super) struct ProfileQueue {
    /// Whether the profile is urgent.
    pub urgent: bool,
    /// Jobs with tasks that are not marked.
    pub unmarked: BTreeSet<(Order, JobKey)>,
    /// Jobs with tasks that may be started.
    pub ready: BTreeSet<(Order, JobKey)>,
    /// Number of tasks that are marked, including marks not yet durable, and not running.
    pub marked_ahead: usize,
    /// Last logged reason why the first task waits, and when it was logged.
    pub last_wait: Option<(String, Monotonic)>,
}

/// All queues of a shard.
#[derive(Debug, Default)]
pub(super) struct ProfileQueues {
    by_name: BTreeMap<Arc<str>, ProfileQueue>,
}

impl ProfileQueues {
    /// Queue of a profile, created if missing.
    pub fn queue(&mut self, name: &Arc<str>) -> &mut ProfileQueue {
        self.by_name.entry(Arc::clone(name)).or_default()
    }

    /// Profiles with unmarked tasks, the urgent ones first.
    pub fn profiles_with_unmarked(&self) -> Vec<Arc<str>> {
        let (urgent, other): (Vec<_>, Vec<_>) = self
            .by_name
            .iter()
            .filter(|(_, queue)| !queue.unmarked.is_empty())
            .partition(|(_, queue)| queue.urgent);
        urgent
            .into_iter()
            .chain(other)
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }

    /// Next job to start, with its profile; skips the profiles in `blocked`, whose first task has to
    /// wait.
    pub fn first_ready(&self, blocked: &[Arc<str>]) -> Option<(Arc<str>, JobKey)> {
        self.by_name
            .iter()
            .filter(|(name, _)| !blocked.contains(name))
            .filter_map(|(name, queue)| {
                let (order, job) = queue.ready.first()?;
                Some(((!queue.urgent, *order), name, *job))
            })
            .min_by_key(|(order, ..)| *order)
            .map(|(_, name, job)| (Arc::clone(name), job))
    }

    /// Adds a job to, or removes it from, the sets of its queue; `order` is its place there.
    pub fn set_membership(
        &mut self,
        name: &Arc<str>,
        order: Order,
        job: JobKey,
        unmarked: bool,
        ready: bool,
    ) {
        let queue = self.queue(name);
        set_present(&mut queue.unmarked, (order, job), unmarked);
        set_present(&mut queue.ready, (order, job), ready);
    }

    /// Whether any task may be started.
    pub fn has_ready(&self) -> bool {
        self.by_name.values().any(|queue| !queue.ready.is_empty())
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.by_name.clear();
    }
}

fn set_present(set: &mut BTreeSet<(Order, JobKey)>, entry: (Order, JobKey), wanted: bool) {
    if wanted {
        set.insert(entry);
    } else {
        set.remove(&entry);
    }
}
