//! Which scheduler should own a shard.
//!
//! Every scheduler ranks all candidates of a shard by the same hash of shard
//! and name (rendezvous hashing), so that they agree without talking and a
//! restart moves only the shards of the restarted one. The store's lock decides
//! in the end; the ranking keeps them from all asking for it at once.

use sha2::{Digest, Sha256};

use super::{Member, Role};
use crate::domain::{Millis, ShardId};

/// Time that each better ranked candidate gets to take the shard, in milliseconds.
const STAGGER_MS: Millis = 1_000;

/// Time after which schedulers of other zones take a shard whose zone has none, in milliseconds.
const FOREIGN_DELAY_MS: Millis = 5_000;

/// Age of the store's last answer above which a scheduler cannot take a shard, in milliseconds.
const STORE_LOST_MS: Millis = 5_000;

/// Whether a scheduler should try to take a shard that nobody is known to own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It is the preferred owner.
    Now,
    /// Others come first; try if the shard is still free after this time.
    After(Millis),
    /// Another process owns the shard.
    No,
}

impl Choice {
    /// Choice of the scheduler `me` among `members` (itself included), of whom
    /// those heard within `timeout_ms` are live.
    pub fn of(shard: &ShardId, me: &str, members: &[Member], timeout_ms: Millis) -> Self {
        let live = |member: &&Member| member.is_live(timeout_ms) && !member.leaving;
        let name = shard.to_string();
        if members
            .iter()
            .filter(live)
            .any(|m| owns(m, &name) && m.name != me)
        {
            return Self::No;
        }
        let able = |member: &&Member| {
            let store = member.store_age_ms.is_some_and(|age| age <= STORE_LOST_MS);
            member.role == Role::Scheduler && (store || member.name == me)
        };
        let all: Vec<&Member> = members.iter().filter(live).filter(able).collect();
        let (home, away): (Vec<_>, Vec<_>) = all.into_iter().partition(|m| m.zone == shard.zone);
        if let Some(rank) = rank(&name, me, &home) {
            return Self::ranked(rank, 0);
        }
        if !home.is_empty() {
            return Self::ranked(home.len() + 1, FOREIGN_DELAY_MS);
        }
        Self::ranked(
            rank(&name, me, &away).unwrap_or(away.len()),
            FOREIGN_DELAY_MS,
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

/// A shard that `me` should hand to another scheduler, at most one at a time.
///
/// A shard of another zone goes home as soon as the zone has a scheduler. A
/// shard of the own zone goes only if another scheduler owns at least two fewer,
/// so that a restart does not move shards to and fro.
pub fn surplus(me: &str, members: &[Member], timeout_ms: Millis) -> Option<String> {
    let able = |member: &&Member| {
        member.role == Role::Scheduler
            && member.is_live(timeout_ms)
            && !member.leaving
            && member.store_age_ms.is_some_and(|age| age <= STORE_LOST_MS)
    };
    let able: Vec<&Member> = members.iter().filter(able).collect();
    let mine = able.iter().find(|member| member.name == me)?;
    let zone_of = |shard: &str| {
        shard
            .rsplit_once('-')
            .map_or("", |(zone, _)| zone)
            .to_owned()
    };
    let foreign = mine.shards.iter().find(|owned| {
        let zone = zone_of(&owned.shard);
        zone != mine.zone && able.iter().any(|member| member.zone == zone)
    });
    if let Some(owned) = foreign {
        return Some(owned.shard.clone());
    }
    let others = able.iter().filter(|m| m.zone == mine.zone && m.name != me);
    let least = others.map(|member| member.shards.len()).min()?;
    if mine.shards.len() < least + 2 {
        return None;
    }
    let smallest = mine
        .shards
        .iter()
        .min_by_key(|owned| (owned.running, &owned.shard));
    smallest.map(|owned| owned.shard.clone())
}

fn owns(member: &Member, shard: &str) -> bool {
    member.shards.iter().any(|owned| owned.shard == shard)
}

/// Number of candidates that are preferred to `me`, if `me` is one.
fn rank(shard: &str, me: &str, candidates: &[&Member]) -> Option<usize> {
    // A fast hash is too alike for names that differ in one digit.
    let weight = |name: &str| Sha256::digest(format!("{shard} {name}"));
    candidates.iter().find(|member| member.name == me)?;
    let mine = weight(me);
    Some(
        candidates
            .iter()
            .filter(|member| weight(&member.name) > mine)
            .count(),
    )
}
