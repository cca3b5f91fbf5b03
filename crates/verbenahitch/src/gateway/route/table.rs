//! Routing table: the upstreams of this gateway's subset, those of its own zone first.
//!
//! The table is rebuilt when the list of workers or the declarations change, and
//! published by read-copy-update. A decision reads it without a lock and
//! allocates nothing.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::Monotonic;
use crate::gateway::admission::SlotSignal;
use crate::port::{HostRecord, HostState};

use super::subset;
use super::upstream::{Slot, Upstream};

/// Most attempts of one request.
pub const MAX_ATTEMPTS: usize = 3;

/// Least share of a table's upstreams that stay in use when others are ejected, in percent.
const MIN_HEALTHY_PERCENT: usize = 70;

/// Settings of one gateway's routing table.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Name of the gateway.
    pub name: String,
    /// Availability zone of the gateway.
    pub zone: String,
    /// Most upstreams in the table.
    pub subset: usize,
    /// Longest time without progress on an upstream's connection, in milliseconds.
    pub silence_ms: u64,
    /// Signal that a slot was freed.
    pub slot_signal: Arc<SlotSignal>,
}

/// Routing table.
#[derive(Debug, Default)]
pub struct Table {
    /// Declarations that the table was built from.
    pub declarations: Arc<Declarations>,
    /// Upstreams of the gateway's zone.
    near: Vec<Arc<Upstream>>,
    /// Upstreams of other zones.
    far: Vec<Arc<Upstream>>,
    next_id: u32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A larger free share of its limit than the runner-up, in the gateway's zone.
    LessBusy,
    /// The only open one of two random upstreams.
    OnlyOpen,
    /// Found by a linear search of the gateway's zone.
    Searched,
    /// No upstream of the gateway's zone was open.
    OtherZone,
}

impl Reason {
    /// Name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::LessBusy => "less-busy",
            Self::OnlyOpen => "only-open",
            Self::Searched => "searched",
            Self::OtherZone => "other-zone",
        }
    }
}

/// A routing decision.
#[derive(Debug)]
pub struct Choice {
    /// Slot at the chosen upstream.
    pub slot: Slot,
    /// Other upstream that was compared.
    pub runner_up: Option<Arc<Upstream>>,
    /// Why the upstream was chosen.
    pub reason: Reason,
}

impl Table {
    /// Builds the table that replaces `self`; upstreams in both keep their state.
    pub fn next(
        &self,
        config: &RoutingConfig,
        hosts: &[HostRecord],
        declarations: Arc<Declarations>,
    ) -> Self {
        let known: HashMap<&str, &Arc<Upstream>> = self
            .upstreams()
            .map(|upstream| (upstream.name.as_str(), upstream))
            .collect();
        let live = |host: &&HostRecord| {
            host.state == HostState::Live && declarations.is_in_service(&host.zone)
        };
        let chosen = subset::choose(config, hosts.iter().filter(live));
        let mut next = Self {
            next_id: self.next_id,
            ..Self::default()
        };
        for host in chosen {
            let kept = known.get(host.name.as_str());
            let upstream = match kept.filter(|known| known.address == host.upstream) {
                Some(known) => Arc::clone(known),
                None => {
                    next.next_id += 1;
                    Arc::new(Upstream::new(next.next_id, host, config))
                }
            };
            match host.zone == config.zone {
                true => next.near.push(upstream),
                false => next.far.push(upstream),
            }
        }
        next.declarations = declarations;
        next
    }

    /// All upstreams of the table.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.near.iter().chain(&self.far)
    }

    /// Chooses an upstream at `now` that is not among `tried`, by the random number `random`.
    pub fn choose(&self, now: Monotonic, random: u64, tried: &[u32]) -> Option<Choice> {
        if let Some(choice) = choose_from(&self.near, now, random, tried) {
            return Some(choice);
        }
        let choice = choose_from(&self.far, now, random, tried)?;
        Some(Choice {
            reason: Reason::OtherZone,
            ..choice
        })
    }

    /// Whether any upstream may get requests once it has a free slot.
    pub fn has_upstream(&self) -> bool {
        self.upstreams().any(|upstream| !upstream.is_leaving())
    }

    /// Whether enough upstreams stay in use if one more is ejected.
    pub fn may_eject(&self) -> bool {
        let all = self.near.len() + self.far.len();
        let ejected = self.upstreams().filter(|u| u.health.is_ejected()).count();
        (all - ejected).saturating_sub(1) * 100 >= all * MIN_HEALTHY_PERCENT
    }
}

/// Takes a slot at the less busy of two random upstreams, or else at any open one.
fn choose_from(
    pool: &[Arc<Upstream>],
    now: Monotonic,
    random: u64,
    tried: &[u32],
) -> Option<Choice> {
    let count = pool.len();
    if count == 0 {
        return None;
    }
    let (low, high) = (random as u32, (random >> 32) as u32);
    let one = index_below(low, count);
    let two = match count {
        1 => one,
        _ => (one + 1 + index_below(high, count - 1)) % count,
    };
    let open = |at: usize| !tried.contains(&pool[at].id) && pool[at].is_open(now);
    let (first, second, reason) = match (open(one), open(two)) {
        (true, true) if pool[two].is_less_busy(&pool[one]) => (two, one, Reason::LessBusy),
        (true, true) => (one, two, Reason::LessBusy),
        (true, false) => (one, two, Reason::OnlyOpen),
        (false, true) => (two, one, Reason::OnlyOpen),
        (false, false) => (one, two, Reason::Searched),
    };
    let runner_up = || (first != second).then(|| Arc::clone(&pool[second]));
    if reason != Reason::Searched
        && let Some(slot) = pool[first].try_take(now)
    {
        let runner_up = runner_up();
        return Some(Choice {
            slot,
            runner_up,
            reason,
        });
    }
    (0..count)
        .map(|step| (one + step) % count)
        .filter(|at| open(*at))
        .find_map(|at| pool[at].try_take(now))
        .map(|slot| Choice {
            slot,
            runner_up: None,
            reason: Reason::Searched,
        })
}

/// Maps a random number to an index below `count`.
fn index_below(random: u32, count: usize) -> usize {
    ((u64::from(random) * count as u64) >> 32) as usize
}
