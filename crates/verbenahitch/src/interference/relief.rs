//! Measures against interference on one worker: throttle, then evict, and
//! restore with hysteresis.
//!
//! A measure needs several reports above the limit in a row, then time to show
//! in the lagging reports. Only tasks that the estimates blame are touched. A
//! slowdown that comes back after a restoration doubles the wait before the
//! next one, so that waves of noisy tasks don't make the shares swing.

use crate::domain::{Millis, Monotonic, TaskKey, WorkerKey};

use super::ProfileId;

const HOT_REPORTS: u32 = 2;
const SMOOTHING: f64 = 0.4;
const SETTLE_MS: Millis = 4_000;
const STALE_MS: Millis = 60_000;
const FIRST_RESTORE_MS: Millis = 10_000;
const LONGEST_RESTORE_MS: Millis = 160_000;
/// Part of the tolerated slowdown below which a worker counts as calm.
const CALM_PART: f64 = 0.7;
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
    /// Smoothed ratio of its latency to its latency alone.
    pub(crate) ratio: f64,
    /// When it was last reported.
    pub(crate) heard: Option<Monotonic>,
    above: u32,
}

impl Victim {
    /// Creates a victim that was never reported.
    pub(crate) fn new(profile: ProfileId) -> Self {
        Self {
            profile,
            residents: 0,
            ratio: 1.0,
            heard: None,
            above: 0,
        }
    }

    /// Takes over a report; `limit` is the tolerated ratio.
    pub(crate) fn report(&mut self, ratio: f64, limit: f64, now: Monotonic) {
        self.ratio += SMOOTHING * (ratio - self.ratio);
        self.heard = Some(now);
        self.above = if self.ratio > limit {
            self.above + 1
        } else {
            0
        };
    }

    /// Whether it was slowed beyond its limit in several reports.
    pub(crate) fn is_hot(&self, now: Monotonic) -> bool {
        self.above >= HOT_REPORTS && self.is_fresh(now)
    }

    /// Whether its last report still counts.
    pub(crate) fn is_fresh(&self, now: Monotonic) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < STALE_MS)
    }

    /// Part of its tolerated slowdown above which the worker is not calm.
    fn is_calm(&self, limit: f64, now: Monotonic) -> bool {
        !self.is_fresh(now) || self.ratio <= 1.0 + CALM_PART * (limit - 1.0)
    }
}

/// A batch task that may be slowed or evicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    /// Position of the task on its worker.
    pub(crate) at: usize,
    /// Part of the latency alone that it adds at its present share.
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
    acted: Option<Monotonic>,
    calm: Option<Monotonic>,
    restored: Option<Monotonic>,
    restore_wait: Millis,
}

impl Default for Hold {
    fn default() -> Self {
        Self {
            acted: None,
            calm: None,
            restored: None,
            restore_wait: FIRST_RESTORE_MS,
        }
    }
}

impl Hold {
    /// Decides for one worker; `victims` come with their tolerated ratio.
    pub(crate) fn decide(
        &mut self,
        victims: &[(Victim, f64)],
        suspects: &[Suspect],
        now: Monotonic,
    ) -> Vec<Measure> {
        let excess = victims
            .iter()
            .filter(|(victim, _)| victim.is_hot(now))
            .map(|(victim, limit)| victim.ratio - limit)
            .fold(None, |most: Option<f64>, next| {
                Some(most.map_or(next, |most| most.max(next)))
            });
        match excess {
            Some(excess) => self.relieve(excess, suspects, now),
            None => self.restore(victims, suspects, now),
        }
    }

    fn relieve(&mut self, excess: f64, suspects: &[Suspect], now: Monotonic) -> Vec<Measure> {
        self.calm = None;
        if self.is_settling(now) {
            return Vec::new();
        }
        let suspects = blamed(suspects);
        let mut measures = throttles(excess, &suspects);
        if measures.is_empty() {
            measures.extend(eviction(&suspects));
        }
        if !measures.is_empty() {
            self.acted = Some(now);
            self.back_off(now);
        }
        measures
    }

    fn is_settling(&self, now: Monotonic) -> bool {
        self.acted.is_some_and(|acted| now.since(acted) < SETTLE_MS)
    }

    /// Doubles the wait when a slowdown follows a restoration.
    fn back_off(&mut self, now: Monotonic) {
        let relapsed = self.restored.take();
        if relapsed.is_some_and(|at| now.since(at) < 2 * self.restore_wait) {
            self.restore_wait = (2 * self.restore_wait).min(LONGEST_RESTORE_MS);
        }
    }

    fn restore(
        &mut self,
        victims: &[(Victim, f64)],
        suspects: &[Suspect],
        now: Monotonic,
    ) -> Vec<Measure> {
        if !victims
            .iter()
            .all(|(victim, limit)| victim.is_calm(*limit, now))
        {
            self.calm = None;
            return Vec::new();
        }
        let calm = *self.calm.get_or_insert(now);
        if now.since(calm) < self.restore_wait {
            return Vec::new();
        }
        let room = victims
            .iter()
            .map(|(victim, limit)| limit - victim.ratio)
            .fold(f64::INFINITY, f64::min);
        let Some(measure) = restoration(room, suspects) else {
            self.relax(now);
            return Vec::new();
        };
        self.calm = Some(now);
        self.restored = Some(now);
        vec![measure]
    }

    /// Halves the wait after a long calm without anything to restore.
    fn relax(&mut self, now: Monotonic) {
        self.calm = Some(now);
        self.restore_wait = (self.restore_wait / 2).max(FIRST_RESTORE_MS);
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

/// Restores the throttled task of the highest cost whose predicted pressure has room.
fn restoration(room: f64, suspects: &[Suspect]) -> Option<Measure> {
    suspects
        .iter()
        .filter(|suspect| suspect.share < 1.0)
        .map(|suspect| (suspect, (suspect.share / STEP).min(1.0)))
        .filter(|(suspect, share)| suspect.blame * (share / suspect.share - 1.0) <= room)
        .max_by(|(a, _), (b, _)| a.cost.total_cmp(&b.cost))
        .map(|(suspect, share)| Measure::Share {
            at: suspect.at,
            share,
        })
}

fn value(suspect: &Suspect) -> f64 {
    suspect.blame / suspect.cost.max(0.01)
}
