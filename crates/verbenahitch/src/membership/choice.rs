//! Which scheduler should own a shard.
//!
//! Every scheduler ranks all candidates of a shard by the same hash of shard
//! and name (rendezvous hashing), so that they agree without communication and
//! a restart moves only the shards of the restarted scheduler. The lock in the
//! store decides who owns a shard; the ranking keeps the candidates from all
//! requesting it at once.

use sha2::{Digest, Sha256};

use super::{Member, Role};
use crate::domain::{Millis, ShardId};

/// Delay per better-ranked candidate before a scheduler tries to acquire a shard, in milliseconds.
const STAGGER_MS: Millis = 1_000;

/// Additional delay for schedulers of other zones, in milliseconds: they acquire a shard
/// only if its own zone has no scheduler that does.
const OTHER_ZONE_DELAY_MS: Millis = 5_000;

/// Age of the store's last answer above which a scheduler cannot acquire a shard, in milliseconds.
const MAX_STORE_AGE_MS: Millis = 5_000;

/// Whether a scheduler should try to acquire a shard that has no known owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// Try now: it is the preferred owner.
    Now,
    /// Others are preferred; try if the shard still has no owner after this time.
    After(Millis),
    /// Another process owns the shard.
    No,
}

impl AcquireDecision {
    /// Decision of the scheduler `own_name` among `members` (itself included), of
    /// which those heard within `timeout_ms` are live.
    pub fn of(shard: &ShardId, own_name: &str, members: &[Member], timeout_ms: Millis) -> Self {
        let live = |member: &&Member| member.is_live(timeout_ms) && !member.leaving;
        let name = shard.to_string();
        if members
            .iter()
            .filter(live)
            .any(|m| owns(m, &name) && m.name != own_name)
        {
            return Self::No;
        }
        let eligible = |member: &&Member| {
            let store = member
                .store_age_ms
                .is_some_and(|age| age <= MAX_STORE_AGE_MS);
            member.role == Role::Scheduler && (store || member.name == own_name)
        };
        let candidates: Vec<&Member> = members.iter().filter(live).filter(eligible).collect();
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|m| m.zone == shard.zone);
        if let Some(rank) = rank(&name, own_name, &same_zone) {
            return Self::ranked(rank, 0);
        }
        if !same_zone.is_empty() {
            return Self::ranked(same_zone.len() + 1, OTHER_ZONE_DELAY_MS);
        }
        Self::ranked(
            rank(&name, own_name, &other_zones).unwrap_or(other_zones.len()),
            OTHER_ZONE_DELAY_MS,
        )
    }

    fn ranked(rank: usize, delay_ms: Millis) -> Self {
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        match STAGGER_MS.saturating_mul(rank).saturating_add(delay_ms) {
            0 => Self::Now,
            delay_ms => Self::After(delay_ms),
        }
    }
}

/// Shard that `own_name` should release for another scheduler, at most one at a time.
///
/// A shard of another zone is released as soon as that zone has a scheduler. A
/// shard of the own zone is released only if another scheduler of the zone owns
/// at least two fewer, so that a restart does not move shards back and forth.
pub fn shard_to_release(own_name: &str, members: &[Member], timeout_ms: Millis) -> Option<String> {
    let eligible = |member: &&Member| {
        member.role == Role::Scheduler
            && member.is_live(timeout_ms)
            && !member.leaving
            && member
                .store_age_ms
                .is_some_and(|age| age <= MAX_STORE_AGE_MS)
    };
    let eligible: Vec<&Member> = members.iter().filter(eligible).collect();
    let own = eligible.iter().find(|member| member.name == own_name)?;
    let zone_of = |shard: &str| {
        shard
            .rsplit_once('-')
            .map_or("", |(zone, _)| zone)
            .to_owned()
    };
    let in_other_zone = own.shards.iter().find(|owned| {
        let zone = zone_of(&owned.shard);
        zone != own.zone && eligible.iter().any(|member| member.zone == zone)
    });
    if let Some(owned) = in_other_zone {
        return Some(owned.shard.clone());
    }
    let others = eligible
        .iter()
        .filter(|m| m.zone == own.zone && m.name != own_name);
    let fewest = others.map(|member| member.shards.len()).min()?;
    if own.shards.len() < fewest + 2 {
        return None;
    }
    let least_running = own
        .shards
        .iter()
        .min_by_key(|owned| (owned.running, &owned.shard));
    least_running.map(|owned| owned.shard.clone())
}

fn owns(member: &Member, shard: &str) -> bool {
    member.shards.iter().any(|owned| owned.shard == shard)
}

/// Number of candidates that are preferred to `own_name`, if it is one itself.
fn rank(shard: &str, own_name: &str, candidates: &[&Member]) -> Option<usize> {
    // The values of a fast hash are too similar for names that differ in one digit.
    let weight = |name: &str| Sha256::digest(format!("{shard} {name}"));
    candidates.iter().find(|member| member.name == own_name)?;
    let own_weight = weight(own_name);
    Some(
        candidates
            .iter()
            .filter(|member| weight(&member.name) > own_weight)
            .count(),
    )
}
