//! What the placer learns from usage, and the measures that follow.

use crate::domain::{Class, Monotonic, WorkerKey};
use crate::interference::{Hold, Measure, Observation, ProfileId, Relief, Strain, Suspect, Victim};
use crate::port::{LatencyReport, Usage};

use super::host::Host;
use super::placer::{self, Placer};
use super::score;
use super::victim;

impl Placer {
    /// Learns from a worker's lagging usage.
    pub fn observe(&mut self, worker: WorkerKey, usage: &Usage, now: Monotonic) {
        if !self.hosts.contains_key(worker) {
            return;
        }
        let measured = now - usage.age_ms;
        let units = self.learn_usage(worker, usage, measured);
        for report in &usage.latency {
            self.learn_latency(worker, report, &units, now);
        }
    }

    /// Activity of each batch profile at the time of the measurement.
    fn learn_usage(
        &mut self,
        worker: WorkerKey,
        usage: &Usage,
        measured: Monotonic,
    ) -> Vec<(ProfileId, f64)> {
        let host = &mut self.hosts[worker];
        if usage.tasks.is_empty() {
            return settled(host, measured);
        }
        let mut units = Vec::new();
        for task in &usage.tasks {
            let Some(id) = host.profile_of(task.run) else {
                continue;
            };
            if self.roster.profile(id).class != Class::Batch {
                continue;
            }
            let usages = &mut self.usages[id.index()];
            let relative = usages.relative(*task);
            add(&mut units, id, relative);
            let run = host
                .held
                .iter_mut()
                .find(|held| held.resident.run == task.run);
            if let Some(held) = run {
                held.units = relative;
                if held.share >= 1.0 && held.settled <= measured {
                    usages.learn(*task, held.resident.resources, measured);
                }
            }
        }
        host.recount();
        units
    }

    fn learn_latency(
        &mut self,
        worker: WorkerKey,
        report: &LatencyReport,
        units: &[(ProfileId, f64)],
        now: Monotonic,
    ) {
        let Some(id) = self.roster.id(&report.profile) else {
            return;
        };
        let profile = self.roster.profile(id);
        if profile.class != Class::LatencyCritical || report.count == 0 {
            return;
        }
        let latency_us = report.p99_us as f64;
        let count = report.count as f64;
        self.estimator.learn(&Observation {
            victim: id,
            latency_us,
            count,
            units,
        });
        if let Some(ratio) = self.estimator.ratio(id, latency_us, count) {
            let predicted = 1.0 + self.estimator.added(&self.roster, id, units);
            let victim = placer::victim(&mut self.hosts[worker], id);
            victim.report(ratio - predicted, now);
        }
    }

    /// What to do now against interference: throttle, restore or evict.
    ///
    /// The measures count as taken.
    pub fn relieve(&mut self, now: Monotonic) -> Vec<Relief> {
        self.estimator.refresh(&self.roster, now);
        self.budgets.prune(now);
        self.expire_claims(now);
        let workers: Vec<WorkerKey> = self.hosts.keys().collect();
        let mut reliefs = Vec::new();
        for worker in workers {
            let measures = self.decide(worker, now);
            reliefs.extend(
                measures
                    .into_iter()
                    .map(|measure| self.apply(worker, measure, now)),
            );
        }
        reliefs
    }

    fn decide(&mut self, worker: WorkerKey, now: Monotonic) -> Vec<Measure> {
        let host = &self.hosts[worker];
        if host.sources.is_empty() {
            return Vec::new();
        }
        let strains: Vec<Strain> = host
            .victims
            .iter()
            .filter(|victim| victim.residents > 0 || victim.is_fresh(now))
            .map(|victim| self.strain(host, victim, now))
            .collect();
        let suspects = self.suspects(host, now);
        let mut hold: Hold = host.hold;
        let measures = hold.decide(&strains, &suspects, now);
        self.hosts[worker].hold = hold;
        measures
    }

    fn strain(&self, host: &Host, victim: &Victim, now: Monotonic) -> Strain {
        let sources = &host.sources;
        let predicted = self.estimator.added(&self.roster, victim.profile, sources);
        let limit = self.roster.profile(victim.profile).max_slowdown;
        Strain {
            added: predicted + victim.unexplained(now),
            tolerated: score::tolerance(limit),
        }
    }

    fn suspects(&self, host: &Host, now: Monotonic) -> Vec<Suspect> {
        let held = host.held.iter().enumerate();
        held.filter(|(_, held)| held.resident.profile.class == Class::Batch)
            .filter(|(_, held)| held.leaving <= now)
            .map(|(at, held)| {
                let resident = &held.resident;
                let strongest = host
                    .victims
                    .iter()
                    .filter(|victim| victim.is_fresh(now))
                    .map(|victim| {
                        self.estimator
                            .slope(&self.roster, victim.profile, held.profile)
                    })
                    .fold(0.0, f64::max);
                Suspect {
                    at,
                    blame: strongest * held.units,
                    share: held.share,
                    min_share: resident.profile.min_share,
                    cost: victim::cost(resident, now),
                    evictable: self.budgets.allows(resident.task, &resident.profile, now),
                }
            })
            .collect()
    }

    fn apply(&mut self, worker: WorkerKey, measure: Measure, now: Monotonic) -> Relief {
        let host = &mut self.hosts[worker];
        match measure {
            Measure::Share { at, share } => {
                let held = &mut host.held[at];
                held.units *= share / held.share;
                held.share = share;
                held.settled = now + placer::SETTLE_MS;
                let task = held.resident.task;
                host.recount();
                Relief::Throttle {
                    worker,
                    task,
                    share,
                }
            }
            Measure::Evict { at } => {
                let held = &mut host.held[at];
                let task = held.resident.task;
                held.leaving =
                    now + held.resident.profile.eviction.grace_ms + placer::CLAIM_MARGIN_MS;
                self.budgets.spend(task, now);
                Relief::Evict { worker, task }
            }
        }
    }

    fn expire_claims(&mut self, now: Monotonic) {
        let lapsed = self.claims.iter().filter(|(_, claim)| claim.until <= now);
        let lapsed: Vec<_> = lapsed.map(|(task, _)| *task).collect();
        for task in lapsed {
            self.unclaim(task);
        }
    }
}

/// Activity of the tasks that ran at `measured`, when the worker reports none.
fn settled(host: &Host, measured: Monotonic) -> Vec<(ProfileId, f64)> {
    let mut units = Vec::new();
    for held in &host.held {
        let batch = held.resident.profile.class == Class::Batch;
        if batch && held.resident.since <= measured {
            add(&mut units, held.profile, held.units);
        }
    }
    units
}

fn add(units: &mut Vec<(ProfileId, f64)>, id: ProfileId, amount: f64) {
    match units.iter_mut().find(|(known, _)| *known == id) {
        Some((_, sum)) => *sum += amount,
        None => units.push((id, amount)),
    }
}
