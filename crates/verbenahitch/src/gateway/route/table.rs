//! Routing table: the upstreams of this gateway's subset, nearest first.
//!
//! The table is built anew when the list of workers or the declarations change,
//! and published by read-copy-update. A decision reads it without a lock and
//! allocates nothing.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::config::Declarations;
use crate::domain::Monotonic;
use crate::gateway::admission::Freed;
use crate::port::{HostRecord, HostState};

use super::subset;
use super::upstream::{Slot, Upstream};

/// Most upstreams that one request is tried at.
pub const ATTEMPTS: usize = 3;

/// Least share of a table's upstreams that ejection leaves, in percent.
const FLOOR_PERCENT: usize = 70;

/// Where this gateway is and how many upstreams it keeps.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the gateway.
    pub name: String,
    /// Availability zone of the gateway.
    pub zone: String,
    /// Most upstreams.
    pub subset: usize,
    /// Longest time without progress on a connection, in milliseconds.
    pub silence_ms: u64,
    /// Signal for requests that wait for a slot.
    pub freed: Arc<Freed>,
}

/// Routing table.
#[derive(Debug, Default)]
pub struct Table {
    /// Declarations that the table was built from.
    pub declarations: Arc<Declarations>,
    near: Vec<Arc<Upstream>>,
    far: Vec<Arc<Upstream>>,
    next_id: u32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Fewer requests in progress than the runner-up, in the gateway's zone.
    LessBusy,
    /// The only one of two that was open.
    OnlyOpen,
    /// Found by going through the gateway's zone.
    Searched,
    /// No upstream of the gateway's zone was open.
    OtherZone,
}

impl Reason {
    /// Name in the log.
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
    /// Upstream that came second.
    pub runner_up: Option<Arc<Upstream>>,
    /// Why.
    pub reason: Reason,
}

impl Table {
    /// Builds the table that follows `self`; upstreams that stay keep their state.
    pub fn next(
        &self,
        place: &Place,
        hosts: &[HostRecord],
        declarations: Arc<Declarations>,
    ) -> Self {
        let known: HashMap<&str, &Arc<Upstream>> = self
            .upstreams()
            .map(|upstream| (upstream.name.as_str(), upstream))
            .collect();
        let live =
            |host: &&HostRecord| host.state == HostState::Live && declarations.is_in(&host.zone);
        let chosen = subset::choose(place, hosts.iter().filter(live));
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
                    Arc::new(Upstream::new(next.next_id, host, place))
                }
            };
            match host.zone == place.zone {
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

    /// Chooses an upstream at `now` that is not among `tried`; `dice` is any random number.
    pub fn choose(&self, now: Monotonic, dice: u64, tried: &[u32]) -> Option<Choice> {
        if let Some(choice) = choose_of(&self.near, now, dice, tried) {
            return Some(choice);
        }
        let choice = choose_of(&self.far, now, dice, tried)?;
        Some(Choice {
            reason: Reason::OtherZone,
            ..choice
        })
    }

    /// Whether any upstream could take a request once it has a free slot.
    pub fn has_upstream(&self) -> bool {
        self.upstreams().any(|upstream| !upstream.is_leaving())
    }

    /// Whether one more upstream may be ejected without emptying the pool.
    pub fn may_eject(&self) -> bool {
        let all = self.near.len() + self.far.len();
        let ejected = self.upstreams().filter(|u| u.health.is_ejected()).count();
        (all - ejected).saturating_sub(1) * 100 >= all * FLOOR_PERCENT
    }
}

/// Takes the less busy of two random upstreams, or else any open one.
fn choose_of(pool: &[Arc<Upstream>], now: Monotonic, dice: u64, tried: &[u32]) -> Option<Choice> {
    let count = pool.len();
    if count == 0 {
        return None;
    }
    let (low, high) = (dice as u32, (dice >> 32) as u32);
    let one = scaled(low, count);
    let two = match count {
        1 => one,
        _ => (one + 1 + scaled(high, count - 1)) % count,
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
fn scaled(random: u32, count: usize) -> usize {
    ((u64::from(random) * count as u64) >> 32) as usize
}
