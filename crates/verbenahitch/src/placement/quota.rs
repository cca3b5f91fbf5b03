//! What teams may commit in one shard.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::Resources;

/// Committed resources of each team, against its quota.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    used: HashMap<String, Resources>,
    declared: Arc<Declarations>,
    share: f64,
}

impl Quotas {
    /// Takes over newer declarations; `share` is this shard's part of each quota.
    pub(super) fn declare(&mut self, declared: Arc<Declarations>, share: f64) {
        self.declared = declared;
        self.share = share.clamp(0.0, 1.0);
    }

    /// Quota of a team over all availability zones; a team without a declaration has no limit.
    pub(super) fn whole(&self, team: &str) -> Option<Resources> {
        self.declared.teams.get(team).map(|team| team.quota)
    }

    /// Whether the team may commit `need` besides what it has.
    ///
    /// A team without anything in this shard may run one task, however small
    /// the shard's share of its quota is; otherwise a quota spread over many
    /// shards could admit nothing anywhere.
    pub(super) fn admits(&self, team: &str, need: Resources) -> bool {
        let Some(quota) = self.whole(team) else {
            return true;
        };
        let used = self.used.get(team).copied().unwrap_or_default();
        used == Resources::ZERO || (used + need).fits(scaled(quota, self.share))
    }

    /// Largest share of its quota that the team uses of any resource, 0.0 without a quota.
    pub(super) fn dominant(&self, team: &str) -> f64 {
        let Some(quota) = self.whole(team) else {
            return 0.0;
        };
        let quota = scaled(quota, self.share);
        let used = self.used.get(team).copied().unwrap_or_default();
        ratio(used.millicores, quota.millicores)
            .max(ratio(used.memory_mib, quota.memory_mib))
            .max(ratio(used.accelerators, quota.accelerators))
    }

    /// Counts resources as committed by the team.
    pub(super) fn take(&mut self, team: &str, amount: Resources) {
        match self.used.get_mut(team) {
            Some(used) => *used += amount,
            None => {
                self.used.insert(team.to_owned(), amount);
            }
        }
    }

    /// Counts resources as released by the team.
    pub(super) fn give(&mut self, team: &str, amount: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used -= amount;
        }
    }
}

fn scaled(quota: Resources, share: f64) -> Resources {
    Resources {
        millicores: part(quota.millicores, share),
        memory_mib: part(quota.memory_mib, share),
        accelerators: part(quota.accelerators, share),
    }
}

fn part(amount: u64, share: f64) -> u64 {
    (amount as f64 * share).ceil() as u64
}

fn ratio(used: u64, quota: u64) -> f64 {
    if quota == 0 {
        0.0
    } else {
        used as f64 / quota as f64
    }
}
