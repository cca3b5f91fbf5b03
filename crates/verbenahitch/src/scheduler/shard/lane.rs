//! Queues of jobs, one lane per profile.
//!
//! Whether a task finds room depends on its profile, so a pass over the queues
//! asks once per lane and leaves a lane whose first task finds none. No pass
//! looks at every waiting job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::job::Order;
use crate::domain::{JobKey, Monotonic};

/// Jobs of one profile that wait for something.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Whether the profile is urgent.
    pub urgent: bool,
    /// Jobs with tasks that are not marked.
    pub unmarked: BTreeSet<(Order, JobKey)>,
    /// Jobs with tasks that may be started.
    pub ready: BTreeSet<(Order, JobKey)>,
    /// Tasks that are marked, durably or not, and not running.
    pub ahead: usize,
    /// Why its first task waited when that was last logged, and when.
    pub waits: Option<(String, Monotonic)>,
}

/// All lanes of a shard.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    by_name: BTreeMap<Arc<str>, Lane>,
}

impl Lanes {
    /// Lane of a profile.
    pub fn lane(&mut self, name: &Arc<str>) -> &mut Lane {
        self.by_name.entry(Arc::clone(name)).or_default()
    }

    /// Names of all lanes, the urgent ones first.
    pub fn names(&self) -> Vec<Arc<str>> {
        let (urgent, other): (Vec<_>, Vec<_>) = self
            .by_name
            .iter()
            .filter(|(_, lane)| !lane.unmarked.is_empty())
            .partition(|(_, lane)| lane.urgent);
        urgent
            .into_iter()
            .chain(other)
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }

    /// Lane and job whose turn to start it is, leaving out the lanes in `blocked`.
    pub fn first_ready(&self, blocked: &[Arc<str>]) -> Option<(Arc<str>, JobKey)> {
        self.by_name
            .iter()
            .filter(|(name, _)| !blocked.contains(name))
            .filter_map(|(name, lane)| {
                let (order, job) = lane.ready.first()?;
                Some(((!lane.urgent, *order), name, *job))
            })
            .min_by_key(|(order, ..)| *order)
            .map(|(_, name, job)| (Arc::clone(name), job))
    }

    /// Files a job by what it has waiting; `order` is its place in the lane.
    pub fn file(
        &mut self,
        name: &Arc<str>,
        order: Order,
        job: JobKey,
        unmarked: bool,
        ready: bool,
    ) {
        let lane = self.lane(name);
        put(&mut lane.unmarked, (order, job), unmarked);
        put(&mut lane.ready, (order, job), ready);
    }

    /// Whether any task may be started.
    pub fn has_ready(&self) -> bool {
        self.by_name.values().any(|lane| !lane.ready.is_empty())
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.by_name.clear();
    }
}

fn put(set: &mut BTreeSet<(Order, JobKey)>, entry: (Order, JobKey), wanted: bool) {
    if wanted {
        set.insert(entry);
    } else {
        set.remove(&entry);
    }
}
