//! Relief of standing tasks from the fillers beside them.
//!
//! Load pattern: most fillers harm nobody, a few images slow a few standing
//! images many times over, and how much shifts within seconds with the load.
//! Which pairs do is learned from tails: of the fillers beside a task over its
//! target, those are suspected that have not been seen to harm its image; an
//! image that works beside calm tasks is cleared. The first suspect is moved, or
//! paced down where a move would cost too much work; the others go on.
//!
//! Inputs: tails over the last half second, as old as the last look.

use super::worker::RunKey;
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Tail over target from which a standing task is to be relieved.
pub(super) const PRESSED: f64 = 0.95;

/// Tail over target below which the fillers beside it are cleared.
const CALM: f64 = 0.7;

/// Suspicion of a pair that was not seen: few pairs harm.
const PRIOR: f64 = 0.12;

/// Suspicion that something else than a filler is the cause.
const OTHER_CAUSE: f64 = 0.03;

/// Lowest and highest suspicion, so that a pair is found when it changes.
const SUSPICION: (f64, f64) = (0.02, 0.98);

/// Weight of one observation over the target.
const BLAME: f64 = 0.6;

/// Factor of one calm observation.
const CLEARING: f64 = 0.85;

/// Suspicion from which a pair is kept apart.
pub(super) const HARMFUL: f64 = 0.4;

/// Time until an act shows in the tail: half a second of measuring and the time
/// that the worker needs, in milliseconds.
const SETTLE_MS: Millis = 650;

/// Time over the target after which all fillers beside a task are stilled, in
/// milliseconds. Half of the shortest time that it may be over it.
const LIMIT_MS: Millis = 1_900;

/// Share that a filler is paced down to before it is stopped, in percent.
const SLOW_PACE: u8 = 10;

/// Progress from which a filler without checkpoints is paced rather than stopped,
/// in percent.
const KEEP_PERCENT: u8 = 40;

/// Number of an image.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ImageId(u32);

/// A filler at work beside standing tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Filler {
    pub key: RunKey,
    pub image: ImageId,
    pub pace: u8,
    pub percent: u8,
    pub checkpoints: bool,
    /// Whether it has worked long enough to show in tails.
    pub is_settled: bool,
}

/// A standing task with a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Serving {
    pub image: ImageId,
    /// Tail over target.
    pub ratio: f64,
}

/// State of relief on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Relief {
    /// Since when some task is over its target.
    pub over_since: Option<Monotonic>,
    /// Last act.
    pub acted: Option<Monotonic>,
}

/// What is done about a filler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Act {
    /// Stop it here, to start it elsewhere.
    Move(RunKey),
    /// Give it this share of its processors, in percent.
    Pace(RunKey, u8),
}

/// How much each image of fillers is suspected to harm each standing image.
#[derive(Clone, Debug, Default)]
pub(super) struct Presses {
    images: HashMap<String, ImageId>,
    pairs: HashMap<(ImageId, ImageId), f64>,
}

impl Presses {
    /// Number of `image`, given on first sight.
    pub fn image(&mut self, image: &str) -> ImageId {
        if let Some(id) = self.images.get(image) {
            return *id;
        }
        let id = ImageId(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        self.images.insert(image.to_owned(), id);
        id
    }

    /// Number of `image`, if it was seen.
    pub fn known(&self, image: &str) -> Option<ImageId> {
        self.images.get(image).copied()
    }

    /// Suspicion that `filler` harms `standing`, between zero and one.
    pub fn suspicion(&self, filler: ImageId, standing: ImageId) -> f64 {
        let pair = self.pairs.get(&(filler, standing));
        pair.copied().unwrap_or(PRIOR)
    }

    /// Takes in the tail of a standing task beside fillers.
    pub fn observe(&mut self, serving: Serving, fillers: &[Filler]) {
        let mut beside: Vec<ImageId> = fillers
            .iter()
            .filter(|filler| filler.is_settled && filler.pace > SLOW_PACE)
            .map(|filler| filler.image)
            .collect();
        beside.sort_unstable_by_key(|image| image.0);
        beside.dedup();
        if serving.ratio < CALM {
            for image in beside {
                let value = self.suspicion(image, serving.image) * CLEARING;
                self.set(image, serving.image, value);
            }
        } else if serving.ratio > 1.0 {
            let clean: f64 = beside
                .iter()
                .map(|image| 1.0 - self.suspicion(*image, serving.image))
                .product();
            let cause = 1.0 - clean * (1.0 - OTHER_CAUSE);
            for image in beside {
                let old = self.suspicion(image, serving.image);
                let blame = (old / cause).min(1.0);
                self.set(image, serving.image, old + (blame - old) * BLAME);
            }
        }
    }

    fn set(&mut self, filler: ImageId, standing: ImageId, value: f64) {
        let value = value.clamp(SUSPICION.0, SUSPICION.1);
        self.pairs.insert((filler, standing), value);
    }

    /// What to do on a worker now.
    pub fn relieve(
        &self,
        relief: &mut Relief,
        serving: &[Serving],
        fillers: &[Filler],
        now: Monotonic,
    ) -> Vec<Act> {
        let pressed: Vec<Serving> = serving
            .iter()
            .copied()
            .filter(|serving| serving.ratio > PRESSED)
            .collect();
        if pressed.is_empty() {
            relief.over_since = None;
            return self.restore(relief, serving, fillers, now);
        }
        let since = *relief.over_since.get_or_insert(now);
        if now.since(since) >= LIMIT_MS {
            let working = fillers.iter().filter(|filler| filler.pace > 0);
            return working.map(|filler| Act::Pace(filler.key, 0)).collect();
        }
        let worst = |filler: &Filler| {
            let each = pressed.iter();
            each.map(|serving| self.suspicion(filler.image, serving.image))
                .fold(0.0, f64::max)
        };
        let mut suspects: Vec<(f64, &Filler)> = fillers
            .iter()
            .map(|filler| (worst(filler), filler))
            .collect();
        suspects.sort_by(|a, b| b.0.total_cmp(&a.0));
        let is_settling = relief
            .acted
            .is_some_and(|acted| now.since(acted) < SETTLE_MS);
        let mut acts = Vec::new();
        for (suspicion, filler) in suspects {
            let is_known = suspicion >= HARMFUL;
            if !is_known && (is_settling || !acts.is_empty()) {
                break;
            }
            if filler.pace == 0 {
                continue;
            }
            let is_cheap = filler.checkpoints || filler.percent < KEEP_PERCENT;
            acts.push(if is_known && is_cheap {
                Act::Move(filler.key)
            } else if filler.pace > SLOW_PACE {
                Act::Pace(filler.key, SLOW_PACE)
            } else {
                Act::Pace(filler.key, 0)
            });
        }
        if !acts.is_empty() {
            relief.acted = Some(now);
        }
        acts
    }

    /// Gives one paced filler its share back once all tasks beside it are calm.
    fn restore(
        &self,
        relief: &mut Relief,
        serving: &[Serving],
        fillers: &[Filler],
        now: Monotonic,
    ) -> Vec<Act> {
        let is_calm = serving.iter().all(|serving| serving.ratio < CALM);
        let is_settling = relief
            .acted
            .is_some_and(|acted| now.since(acted) < SETTLE_MS);
        if !is_calm || is_settling {
            return Vec::new();
        }
        let harm = |filler: &&Filler| {
            let each = serving.iter();
            each.map(|serving| self.suspicion(filler.image, serving.image))
                .fold(0.0, f64::max)
        };
        let paced = fillers.iter().filter(|filler| filler.pace < 100);
        let least = paced.min_by(|a, b| harm(a).total_cmp(&harm(b)));
        let Some(filler) = least else {
            return Vec::new();
        };
        relief.acted = Some(now);
        if harm(&filler) >= HARMFUL && filler.checkpoints {
            return vec![Act::Move(filler.key)];
        }
        let next = if filler.pace < SLOW_PACE {
            SLOW_PACE
        } else {
            100
        };
        vec![Act::Pace(filler.key, next)]
    }
}
