//! Control of interference on one worker: throttle first, then evict, and restore
//! shares with hysteresis.
//!
//! The controlled variable is the slowdown that the estimates predict for the tasks
//! currently on the worker, plus the part of the measured slowdown beyond it that
//! exceeds noise. Reports of a single worker lag and are noisy; the prediction is
//! more stable and applies at once, because it combines the reports of all workers.
//!
//! The limit for placing a task is lower than that for evicting one, so that an
//! evicted task is not placed where it would be evicted again. If a slowdown returns
//! after shares were restored because the same tasks contribute more again, the wait
//! before the next restoration doubles, so that tasks with periodic load do not make
//! the shares oscillate.

use crate::domain::{Millis, Monotonic, TaskKey, WorkerKey};

use super::ProfileId;

const SMOOTHING: f64 = 0.1;
/// Standard deviations beyond which a smoothed residual counts as more than noise.
const SIGNIFICANT_DEVIATIONS: f64 = 2.5;
const INITIAL_VARIANCE: f64 = 0.04;
const ACTION_SETTLE_MS: Millis = 2_000;
const REPORT_STALE_MS: Millis = 60_000;
/// Multiple of the tolerated slowdown beyond which it counts as severe.
const SEVERE_RATIO: f64 = 1.4;
/// Time above the tolerated slowdown after which tasks are evicted if it is severe.
const SEVERE_EVICT_MS: Millis = 5_000;
/// Time above the tolerated slowdown after which tasks are evicted otherwise.
const EVICT_MS: Millis = 20_000;
const MIN_RESTORE_WAIT_MS: Millis = 5_000;
/// Time after a restoration within which a slowdown may count as a relapse.
const RELAPSE_MS: Millis = 120_000;
/// Growth of the largest unthrottled contribution from which a slowdown is a relapse.
const RELAPSE_RATIO: f64 = 1.5;
const MAX_RESTORE_WAIT_MS: Millis = 160_000;
/// Fraction of the tolerated slowdown up to which shares may be restored.
const CALM_RATIO: f64 = 0.85;
/// Fraction of the tolerated slowdown that throttling and restoring aim at.
const TARGET_RATIO: f64 = 0.95;
/// Minimum fraction of the baseline latency that a task adds to count as a contributor.
const MIN_CONTRIBUTION: f64 = 0.01;
/// Minimum contribution of a contributor, relative to the largest one.
const MIN_CONTRIBUTION_RATIO: f64 = 0.25;
/// Factor by which a share is reduced, and its inverse by which it is restored.
const SHARE_STEP: f64 = 0.5;

/// An action against interference, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Mitigation {
    /// Change the CPU share of a task.
    Throttle {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// New share, above 0.0 and at most 1.0.
        share: f64,
    },
    /// Evict a task.
    Evict {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
    },
}

/// A latency-critical profile that is served on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    /// Profile.
    pub(crate) profile: ProfileId,
    /// Number of its tasks on the worker; zero if only the upstream's reports name it.
    pub(crate) task_count: u32,
    reported_at: Option<Monotonic>,
    /// Smoothed difference between the measured and the predicted latency ratio.
    residual: f64,
    variance: f64,
}

impl Victim {
    /// Creates a victim without reports.
    pub(crate) fn new(profile: ProfileId) -> Self {
        Self {
            profile,
            task_count: 0,
            reported_at: None,
            residual: 0.0,
            variance: INITIAL_VARIANCE,
        }
    }

    /// Updates the statistics with the difference between a measured and a predicted ratio.
    pub(crate) fn record_residual(&mut self, residual: f64, now: Monotonic) {
        let change = residual - self.residual;
        self.residual += SMOOTHING * change;
        self.variance += SMOOTHING * (change * change - self.variance);
        self.reported_at = Some(now);
    }

    /// Whether the last report is recent enough to count.
    pub(crate) fn is_fresh(&self, now: Monotonic) -> bool {
        self.reported_at
            .is_some_and(|reported_at| now.since(reported_at) < REPORT_STALE_MS)
    }

    /// Part of the smoothed residual that exceeds noise, zero without a recent report.
    pub(crate) fn unexplained(&self, now: Monotonic) -> f64 {
        if !self.is_fresh(now) {
            return 0.0;
        }
        let deviation = (self.variance * SMOOTHING / (2.0 - SMOOTHING)).sqrt();
        let noise = SIGNIFICANT_DEVIATIONS * deviation;
        self.residual - self.residual.clamp(-noise, noise)
    }
}

/// Slowdown of a latency-critical profile on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    /// Fraction of the baseline latency that is added now.
    pub(crate) added: f64,
    /// Fraction of the baseline latency that may be added.
    pub(crate) tolerated: f64,
}

/// A batch task that may be throttled or evicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    /// Position of the task among the worker's residents.
    pub(crate) at: usize,
    /// Largest fraction of a victim's baseline latency that it adds at its current share.
    pub(crate) contribution: f64,
    /// Current CPU share.
    pub(crate) share: f64,
    /// Minimum share that its profile allows.
    pub(crate) min_share: f64,
    /// Worth that is lost if it is evicted.
    pub(crate) cost: f64,
    /// Whether it may be evicted.
    pub(crate) evictable: bool,
}

/// An action on one task of the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    /// Change its CPU share.
    SetShare {
        /// Position of the task among the worker's residents.
        at: usize,
        /// New share.
        share: f64,
    },
    /// Evict it.
    Evict {
        /// Position of the task among the worker's residents.
        at: usize,
    },
}

/// Decides on actions for one worker and keeps the state between decisions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Controller {
    exceeded_since: Option<Monotonic>,
    acted_at: Option<Monotonic>,
    calm_since: Option<Monotonic>,
    /// Time of the last restoration, and the largest unthrottled contribution of a task then.
    last_restore: Option<(Monotonic, f64)>,
    restore_wait: Millis,
}

impl Default for Controller {
    fn default() -> Self {
        Self {
            exceeded_since: None,
            acted_at: None,
            calm_since: None,
            last_restore: None,
            restore_wait: MIN_RESTORE_WAIT_MS,
        }
    }
}

impl Controller {
    /// Decides on actions for the worker's current slowdowns.
    pub(crate) fn decide(
        &mut self,
        slowdowns: &[Slowdown],
        suspects: &[Suspect],
        now: Monotonic,
    ) -> Vec<Action> {
        let worst = slowdowns
            .iter()
            .max_by(|a, b| a.excess().total_cmp(&b.excess()));
        let Some(worst) = worst else {
            return self.restore(f64::INFINITY, suspects, now);
        };
        if worst.excess() > 0.0 {
            return self.reduce(worst, suspects, now);
        }
        self.exceeded_since = None;
        if worst.added > CALM_RATIO * worst.tolerated {
            self.calm_since = None;
            return Vec::new();
        }
        self.restore(worst.headroom(), suspects, now)
    }

    fn reduce(&mut self, worst: &Slowdown, suspects: &[Suspect], now: Monotonic) -> Vec<Action> {
        self.calm_since = None;
        let exceeded_since = *self.exceeded_since.get_or_insert(now);
        let suspects = contributors(suspects);
        let mut actions = throttles(-worst.headroom(), &suspects);
        let severe = worst.added > SEVERE_RATIO * worst.tolerated;
        let eviction_delay = if severe { SEVERE_EVICT_MS } else { EVICT_MS };
        let due = now.since(exceeded_since) >= eviction_delay && !self.is_settling(now);
        if actions.is_empty() && due {
            actions.extend(eviction(&suspects));
        }
        if !actions.is_empty() {
            self.acted_at = Some(now);
            self.back_off(largest_contribution(&suspects), now);
        }
        actions
    }

    fn is_settling(&self, now: Monotonic) -> bool {
        self.acted_at
            .is_some_and(|acted_at| now.since(acted_at) < ACTION_SETTLE_MS)
    }

    /// Doubles the wait if the contribution has grown since a recent restoration.
    fn back_off(&mut self, contribution: f64, now: Monotonic) {
        let Some((at, before)) = self.last_restore else {
            return;
        };
        if now.since(at) < RELAPSE_MS && contribution > RELAPSE_RATIO * before {
            self.last_restore = None;
            self.restore_wait = (2 * self.restore_wait).min(MAX_RESTORE_WAIT_MS);
        }
    }

    fn restore(&mut self, headroom: f64, suspects: &[Suspect], now: Monotonic) -> Vec<Action> {
        let calm_since = *self.calm_since.get_or_insert(now);
        if now.since(calm_since) < self.restore_wait {
            return Vec::new();
        }
        let actions = restorations(headroom, suspects);
        if actions.is_empty() {
            self.halve_wait(now);
            return actions;
        }
        self.calm_since = Some(now);
        self.last_restore = Some((now, largest_contribution(suspects)));
        actions
    }

    /// Halves the wait after a long time without actions.
    fn halve_wait(&mut self, now: Monotonic) {
        let acted_at = self.acted_at.max(self.last_restore.map(|(at, _)| at));
        if acted_at.is_some_and(|at| now.since(at) < RELAPSE_MS) {
            return;
        }
        self.acted_at = Some(now);
        self.restore_wait = (self.restore_wait / 2).max(MIN_RESTORE_WAIT_MS);
    }
}

impl Slowdown {
    fn excess(&self) -> f64 {
        self.added - self.tolerated
    }

    fn headroom(&self) -> f64 {
        TARGET_RATIO * self.tolerated - self.added
    }
}

/// Tasks that contribute significantly to the slowdown.
fn contributors(suspects: &[Suspect]) -> Vec<Suspect> {
    let contributions = suspects.iter().map(|suspect| suspect.contribution);
    let min_contribution =
        MIN_CONTRIBUTION.max(MIN_CONTRIBUTION_RATIO * contributions.fold(0.0, f64::max));
    let mut contributors = suspects.to_vec();
    contributors.retain(|suspect| suspect.contribution >= min_contribution);
    contributors
}

/// Throttles the tasks with the highest benefit until their reductions cover `excess`.
fn throttles(mut excess: f64, suspects: &[Suspect]) -> Vec<Action> {
    let mut order: Vec<&Suspect> = suspects
        .iter()
        .filter(|suspect| suspect.share > suspect.min_share)
        .collect();
    order.sort_by(|a, b| benefit(b).total_cmp(&benefit(a)));
    let mut actions = Vec::new();
    for suspect in order {
        if excess <= 0.0 {
            break;
        }
        let share = (suspect.share * SHARE_STEP).max(suspect.min_share);
        excess -= suspect.contribution * (1.0 - share / suspect.share);
        let at = suspect.at;
        actions.push(Action::SetShare { at, share });
    }
    actions
}

/// Evicts the task with the highest benefit.
fn eviction(suspects: &[Suspect]) -> Option<Action> {
    suspects
        .iter()
        .filter(|suspect| suspect.evictable)
        .max_by(|a, b| benefit(a).total_cmp(&benefit(b)))
        .map(|suspect| Action::Evict { at: suspect.at })
}

/// Restores shares within `headroom`, starting with the tasks of the lowest benefit.
fn restorations(mut headroom: f64, suspects: &[Suspect]) -> Vec<Action> {
    let mut order: Vec<&Suspect> = suspects
        .iter()
        .filter(|suspect| suspect.share < 1.0)
        .collect();
    order.sort_by(|a, b| benefit(a).total_cmp(&benefit(b)));
    let mut actions = Vec::new();
    for suspect in order {
        let share = (suspect.share / SHARE_STEP).min(1.0);
        let added = suspect.contribution * (share / suspect.share - 1.0);
        if added <= headroom {
            headroom -= added;
            let at = suspect.at;
            actions.push(Action::SetShare { at, share });
        }
    }
    actions
}

/// Largest contribution that any of the tasks would have unthrottled.
fn largest_contribution(suspects: &[Suspect]) -> f64 {
    let contributions = suspects
        .iter()
        .map(|suspect| suspect.contribution / suspect.share);
    contributions.fold(0.0, f64::max)
}

/// Contribution of a task relative to the cost of evicting it.
fn benefit(suspect: &Suspect) -> f64 {
    suspect.contribution / suspect.cost.max(0.01)
}
