//! Measures against interference on one worker: throttle, then evict, and
//! restore with hysteresis.
//!
//! What counts is the slowdown that the estimates predict for the tasks that are
//! on the worker now, and that part of the measured one beyond it which is
//! more than noise. Reports lag and are noisy; the prediction is neither,
//! since it rests on the reports of all workers.
//!
//! Between the limit for placing a task and that for evicting one lies a gap,
//! so that an evicted task is not placed where it would be evicted again. A
//! slowdown that comes back after a restoration because the same work presses
//! harder again doubles the wait before the next one, so that waves of noisy
//! tasks don't make the shares swing.

use crate::domain::{Millis, Monotonic, TaskKey, WorkerKey};

use super::ProfileId;

const SMOOTHING: f64 = 0.1;
/// Standard deviations above which a mean is more than noise.
const SIGNIFICANT: f64 = 2.5;
const FIRST_VARIANCE: f64 = 0.04;
const SETTLE_MS: Millis = 2_000;
const STALE_MS: Millis = 60_000;
/// Part of the tolerated slowdown beyond which tasks are evicted early.
const EVICT_PART: f64 = 1.4;
/// Time above that part after which tasks are evicted.
const EVICT_EARLY_MS: Millis = 5_000;
/// Time above the tolerated slowdown after which tasks are evicted.
const EVICT_MS: Millis = 20_000;
const FIRST_RESTORE_MS: Millis = 5_000;
/// Time after a restoration in which a slowdown may be its relapse.
const RELAPSE_MS: Millis = 120_000;
/// Growth of the blame of unthrottled tasks that makes a slowdown a relapse.
const RELAPSE_RATIO: f64 = 1.5;
const LONGEST_RESTORE_MS: Millis = 160_000;
/// Part of the tolerated slowdown below which a worker counts as calm.
const CALM_PART: f64 = 0.85;
/// Part of the tolerated slowdown that throttled and restored shares aim at.
const AIM_PART: f64 = 0.95;
/// Least part of its latency alone that a task must add to be blamed.
const LEAST_BLAME: f64 = 0.01;
/// Least part of the most blamed task's blame that a task must carry to be blamed.
const BLAME_PART: f64 = 0.25;
const STEP: f64 = 0.5;

/// A measure against interference on one worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Relief {
    /// Change the share of processors of a task.
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

/// A latency-critical profile that answers on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    /// Profile.
    pub(crate) profile: ProfileId,
    /// Its tasks here; zero if only the upstream's reports name it.
    pub(crate) residents: u32,
    heard: Option<Monotonic>,
    /// Smoothed difference between the measured and the predicted ratio.
    surplus: f64,
    variance: f64,
}

impl Victim {
    /// Creates a victim that was never reported.
    pub(crate) fn new(profile: ProfileId) -> Self {
        Self {
            profile,
            residents: 0,
            heard: None,
            surplus: 0.0,
            variance: FIRST_VARIANCE,
        }
    }

    /// Takes over a report: by how much the measured ratio exceeds the predicted one.
    pub(crate) fn report(&mut self, surplus: f64, now: Monotonic) {
        let change = surplus - self.surplus;
        self.surplus += SMOOTHING * change;
        self.variance += SMOOTHING * (change * change - self.variance);
        self.heard = Some(now);
    }

    /// Whether its last report still counts.
    pub(crate) fn is_fresh(&self, now: Monotonic) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < STALE_MS)
    }

    /// Difference between the measured and the predicted slowdown that is more than noise.
    pub(crate) fn unexplained(&self, now: Monotonic) -> f64 {
        if !self.is_fresh(now) {
            return 0.0;
        }
        let deviation = (self.variance * SMOOTHING / (2.0 - SMOOTHING)).sqrt();
        let noise = SIGNIFICANT * deviation;
        self.surplus - self.surplus.clamp(-noise, noise)
    }
}

/// Slowdown of a latency-critical profile on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strain {
    /// Part of its latency alone that is added now.
    pub(crate) added: f64,
    /// Part that is tolerated.
    pub(crate) tolerated: f64,
}

/// A batch task that may be slowed or evicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    /// Position of the task on its worker.
    pub(crate) at: usize,
    /// Largest part of a victim's latency alone that it adds at its present share.
    pub(crate) blame: f64,
    /// Its present share of processors.
    pub(crate) share: f64,
    /// Least share that its profile allows.
    pub(crate) min_share: f64,
    /// Worth that is lost with it.
    pub(crate) cost: f64,
    /// Whether it may be evicted.
    pub(crate) evictable: bool,
}

/// What to do about one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Measure {
    /// Change its share.
    Share {
        /// Position of the task on its worker.
        at: usize,
        /// New share.
        share: f64,
    },
    /// Evict it.
    Evict {
        /// Position of the task on its worker.
        at: usize,
    },
}

/// State of the measures on one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    hot: Option<Monotonic>,
    acted: Option<Monotonic>,
    calm: Option<Monotonic>,
    /// When shares were last restored, and the largest blame of an unthrottled task then.
    restored: Option<(Monotonic, f64)>,
    restore_wait: Millis,
}

impl Default for Hold {
    fn default() -> Self {
        Self {
            hot: None,
            acted: None,
            calm: None,
            restored: None,
            restore_wait: FIRST_RESTORE_MS,
        }
    }
}

impl Hold {
    /// Decides for one worker.
    pub(crate) fn decide(
        &mut self,
        strains: &[Strain],
        suspects: &[Suspect],
        now: Monotonic,
    ) -> Vec<Measure> {
        let worst = strains
            .iter()
            .max_by(|a, b| a.excess().total_cmp(&b.excess()));
        let Some(worst) = worst else {
            return self.restore(f64::INFINITY, suspects, now);
        };
        if worst.excess() > 0.0 {
            return self.relieve(worst, suspects, now);
        }
        self.hot = None;
        if worst.added > CALM_PART * worst.tolerated {
            self.calm = None;
            return Vec::new();
        }
        self.restore(worst.room(), suspects, now)
    }

    fn relieve(&mut self, worst: &Strain, suspects: &[Suspect], now: Monotonic) -> Vec<Measure> {
        self.calm = None;
        let hot = *self.hot.get_or_insert(now);
        let suspects = blamed(suspects);
        let mut measures = throttles(-worst.room(), &suspects);
        let severe = worst.added > EVICT_PART * worst.tolerated;
        let patience = if severe { EVICT_EARLY_MS } else { EVICT_MS };
        let due = now.since(hot) >= patience && !self.is_settling(now);
        if measures.is_empty() && due {
            measures.extend(eviction(&suspects));
        }
        if !measures.is_empty() {
            self.acted = Some(now);
            self.back_off(heaviest(&suspects), now);
        }
        measures
    }

    fn is_settling(&self, now: Monotonic) -> bool {
        self.acted.is_some_and(|acted| now.since(acted) < SETTLE_MS)
    }

    /// Doubles the wait when the same work presses harder after a restoration.
    fn back_off(&mut self, blame: f64, now: Monotonic) {
        let Some((at, before)) = self.restored else {
            return;
        };
        if now.since(at) < RELAPSE_MS && blame > RELAPSE_RATIO * before {
            self.restored = None;
            self.restore_wait = (2 * self.restore_wait).min(LONGEST_RESTORE_MS);
        }
    }

    fn restore(&mut self, room: f64, suspects: &[Suspect], now: Monotonic) -> Vec<Measure> {
        let calm = *self.calm.get_or_insert(now);
        if now.since(calm) < self.restore_wait {
            return Vec::new();
        }
        let measures = restorations(room, suspects);
        if measures.is_empty() {
            self.relax(now);
            return measures;
        }
        self.calm = Some(now);
        self.restored = Some((now, heaviest(suspects)));
        measures
    }

    /// Halves the wait after a long calm without any measure.
    fn relax(&mut self, now: Monotonic) {
        let acted = self.acted.max(self.restored.map(|(at, _)| at));
        if acted.is_some_and(|at| now.since(at) < RELAPSE_MS) {
            return;
        }
        self.acted = Some(now);
        self.restore_wait = (self.restore_wait / 2).max(FIRST_RESTORE_MS);
    }
}

impl Strain {
    fn excess(&self) -> f64 {
        self.added - self.tolerated
    }

    fn room(&self) -> f64 {
        AIM_PART * self.tolerated - self.added
    }
}

/// Tasks that carry a fair part of the slowdown.
fn blamed(suspects: &[Suspect]) -> Vec<Suspect> {
    let blames = suspects.iter().map(|suspect| suspect.blame);
    let least = LEAST_BLAME.max(BLAME_PART * blames.fold(0.0, f64::max));
    let mut blamed = suspects.to_vec();
    blamed.retain(|suspect| suspect.blame >= least);
    blamed
}

/// Throttles the tasks that add most for their cost until `excess` is made up for.
fn throttles(mut excess: f64, suspects: &[Suspect]) -> Vec<Measure> {
    let mut order: Vec<&Suspect> = suspects
        .iter()
        .filter(|suspect| suspect.share > suspect.min_share)
        .collect();
    order.sort_by(|a, b| value(b).total_cmp(&value(a)));
    let mut measures = Vec::new();
    for suspect in order {
        if excess <= 0.0 {
            break;
        }
        let share = (suspect.share * STEP).max(suspect.min_share);
        excess -= suspect.blame * (1.0 - share / suspect.share);
        let at = suspect.at;
        measures.push(Measure::Share { at, share });
    }
    measures
}

/// Evicts the task that adds most for its cost.
fn eviction(suspects: &[Suspect]) -> Option<Measure> {
    suspects
        .iter()
        .filter(|suspect| suspect.evictable)
        .max_by(|a, b| value(a).total_cmp(&value(b)))
        .map(|suspect| Measure::Evict { at: suspect.at })
}

/// Restores throttled tasks, the most costly first, as far as the predicted pressure has room.
fn restorations(mut room: f64, suspects: &[Suspect]) -> Vec<Measure> {
    let mut order: Vec<&Suspect> = suspects
        .iter()
        .filter(|suspect| suspect.share < 1.0)
        .collect();
    order.sort_by(|a, b| value(a).total_cmp(&value(b)));
    let mut measures = Vec::new();
    for suspect in order {
        let share = (suspect.share / STEP).min(1.0);
        let added = suspect.blame * (share / suspect.share - 1.0);
        if added <= room {
            room -= added;
            let at = suspect.at;
            measures.push(Measure::Share { at, share });
        }
    }
    measures
}

/// Largest blame that a task would have unthrottled.
fn heaviest(suspects: &[Suspect]) -> f64 {
    let blames = suspects.iter().map(|suspect| suspect.blame / suspect.share);
    blames.fold(0.0, f64::max)
}

fn value(suspect: &Suspect) -> f64 {
    suspect.blame / suspect.cost.max(0.01)
}
