//! Team quotas within one shard.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::Resources;

/// Committed resources and quota of each team.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    used: HashMap<String, Resources>,
    declared: Arc<Declarations>,
    share: f64,
}

impl Quotas {
    /// Applies new declarations; `share` is this shard's fraction of each quota.
    pub(super) fn set_declarations(&mut self, declared: Arc<Declarations>, share: f64) {
        self.declared = declared;
        self.share = share.clamp(0.0, 1.0);
    }

    /// Quota of a team over all availability zones; an undeclared team has no limit.
    pub(super) fn total(&self, team: &str) -> Option<Resources> {
        self.declared.teams.get(team).map(|team| team.quota)
    }

    /// Whether the team may commit `need` in addition to what it has.
    ///
    /// A team that has nothing committed in this shard may run one task, however
    /// small the shard's share of its quota is. Otherwise a quota divided among many
    /// shards might admit no task in any of them.
    pub(super) fn admits(&self, team: &str, need: Resources) -> bool {
        let Some(quota) = self.total(team) else {
            return true;
        };
        let used = self.used.get(team).copied().unwrap_or_default();
        used == Resources::ZERO || (used + need).fits(scale(quota, self.share))
    }

    /// Largest fraction of the shard's part of its quota that the team has committed
    /// of any resource, 0.0 without a quota.
    pub(super) fn dominant_share(&self, team: &str) -> f64 {
        let Some(quota) = self.total(team) else {
            return 0.0;
        };
        let quota = scale(quota, self.share);
        let used = self.used.get(team).copied().unwrap_or_default();
        ratio(used.millicores, quota.millicores)
            .max(ratio(used.memory_mib, quota.memory_mib))
            .max(ratio(used.accelerators, quota.accelerators))
    }

    /// Adds to the team's committed resources.
    pub(super) fn commit(&mut self, team: &str, amount: Resources) {
        match self.used.get_mut(team) {
            Some(used) => *used += amount,
            None => {
                self.used.insert(team.to_owned(), amount);
            }
        }
    }

    /// Subtracts from the team's committed resources.
    pub(super) fn release(&mut self, team: &str, amount: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used -= amount;
        }
    }
}

fn scale(quota: Resources, share: f64) -> Resources {
    Resources {
        millicores: scale_amount(quota.millicores, share),
        memory_mib: scale_amount(quota.memory_mib, share),
        accelerators: scale_amount(quota.accelerators, share),
    }
}

fn scale_amount(amount: u64, share: f64) -> u64 {
    (amount as f64 * share).ceil() as u64
}

fn ratio(used: u64, quota: u64) -> f64 {
    if quota == 0 {
        0.0
    } else {
        used as f64 / quota as f64
    }
}
