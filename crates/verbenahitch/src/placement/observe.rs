//! Updates estimates from workers' usage reports and decides on actions against
//! interference.

use crate::domain::{Class, Monotonic, WorkerKey};
use crate::interference::{
    Action, Controller, Mitigation, Observation, ProfileId, Slowdown, Suspect, Victim,
};
use crate::port::{LatencyReport, Usage};

use super::eviction;
use super::host::Host;
use super::placer::{self, Placer};
use super::score;

impl Placer {
    /// Updates the estimates with a worker's usage report, which was measured
    /// `usage.age_ms` before `now`.
    pub fn observe(&mut self, worker: WorkerKey, usage: &Usage, now: Monotonic) {
        if !self.hosts.contains_key(worker) {
            return;
        }
        let measured = now - usage.age_ms;
        let activity = self.learn_usage(worker, usage, measured);
        for report in &usage.latency {
            self.learn_latency(worker, report, &activity, now);
        }
    }

    /// Updates usage statistics; returns the activity (CPU use relative to typical tasks) of
    /// each batch profile at the time of the measurement.
    fn learn_usage(
        &mut self,
        worker: WorkerKey,
        usage: &Usage,
        measured: Monotonic,
    ) -> Vec<(ProfileId, f64)> {
        let host = &mut self.hosts[worker];
        if usage.tasks.is_empty() {
            return last_activity(host, measured);
        }
        let mut activity = Vec::new();
        for task in &usage.tasks {
            let Some(id) = host.profile_of(task.run) else {
                continue;
            };
            if self.profiles.profile(id).class != Class::Batch {
                continue;
            }
            let stats = &mut self.usage_stats[id.index()];
            let relative = stats.relative(*task);
            add_activity(&mut activity, id, relative);
            let run = host
                .residents
                .iter_mut()
                .find(|entry| entry.resident.run == task.run);
            if let Some(entry) = run {
                entry.activity = relative;
                if entry.share >= 1.0 && entry.settled_at <= measured {
                    stats.learn(*task, entry.resident.resources, measured);
                }
            }
        }
        host.recompute_sums();
        activity
    }

    fn learn_latency(
        &mut self,
        worker: WorkerKey,
        report: &LatencyReport,
        activity: &[(ProfileId, f64)],
        now: Monotonic,
    ) {
        let Some(id) = self.profiles.id(&report.profile) else {
            return;
        };
        let profile = self.profiles.profile(id);
        if profile.class != Class::LatencyCritical || report.count == 0 {
            return;
        }
        let latency_us = report.p99_us as f64;
        let count = report.count as f64;
        self.estimator.learn(&Observation {
            victim: id,
            latency_us,
            count,
            activity,
        });
        if let Some(ratio) = self.estimator.ratio(id, latency_us, count) {
            let predicted = 1.0 + self.estimator.added(&self.profiles, id, activity);
            let victim = placer::victim_entry(&mut self.hosts[worker], id);
            victim.record_residual(ratio - predicted, now);
        }
    }

    /// Actions to take against interference: change CPU shares or evict.
    ///
    /// The placer's state assumes that the caller carries them out.
    pub fn mitigate(&mut self, now: Monotonic) -> Vec<Mitigation> {
        self.estimator.refresh(&self.profiles, now);
        self.eviction_budgets.prune(now);
        self.expire_reservations(now);
        let workers: Vec<WorkerKey> = self.hosts.keys().collect();
        let mut mitigations = Vec::new();
        for worker in workers {
            let actions = self.decide(worker, now);
            mitigations.extend(
                actions
                    .into_iter()
                    .map(|action| self.record_action(worker, action, now)),
            );
        }
        mitigations
    }

    fn decide(&mut self, worker: WorkerKey, now: Monotonic) -> Vec<Action> {
        let host = &self.hosts[worker];
        if host.sources.is_empty() {
            return Vec::new();
        }
        let slowdowns: Vec<Slowdown> = host
            .victims
            .iter()
            .filter(|victim| victim.task_count > 0 || victim.is_fresh(now))
            .map(|victim| self.slowdown(host, victim, now))
            .collect();
        let suspects = self.suspects(host, now);
        let mut controller: Controller = host.controller;
        let actions = controller.decide(&slowdowns, &suspects, now);
        self.hosts[worker].controller = controller;
        actions
    }

    fn slowdown(&self, host: &Host, victim: &Victim, now: Monotonic) -> Slowdown {
        let sources = &host.sources;
        let predicted = self
            .estimator
            .added(&self.profiles, victim.profile, sources);
        let max_slowdown = self.profiles.profile(victim.profile).max_slowdown;
        Slowdown {
            added: predicted + victim.unexplained(now),
            tolerated: score::tolerance(max_slowdown),
        }
    }

    fn suspects(&self, host: &Host, now: Monotonic) -> Vec<Suspect> {
        let entries = host.residents.iter().enumerate();
        entries
            .filter(|(_, entry)| entry.resident.profile.class == Class::Batch)
            .filter(|(_, entry)| entry.stopping_until <= now)
            .map(|(at, entry)| {
                let resident = &entry.resident;
                let max_slope = host
                    .victims
                    .iter()
                    .filter(|victim| victim.is_fresh(now))
                    .map(|victim| {
                        self.estimator
                            .slope(&self.profiles, victim.profile, entry.profile)
                    })
                    .fold(0.0, f64::max);
                Suspect {
                    at,
                    contribution: max_slope * entry.activity,
                    share: entry.share,
                    min_share: resident.profile.min_share,
                    cost: eviction::cost(resident, now),
                    evictable: self
                        .eviction_budgets
                        .allows(resident.task, &resident.profile, now),
                }
            })
            .collect()
    }

    fn record_action(&mut self, worker: WorkerKey, action: Action, now: Monotonic) -> Mitigation {
        let host = &mut self.hosts[worker];
        match action {
            Action::SetShare { at, share } => {
                let entry = &mut host.residents[at];
                entry.activity *= share / entry.share;
                entry.share = share;
                entry.settled_at = now + placer::USAGE_SETTLE_MS;
                let task = entry.resident.task;
                host.recompute_sums();
                Mitigation::Throttle {
                    worker,
                    task,
                    share,
                }
            }
            Action::Evict { at } => {
                let entry = &mut host.residents[at];
                let task = entry.resident.task;
                entry.stopping_until =
                    now + entry.resident.profile.eviction.grace_ms + placer::RESERVATION_MARGIN_MS;
                self.eviction_budgets.record(task, now);
                Mitigation::Evict { worker, task }
            }
        }
    }

    fn expire_reservations(&mut self, now: Monotonic) {
        let expired = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.until <= now);
        let expired: Vec<_> = expired.map(|(task, _)| *task).collect();
        for task in expired {
            self.cancel_reservation(task);
        }
    }
}

/// Last known activity of the tasks that ran at `measured`, for a report without task usage.
fn last_activity(host: &Host, measured: Monotonic) -> Vec<(ProfileId, f64)> {
    let mut activity = Vec::new();
    for entry in &host.residents {
        let batch = entry.resident.profile.class == Class::Batch;
        if batch && entry.resident.since <= measured {
            add_activity(&mut activity, entry.profile, entry.activity);
        }
    }
    activity
}

fn add_activity(activity: &mut Vec<(ProfileId, f64)>, id: ProfileId, amount: f64) {
    match activity.iter_mut().find(|(profile, _)| *profile == id) {
        Some((_, sum)) => *sum += amount,
        None => activity.push((id, amount)),
    }
}
