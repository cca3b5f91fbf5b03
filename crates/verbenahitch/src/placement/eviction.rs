//! Chooses tasks of one worker to evict for a task of higher priority.

use crate::domain::{Class, Monotonic, Profile, Resources, TaskKey};

use super::Resident;
use super::budget::Budgets;
use super::host::{Host, ResidentEntry};

/// Tasks to evict and the worth that is lost by evicting them.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EvictionPlan {
    pub(super) cost: f64,
    pub(super) tasks: Vec<TaskKey>,
}

/// Worth lost if a resident is evicted now: from one to two times that of its profile,
/// growing with the time it has run.
pub(super) fn cost(resident: &Resident, now: Monotonic) -> f64 {
    let ran = now.since(resident.since) as f64;
    let expected = resident.profile.target_ms.max(1) as f64;
    f64::from(resident.profile.worth) * (1.0 + (ran / expected).min(1.0))
}

/// Whether a task of the `running` profile may be evicted for `request`.
pub(super) fn yields(running: &Profile, request: &Profile) -> bool {
    let lower = match request.class {
        Class::LatencyCritical => request.urgent || running.worth < request.worth,
        Class::Batch => request.urgent,
    };
    lower && running.class == Class::Batch && !running.urgent && running.eviction.allowed
}

/// Eviction that makes room for `need` on `host` and loses little worth, chosen greedily.
///
/// Tasks that are already stopping count as free room, and reservations as needed.
pub(super) fn cheapest(
    host: &Host,
    request: &Profile,
    need: Resources,
    budgets: &Budgets,
    now: Monotonic,
) -> Option<EvictionPlan> {
    // A worker that shrank may have more committed than its capacity, so the sums
    // compare totals rather than free resources, which can't be negative.
    let need = need + host.committed;
    if !need.fits(host.capacity + host.evictable) {
        return None;
    }
    let need = need + host.reserved;
    let mut room = host.capacity + stopping(host, now);
    let mut chosen = Vec::new();
    for (cost, entry) in candidates(host, request, budgets, now) {
        if need.fits(room) {
            break;
        }
        if reduces_shortage(entry.resident.resources, need, room) {
            room += entry.resident.resources;
            chosen.push((cost, entry));
        }
    }
    if !need.fits(room) {
        return None;
    }
    drop_unneeded(&mut chosen, need, room);
    Some(EvictionPlan {
        cost: chosen.iter().map(|(cost, _)| cost).sum(),
        tasks: chosen
            .iter()
            .map(|(_, entry)| entry.resident.task)
            .collect(),
    })
}

/// Resources of the tasks that are stopping.
fn stopping(host: &Host, now: Monotonic) -> Resources {
    host.residents
        .iter()
        .filter(|entry| entry.stopping_until > now)
        .fold(Resources::ZERO, |sum, entry| sum + entry.resident.resources)
}

fn candidates<'a>(
    host: &'a Host,
    request: &Profile,
    budgets: &Budgets,
    now: Monotonic,
) -> Vec<(f64, &'a ResidentEntry)> {
    let mut all: Vec<(f64, &ResidentEntry)> = host
        .residents
        .iter()
        .filter(|entry| entry.stopping_until <= now && yields(&entry.resident.profile, request))
        .filter(|entry| budgets.allows(entry.resident.task, &entry.resident.profile, now))
        .map(|entry| (cost(&entry.resident, now), entry))
        .collect();
    all.sort_by(|(a, x), (b, y)| {
        let order = a.total_cmp(b);
        order.then_with(|| x.resident.task.cmp(&y.resident.task))
    });
    all
}

/// Whether releasing `amount` reduces the shortage of any resource.
fn reduces_shortage(amount: Resources, need: Resources, room: Resources) -> bool {
    (need.millicores > room.millicores && amount.millicores > 0)
        || (need.memory_mib > room.memory_mib && amount.memory_mib > 0)
        || (need.accelerators > room.accelerators && amount.accelerators > 0)
}

/// Removes tasks from `chosen` whose eviction is not needed, the most costly first.
fn drop_unneeded(chosen: &mut Vec<(f64, &ResidentEntry)>, need: Resources, mut room: Resources) {
    for at in (0..chosen.len()).rev() {
        let without = room.saturating_sub(chosen[at].1.resident.resources);
        if need.fits(without) {
            room = without;
            chosen.remove(at);
        }
    }
}
