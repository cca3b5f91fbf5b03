//! Relief of standing tasks from the fillers beside them.
//!
//! Load pattern: the load of a standing task swings within seconds, and images
//! of fillers differ several times in how much they slow it. A worker's fillers
//! are paced down step by step while one of its standing tasks is near its
//! target, and get their share back when all are well below it.
//!
//! Inputs: tails over the last half second, as old as the last look.

use super::worker::Worker;
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Shares of processors that fillers are given, in percent.
const PACES: [u8; 5] = [100, 60, 30, 10, 0];

/// Tail over target above which fillers are paced down.
const PRESSED: f64 = 0.9;

/// Tail over target below which they get some of their share back.
const RELAXED: f64 = 0.6;

/// Time until a change of pace shows in the tail: half a second of measuring and
/// the time that the worker needs, in milliseconds.
const SETTLE_MS: Millis = 650;

/// How long all must be relaxed before a share is given back, in milliseconds.
const CALM_MS: Millis = 600;

/// Weight of one observation of an image.
const LEARNING: f64 = 0.1;

/// Pressure of an image that has not been seen beside a standing task.
const PRIOR: f64 = 0.5;

/// How much each image of fillers presses, between zero and one.
#[derive(Clone, Debug, Default)]
pub(super) struct Presses {
    images: HashMap<String, f64>,
}

impl Presses {
    /// Pressure of `image`.
    pub fn of(&self, image: &str) -> f64 {
        self.images.get(image).copied().unwrap_or(PRIOR)
    }

    /// Takes in that `image` was at work on a worker whose worst tail stood at
    /// `ratio` of its target.
    pub fn observe(&mut self, image: &str, ratio: f64) {
        let seen = ratio.clamp(0.0, 1.5) / 1.5;
        if let Some(value) = self.images.get_mut(image) {
            *value += (seen - *value) * LEARNING;
        } else {
            self.images.insert(image.to_owned(), PRIOR);
        }
    }
}

/// New pace of a worker's fillers after its worst tail stood at `ratio` of its
/// target; none if it stays.
pub(super) fn pace(worker: &mut Worker, ratio: f64, now: Monotonic) -> Option<u8> {
    let level = PACES.iter().position(|pace| *pace == worker.filler_pace);
    let level = level.unwrap_or(0);
    if ratio >= RELAXED {
        worker.relaxed_since = None;
    } else if worker.relaxed_since.is_none() {
        worker.relaxed_since = Some(now);
    }
    if now.since(worker.pace_changed) < SETTLE_MS && worker.pace_changed != Monotonic::default() {
        return None;
    }
    let calm = worker
        .relaxed_since
        .is_some_and(|since| now.since(since) >= CALM_MS);
    let next = if ratio > PRESSED {
        (level + 1).min(PACES.len() - 1)
    } else if calm {
        level.saturating_sub(1)
    } else {
        level
    };
    if next == level {
        return None;
    }
    worker.pace_changed = now;
    worker.filler_pace = PACES[next];
    Some(PACES[next])
}
