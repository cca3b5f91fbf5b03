//! Parameters of a shard.

use crate::domain::{Millis, ShardId};
use crate::settings::SchedulerSettings;

/// Parameters of one shard's decision logic.
#[derive(Clone, Debug)]
pub struct Params {
    /// Shard.
    pub shard: ShardId,
    /// Name of this process.
    pub owner: String,
    /// Interval between two syncs with a worker for which nothing is queued, in milliseconds.
    pub sync_ms: Millis,
    /// Timeout of a sync, in milliseconds.
    pub sync_timeout_ms: Millis,
    /// Length of the lease of a task on its worker, in milliseconds.
    pub task_lease_ms: Millis,
    /// Time for which an owner may act while the store cannot be reached, in milliseconds.
    pub outage_ms: Millis,
    /// Minimum interval between two commits, in milliseconds.
    pub commit_ms: Millis,
    /// Number of queued tasks per profile that are marked as startable in advance.
    pub mark_ahead: usize,
    /// Time for which a finished job is kept for queries, in milliseconds.
    pub retention_ms: Millis,
    /// Seed for random tie-breaking and jitter.
    pub seed: u64,
}

impl Params {
    /// Creates the parameters of a shard from the settings.
    pub fn new(shard: ShardId, owner: &str, settings: &SchedulerSettings, seed: u64) -> Self {
        Self {
            shard,
            owner: owner.to_owned(),
            sync_ms: settings.sync_ms,
            sync_timeout_ms: settings.sync_timeout_ms,
            task_lease_ms: settings.task_lease_ms,
            outage_ms: settings.outage_ms,
            commit_ms: settings.commit_ms,
            mark_ahead: settings.mark_ahead,
            retention_ms: settings.retention_ms,
            seed,
        }
    }

    /// Time for which a worker accepts a call, from the decision on it.
    pub(super) fn call_ttl_ms(&self) -> Millis {
        self.task_lease_ms / 4
    }

    /// Time that a worker may take to stop a task whose lease has lapsed.
    pub(super) fn lease_margin_ms(&self) -> Millis {
        self.task_lease_ms / 5
    }

    /// Time for which the list of workers may lack a worker that a previous owner used.
    pub(super) fn list_lag_ms(&self) -> Millis {
        self.task_lease_ms / 5
    }

    /// Time after which an unanswered sync is given up.
    pub(super) fn sync_limit_ms(&self) -> Millis {
        (self.sync_timeout_ms * 2).max(1)
    }
}
