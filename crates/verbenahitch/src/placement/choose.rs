//! The choice of a worker for a task.
//!
//! Only a few workers are scored: those with the least free CPU that fit, and a
//! random sample of all that have enough CPU. This keeps the cost nearly
//! independent of the number of workers. If none of them is acceptable, a scan
//! through the index scores up to [`MAX_SCANNED`] workers with room.

use crate::domain::{Class, Monotonic, Resources, WorkerKey};
use crate::interference::ProfileId;

use super::eviction::{self, EvictionPlan};
use super::host::Host;
use super::index::rotation_start;
use super::placer::Placer;
use super::score::{Score, Scorer};
use super::{Choice, PlacementRequest, Reason};

const TIGHT_CANDIDATES: usize = 4;
const RANDOM_CANDIDATES: usize = 8;
const MAX_EVICTION_PLANS: usize = 48;
/// Workers with room that a scan scores before it gives up.
const MAX_SCANNED: usize = 64;
/// Fraction of the tolerated slowdown that a placement may cause on its worker.
const PRESSURE_LIMIT: f64 = 0.95;

impl Placer {
    /// Chooses a worker for the task's declared resources, without changing any state.
    pub fn choose(&self, request: &PlacementRequest, now: Monotonic) -> Choice {
        self.choose_sized(request, request.profile.resources, now)
    }

    /// Chooses a worker that can commit `need` to the task, without changing any state.
    pub fn choose_sized(
        &self,
        request: &PlacementRequest,
        need: Resources,
        now: Monotonic,
    ) -> Choice {
        if let Some(choice) = self.choose_reserved(request, need, now) {
            return choice;
        }
        if let Some(reason) = self.infeasible_reason(request, need) {
            return Choice::Infeasible(reason);
        }
        if !self.quotas.admits(&request.profile.team, need) {
            return Choice::Wait(Reason::Quota);
        }
        if let Some(worker) = self.probe_worker(request, need, now) {
            return Choice::Place {
                worker,
                runner_up: None,
                reason: Reason::Probe,
            };
        }
        self.choose_best(request, need, now)
    }

    fn choose_reserved(
        &self,
        request: &PlacementRequest,
        need: Resources,
        now: Monotonic,
    ) -> Option<Choice> {
        let reservation = self.reservations.get(&request.task)?;
        let host = self.hosts.get(reservation.worker)?;
        if reservation.until <= now || host.position.is_none() {
            return None;
        }
        if !need.fits(host.free()) {
            return Some(Choice::Wait(Reason::Promised));
        }
        Some(Choice::Place {
            worker: reservation.worker,
            runner_up: None,
            reason: Reason::BestFit,
        })
    }

    /// Reason why no worker could ever run the task, if there is one.
    fn infeasible_reason(&self, request: &PlacementRequest, need: Resources) -> Option<String> {
        let team = &request.profile.team;
        if let Some(quota) = self.quotas.total(team)
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
            .fold(Resources::ZERO, |largest, size| Resources {
                millicores: largest.millicores.max(size.millicores),
                memory_mib: largest.memory_mib.max(size.memory_mib),
                accelerators: largest.accelerators.max(size.accelerators),
            });
        if need.fits(largest) {
            return Some(format!("no single worker has all of {need:?}"));
        }
        Some(format!(
            "{} on the largest worker",
            shortfall(need, largest)
        ))
    }

    /// Quarantined worker that this task may probe.
    fn probe_worker(
        &self,
        request: &PlacementRequest,
        need: Resources,
        now: Monotonic,
    ) -> Option<WorkerKey> {
        let profile = &request.profile;
        if profile.class != Class::Batch || profile.urgent || !profile.idempotent {
            return None;
        }
        let usable = self.quarantined.iter().copied().find(|worker| {
            let host = &self.hosts[*worker];
            host.may_probe(now) && need.fits(host.room())
        });
        usable.filter(|worker| request.avoid != Some(*worker))
    }

    fn choose_best(&self, request: &PlacementRequest, need: Resources, now: Monotonic) -> Choice {
        let mut search = Search::new(self, request, need, now);
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
        if search.pressure_refused {
            return Choice::Wait(Reason::TooMuchPressure);
        }
        match self.plan_eviction(request, need, now) {
            Some((worker, plan)) => Choice::Evict {
                worker,
                evicted: plan.tasks,
            },
            None => Choice::Wait(Reason::NoRoom),
        }
    }

    /// Worker on which evicting for the task costs the least worth.
    fn plan_eviction(
        &self,
        request: &PlacementRequest,
        need: Resources,
        now: Monotonic,
    ) -> Option<(WorkerKey, EvictionPlan)> {
        if !request.profile.urgent && request.profile.class == Class::Batch {
            return None;
        }
        // The order must not depend on time, so that repeated calls for a task
        // choose the same worker until its room is free.
        let workers = self
            .index
            .ascending(Resources::ZERO, self.pseudo_random(request, 0));
        let mut best: Option<(WorkerKey, EvictionPlan)> = None;
        let mut found = 0;
        for worker in workers {
            let host = &self.hosts[worker];
            let Some(next) =
                eviction::cheapest(host, &request.profile, need, &self.eviction_budgets, now)
            else {
                continue;
            };
            found += 1;
            if best.as_ref().is_none_or(|(_, best)| next.cost < best.cost) {
                best = Some((worker, next));
            }
            if found == MAX_EVICTION_PLANS {
                break;
            }
        }
        best
    }

    /// Pseudo-random number determined by the seed, the task and `salt`.
    fn pseudo_random(&self, request: &PlacementRequest, salt: u64) -> u64 {
        use std::hash::{BuildHasher, BuildHasherDefault};
        let build = BuildHasherDefault::<rustc_hash::FxHasher>::default();
        splitmix64(build.hash_one((self.seed, request.task, salt)))
    }
}

struct Search<'a> {
    placer: &'a Placer,
    request: &'a PlacementRequest,
    need: Resources,
    scorer: Scorer<'a>,
    profile: Option<ProfileId>,
    limit: f64,
    best: Option<(WorkerKey, Score)>,
    second: Option<(WorkerKey, Score)>,
    /// Highest pressure among the scored workers.
    highest: f64,
    /// Whether a worker with room was rejected because of its pressure.
    pressure_refused: bool,
    random: u64,
}

impl<'a> Search<'a> {
    fn new(
        placer: &'a Placer,
        request: &'a PlacementRequest,
        need: Resources,
        now: Monotonic,
    ) -> Self {
        Self {
            placer,
            request,
            need,
            scorer: Scorer {
                estimator: &placer.estimator,
                profiles: &placer.profiles,
                racks: &placer.racks,
                running: &placer.running,
                overdue: is_overdue(placer, request, now),
                now,
            },
            profile: placer.profiles.id(&request.name),
            limit: pressure_limit(request),
            best: None,
            second: None,
            highest: 0.0,
            pressure_refused: false,
            random: placer.pseudo_random(request, now.0),
        }
    }

    /// Scores the tightest workers that fit and a random sample.
    fn sample(&mut self) {
        let placer = self.placer;
        let mut found = 0;
        for worker in placer
            .index
            .ascending(self.need, self.random)
            .take(4 * TIGHT_CANDIDATES)
        {
            found += usize::from(self.evaluate(worker));
            if found == TIGHT_CANDIDATES {
                break;
            }
        }
        let candidates = placer.index.candidates(self.need);
        let mut random = self.random;
        for _ in 0..RANDOM_CANDIDATES {
            random = splitmix64(random);
            if let Some(worker) = candidates.get(rotation_start(random, candidates.len())) {
                self.evaluate(worker);
            }
        }
    }

    /// Scores workers in index order until enough are acceptable or the limit is reached.
    fn scan(&mut self) {
        let placer = self.placer;
        let (mut scanned, mut accepted) = (0, 0);
        for worker in placer.index.ascending(self.need, self.random) {
            if self.evaluate(worker) {
                scanned += 1;
                accepted += usize::from(self.best.is_some());
            }
            if accepted == TIGHT_CANDIDATES || scanned == MAX_SCANNED {
                break;
            }
        }
        if let (None, Some(avoid)) = (self.best, self.request.avoid) {
            self.evaluate_avoided(avoid);
        }
    }

    /// Scores a worker if it has room and is not to be avoided; returns whether it did.
    fn evaluate(&mut self, worker: WorkerKey) -> bool {
        let host = &self.placer.hosts[worker];
        if !self.need.fits(host.room()) || self.request.avoid == Some(worker) {
            return false;
        }
        self.score_worker(worker, host);
        true
    }

    fn evaluate_avoided(&mut self, worker: WorkerKey) {
        let host = self.placer.hosts.get(worker);
        let usable = host.filter(|host| host.position.is_some() && self.need.fits(host.room()));
        if let Some(host) = usable {
            self.score_worker(worker, host);
        }
    }

    fn score_worker(&mut self, worker: WorkerKey, host: &Host) {
        let score = self
            .scorer
            .score(host, self.request, self.profile, self.need);
        self.highest = self.highest.max(score.pressure);
        if score.throttled_pressure > self.limit {
            self.pressure_refused = true;
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

/// Maximum pressure that the task may cause, as a fraction of the tolerated slowdown.
///
/// Urgent and latency-critical tasks are never held back for pressure; batch tasks
/// on their worker are throttled instead.
fn pressure_limit(request: &PlacementRequest) -> f64 {
    let unlimited = request.profile.urgent || request.profile.class == Class::LatencyCritical;
    if unlimited {
        f64::INFINITY
    } else {
        PRESSURE_LIMIT
    }
}

/// Whether a task has waited twice its deadline and was not evicted within the last hour.
///
/// The pressure of an overdue task itself is ignored, so that no task waits forever.
/// A recently evicted task must wait for lower pressure, or it would be evicted again
/// and again.
fn is_overdue(placer: &Placer, request: &PlacementRequest, now: Monotonic) -> bool {
    let is_late = request.waited_ms >= request.profile.deadline_ms.saturating_mul(2);
    is_late && placer.eviction_budgets.recent(request.task, now) == 0
}

/// Describes the first resource that is short.
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
fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
