//! The choice of a worker for a task.
//!
//! A few workers are scored in full: the tightest ones that fit, and some
//! sampled at random among all with the processors. So the cost hardly grows
//! with the number of workers. Only when none of them will do, all are scanned.

use crate::domain::{Class, Monotonic, Resources, WorkerKey};
use crate::interference::ProfileId;

use super::host::Host;
use super::index::rotate;
use super::placer::Placer;
use super::score::{Score, Scorer};
use super::victim::{self, Sacrifice};
use super::{Ask, Choice, Reason};

const TIGHTEST: usize = 4;
const SAMPLED: usize = 8;
const SACRIFICES: usize = 48;
/// Workers with room that a scan looks at before it gives up.
const SCANNED: usize = 64;
/// Part of the tolerated slowdown that a task may bring its neighbours to.
const PRESSURE_LIMIT: f64 = 0.95;

impl Placer {
    /// Chooses a worker for the task's declared size; changes nothing.
    pub fn choose(&self, ask: &Ask, now: Monotonic) -> Choice {
        self.choose_sized(ask, ask.profile.resources, now)
    }

    /// Chooses a worker that can commit `need` to the task; changes nothing.
    pub fn choose_sized(&self, ask: &Ask, need: Resources, now: Monotonic) -> Choice {
        if let Some(choice) = self.claimed(ask, need, now) {
            return choice;
        }
        if let Some(reason) = self.never(ask, need) {
            return Choice::Never(reason);
        }
        if !self.quotas.admits(&ask.profile.team, need) {
            return Choice::Wait(Reason::Quota);
        }
        if let Some(worker) = self.probe(ask, need, now) {
            return Choice::Place {
                worker,
                runner_up: None,
                reason: Reason::Probe,
            };
        }
        self.best(ask, need, now)
    }

    fn claimed(&self, ask: &Ask, need: Resources, now: Monotonic) -> Option<Choice> {
        let claim = self.claims.get(&ask.task)?;
        let host = self.hosts.get(claim.worker)?;
        if claim.until <= now || host.slot.is_none() {
            return None;
        }
        if !need.fits(host.free()) {
            return Some(Choice::Wait(Reason::Promised));
        }
        Some(Choice::Place {
            worker: claim.worker,
            runner_up: None,
            reason: Reason::BestFit,
        })
    }

    /// Why the task could never run, if so.
    fn never(&self, ask: &Ask, need: Resources) -> Option<String> {
        let team = &ask.profile.team;
        if let Some(quota) = self.quotas.whole(team)
            && !need.fits(quota)
        {
            let short = shortfall(need, quota);
            return Some(format!("{short} in the whole quota of team {team:?}"));
        }
        if self.sizes.is_empty() || self.sizes.keys().any(|size| need.fits(*size)) {
            return None;
        }
        let largest = self
            .sizes
            .keys()
            .fold(Resources::ZERO, |most, size| Resources {
                millicores: most.millicores.max(size.millicores),
                memory_mib: most.memory_mib.max(size.memory_mib),
                accelerators: most.accelerators.max(size.accelerators),
            });
        if need.fits(largest) {
            return Some(format!("no single worker has all of {need:?}"));
        }
        Some(format!(
            "{} on the largest worker",
            shortfall(need, largest)
        ))
    }

    /// Quarantined worker that may be tried with this task.
    fn probe(&self, ask: &Ask, need: Resources, now: Monotonic) -> Option<WorkerKey> {
        let profile = &ask.profile;
        if profile.class != Class::Batch || profile.urgent || !profile.idempotent {
            return None;
        }
        let able = self.quarantined.iter().copied().find(|worker| {
            let host = &self.hosts[*worker];
            host.may_probe(now) && need.fits(host.room())
        });
        able.filter(|worker| ask.avoid != Some(*worker))
    }

    fn best(&self, ask: &Ask, need: Resources, now: Monotonic) -> Choice {
        let mut search = Search::new(self, ask, need, now);
        search.sample();
        if search.best.is_none() {
            search.scan();
        }
        if let Some((worker, score)) = search.best {
            return Choice::Place {
                worker,
                runner_up: search.second.map(|(worker, _)| worker),
                reason: if score.pressure < search.highest {
                    Reason::LeastPressure
                } else {
                    Reason::BestFit
                },
            };
        }
        if search.pressed {
            return Choice::Wait(Reason::TooMuchPressure);
        }
        match self.sacrifice(ask, need, now) {
            Some((worker, sacrifice)) => Choice::Evict {
                worker,
                victims: sacrifice.tasks,
            },
            None => Choice::Wait(Reason::NoRoom),
        }
    }

    /// Worker where the least worth has to be evicted for the task.
    fn sacrifice(
        &self,
        ask: &Ask,
        need: Resources,
        now: Monotonic,
    ) -> Option<(WorkerKey, Sacrifice)> {
        if !ask.profile.urgent && ask.profile.class == Class::Batch {
            return None;
        }
        // The turn does not depend on time, so that the same task asks for the
        // same room until it is made.
        let workers = self.index.upwards(Resources::ZERO, self.turn(ask, 0));
        let mut best: Option<(WorkerKey, Sacrifice)> = None;
        let mut found = 0;
        for worker in workers {
            let host = &self.hosts[worker];
            let Some(next) = victim::least(host, &ask.profile, need, &self.budgets, now) else {
                continue;
            };
            found += 1;
            if best.as_ref().is_none_or(|(_, best)| next.cost < best.cost) {
                best = Some((worker, next));
            }
            if found == SACRIFICES {
                break;
            }
        }
        best
    }

    /// Pseudo-random number fixed by the seed, the task and `salt`.
    fn turn(&self, ask: &Ask, salt: u64) -> u64 {
        use std::hash::{BuildHasher, BuildHasherDefault};
        let build = BuildHasherDefault::<rustc_hash::FxHasher>::default();
        mix(build.hash_one((self.seed, ask.task, salt)))
    }
}

struct Search<'a> {
    placer: &'a Placer,
    ask: &'a Ask,
    need: Resources,
    scorer: Scorer<'a>,
    profile: Option<ProfileId>,
    limit: f64,
    best: Option<(WorkerKey, Score)>,
    second: Option<(WorkerKey, Score)>,
    /// Highest pressure that was met.
    highest: f64,
    /// Whether a worker with room was refused for its pressure.
    pressed: bool,
    turn: u64,
}

impl<'a> Search<'a> {
    fn new(placer: &'a Placer, ask: &'a Ask, need: Resources, now: Monotonic) -> Self {
        Self {
            placer,
            ask,
            need,
            scorer: Scorer {
                estimator: &placer.estimator,
                roster: &placer.roster,
                racks: &placer.racks,
                running: &placer.running,
                overdue: is_overdue(placer, ask, now),
                now,
            },
            profile: placer.roster.id(&ask.name),
            limit: pressure_limit(ask),
            best: None,
            second: None,
            highest: 0.0,
            pressed: false,
            turn: placer.turn(ask, now.0),
        }
    }

    /// Looks at the tightest workers that fit and at some random ones.
    fn sample(&mut self) {
        let placer = self.placer;
        let mut found = 0;
        for worker in placer
            .index
            .upwards(self.need, self.turn)
            .take(4 * TIGHTEST)
        {
            found += usize::from(self.look(worker));
            if found == TIGHTEST {
                break;
            }
        }
        let roomy = placer.index.roomy(self.need);
        let mut turn = self.turn;
        for _ in 0..SAMPLED {
            turn = mix(turn);
            if let Some(worker) = roomy.get(rotate(turn, roomy.len())) {
                self.look(worker);
            }
        }
    }

    /// Looks at all workers until a few have been found.
    fn scan(&mut self) {
        let placer = self.placer;
        let (mut roomy, mut found) = (0, 0);
        for worker in placer.index.upwards(self.need, self.turn) {
            if self.look(worker) {
                roomy += 1;
                found += usize::from(self.best.is_some());
            }
            if found == TIGHTEST || roomy == SCANNED {
                break;
            }
        }
        if let (None, Some(avoid)) = (self.best, self.ask.avoid) {
            self.look_at_avoided(avoid);
        }
    }

    /// Says whether the worker has room.
    fn look(&mut self, worker: WorkerKey) -> bool {
        let host = &self.placer.hosts[worker];
        if !self.need.fits(host.room()) || self.ask.avoid == Some(worker) {
            return false;
        }
        self.weigh(worker, host);
        true
    }

    fn look_at_avoided(&mut self, worker: WorkerKey) {
        let host = self.placer.hosts.get(worker);
        let able = host.filter(|host| host.slot.is_some() && self.need.fits(host.room()));
        if let Some(host) = able {
            self.weigh(worker, host);
        }
    }

    fn weigh(&mut self, worker: WorkerKey, host: &Host) {
        let score = self.scorer.score(host, self.ask, self.profile, self.need);
        self.highest = self.highest.max(score.pressure);
        if score.residual > self.limit {
            self.pressed = true;
            return;
        }
        let known = |known: Option<(WorkerKey, Score)>| known.is_some_and(|(key, _)| key == worker);
        if known(self.best) || known(self.second) {
            return;
        }
        if self.best.is_none_or(|(_, best)| score.total < best.total) {
            self.second = self.best;
            self.best = Some((worker, score));
        } else if self
            .second
            .is_none_or(|(_, second)| score.total < second.total)
        {
            self.second = Some((worker, score));
        }
    }
}

/// Pressure on a neighbour, as a part of what it tolerates, that the task may cause.
///
/// Work that goes first is never held back; the others are slowed for it.
fn pressure_limit(ask: &Ask) -> f64 {
    let first = ask.profile.urgent || ask.profile.class == Class::LatencyCritical;
    if first { f64::INFINITY } else { PRESSURE_LIMIT }
}

/// Whether a task has waited twice its deadline and was not evicted of late.
///
/// It is let in then whatever its own pressure, so that no task waits for ever;
/// one that was evicted must wait for calm, or it would be evicted over and over.
fn is_overdue(placer: &Placer, ask: &Ask, now: Monotonic) -> bool {
    let long = ask.waited_ms >= ask.profile.deadline_ms.saturating_mul(2);
    long && placer.budgets.spent(ask.task, now) == 0
}

/// Names the first resource that is short.
fn shortfall(need: Resources, room: Resources) -> String {
    if need.millicores > room.millicores {
        let (need, room) = (need.millicores, room.millicores);
        return format!("{need} millicores are needed, there are {room}");
    }
    if need.memory_mib > room.memory_mib {
        let (need, room) = (need.memory_mib, room.memory_mib);
        return format!("{need} MiB of memory are needed, there are {room}");
    }
    let (need, room) = (need.accelerators, room.accelerators);
    format!("{need} accelerators are needed, there are {room}")
}

/// Finaliser of splitmix64.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
