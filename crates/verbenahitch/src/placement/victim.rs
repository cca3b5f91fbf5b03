//! Chooses tasks of one worker to evict for work that goes first.

use crate::domain::{Class, Monotonic, Profile, Resources, TaskKey};

use super::Resident;
use super::budget::Budgets;
use super::host::{Held, Host};

/// Tasks to evict and the worth that is lost with them.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Sacrifice {
    pub(super) cost: f64,
    pub(super) tasks: Vec<TaskKey>,
}

/// Worth that is lost when a resident is evicted now: its own, and more the longer it has run.
pub(super) fn cost(resident: &Resident, now: Monotonic) -> f64 {
    let ran = now.since(resident.since) as f64;
    let usual = resident.profile.target_ms.max(1) as f64;
    f64::from(resident.profile.worth) * (1.0 + (ran / usual).min(1.0))
}

/// Whether work of the `victim` profile may make way for `ask`.
pub(super) fn yields(victim: &Profile, ask: &Profile) -> bool {
    let lesser = match ask.class {
        Class::LatencyCritical => ask.urgent || victim.worth < ask.worth,
        Class::Batch => ask.urgent,
    };
    lesser && victim.class == Class::Batch && !victim.urgent && victim.eviction.allowed
}

/// The least worth whose eviction makes room for `need` on `host`.
///
/// Tasks that are stopping already count as room, and claims on it as needs.
pub(super) fn least(
    host: &Host,
    ask: &Profile,
    need: Resources,
    budgets: &Budgets,
    now: Monotonic,
) -> Option<Sacrifice> {
    // A worker that shrank may be committed beyond its size, so the sums run
    // over what is committed, not over what is free.
    let need = need + host.committed;
    if !need.fits(host.capacity + host.evictable) {
        return None;
    }
    let need = need + host.claimed;
    let mut room = host.capacity + stopping(host, now);
    let mut chosen = Vec::new();
    for (cost, held) in candidates(host, ask, budgets, now) {
        if need.fits(room) {
            break;
        }
        if helps(held.resident.resources, need, room) {
            room += held.resident.resources;
            chosen.push((cost, held));
        }
    }
    if !need.fits(room) {
        return None;
    }
    spare(&mut chosen, need, room);
    Some(Sacrifice {
        cost: chosen.iter().map(|(cost, _)| cost).sum(),
        tasks: chosen.iter().map(|(_, held)| held.resident.task).collect(),
    })
}

/// What the tasks hold that were told to stop.
fn stopping(host: &Host, now: Monotonic) -> Resources {
    host.held
        .iter()
        .filter(|held| held.leaving > now)
        .fold(Resources::ZERO, |sum, held| sum + held.resident.resources)
}

fn candidates<'a>(
    host: &'a Host,
    ask: &Profile,
    budgets: &Budgets,
    now: Monotonic,
) -> Vec<(f64, &'a Held)> {
    let mut all: Vec<(f64, &Held)> = host
        .held
        .iter()
        .filter(|held| held.leaving <= now && yields(&held.resident.profile, ask))
        .filter(|held| budgets.allows(held.resident.task, &held.resident.profile, now))
        .map(|held| (cost(&held.resident, now), held))
        .collect();
    all.sort_by(|(a, x), (b, y)| {
        let order = a.total_cmp(b);
        order.then_with(|| x.resident.task.cmp(&y.resident.task))
    });
    all
}

/// Whether releasing `amount` brings `need` nearer in a resource that is short.
fn helps(amount: Resources, need: Resources, room: Resources) -> bool {
    (need.millicores > room.millicores && amount.millicores > 0)
        || (need.memory_mib > room.memory_mib && amount.memory_mib > 0)
        || (need.accelerators > room.accelerators && amount.accelerators > 0)
}

/// Keeps what turned out not to be needed, the most costly first.
fn spare(chosen: &mut Vec<(f64, &Held)>, need: Resources, mut room: Resources) {
    for at in (0..chosen.len()).rev() {
        let without = room.saturating_sub(chosen[at].1.resident.resources);
        if need.fits(without) {
            room = without;
            chosen.remove(at);
        }
    }
}
