//! Relief of standing tasks from the fillers beside them.
//!
//! Load pattern: most fillers harm nobody, a few images slow a few standing
//! images many times over, the more the larger they are, and how much shifts
//! within seconds with the load. For each pair of images a pressure is learned:
//! the logarithm by which a tail grows for a whole worker's processors in use by
//! the filler. Fillers are placed where the sum stays small. Beside a task over
//! its target the fillers that press most are moved, or paced down where a move
//! would cost too much work; the others go on.
//!
//! Inputs: tails and processors in use over the last half second, as old as the
//! last look.

use serde::{Deserialize, Serialize};

use super::worker::RunKey;
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

/// Tail over target from which a standing task is to be relieved.
const PRESSED: f64 = 0.95;

/// Tail over target that relief aims at.
const RELIEVED: f64 = 0.75;

/// Tail over target up to which a paced filler gets its share back, by what its
/// pressure is known to add.
const RESTORED: f64 = 0.85;

/// Tail over target below which a paced filler gets some of its share back
/// whatever is known of it.
const CALM: f64 = 0.5;

/// Tail over target of an image alone, before it was seen.
const BASE: f64 = 0.42;

/// Pressure of a pair that was not seen: few pairs harm.
const PRIOR: f64 = 0.4;

/// Highest pressure, at which a twentieth of a worker doubles a tail.
const PRESSURE_MAX: f64 = 14.0;

/// Share of the error that one observation corrects.
const LEARNING: f64 = 0.2;

/// Weight of the tail alone among what an observation corrects; a worker's fillers
/// weigh about a tenth.
const BASE_WEIGHT: f64 = 0.02;

/// Largest error that one observation counts, as a logarithm.
const ERROR_MAX: f64 = 2.0;

/// Least tail over target that is told from a smaller one.
const RATIO_MIN: f64 = 0.15;

/// Growth of a tail up to which fillers are placed beside a task, as a logarithm:
/// a task at a usual peak of its load then stays near its target.
pub(super) const GROWTH_LIMIT: f64 = 0.25;

/// Tail over target up to which fillers are placed beside a task, by what they are
/// expected to add.
pub(super) const PLACED: f64 = 0.7;

/// Tail over target without fillers from which a task costs nothing to be beside.
pub(super) const UNPRESSED: f64 = 0.4;

/// Pressure from which a pair is reported as harmful: an eighth of a worker brings
/// the growth to the limit.
const HARMFUL: f64 = 2.5;

/// Time until an act shows in the tail: half a second of measuring and the time
/// that the worker needs, in milliseconds.
const SETTLE_MS: Millis = 650;

/// Time over the target after which all fillers beside a task are stilled, in
/// milliseconds. Half of the shortest time that it may be over it.
const LIMIT_MS: Millis = 1_900;

/// Share that a filler is paced down to before it is stilled, in percent.
const SLOW_PACE: u8 = 10;

/// Progress from which a filler without checkpoints is paced rather than stopped,
/// in percent.
const KEEP_PERCENT: u8 = 40;

/// Growth that a filler must cause to be acted on, as a logarithm.
const GROWTH_MIN: f64 = 0.1;

/// Number of an image.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ImageId(u32);

/// A filler at work beside standing tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Filler {
    pub key: RunKey,
    pub image: ImageId,
    /// Share of the worker's processors that it uses at full pace.
    pub share: f64,
    pub pace: u8,
    pub percent: u8,
    pub checkpoints: bool,
    /// Whether it has worked long enough at its pace to show in tails.
    pub is_settled: bool,
}

impl Filler {
    fn paced_share(&self) -> f64 {
        self.share * f64::from(self.pace) / 100.0
    }
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
    /// Last act, or end of a filler.
    pub changed: Option<Monotonic>,
}

impl Relief {
    /// Whether tails still show what was beside them before the last change.
    pub fn is_settling(&self, now: Monotonic) -> bool {
        self.changed.is_some_and(|at| now.since(at) < SETTLE_MS)
    }
}

/// What is done about a filler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Act {
    /// Stop it here, to start it elsewhere.
    Move(RunKey),
    /// Give it this share of its processors, in percent.
    Pace(RunKey, u8),
}

/// A learned pressure, as it is kept over a change of owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pressure(
    /// Image of the filler.
    pub String,
    /// Image of the standing task.
    pub String,
    /// Growth of the tail for a whole worker, as a logarithm.
    pub f64,
);

/// How much each image of fillers presses on each standing image.
#[derive(Clone, Debug, Default)]
pub(super) struct Presses {
    images: HashMap<String, ImageId>,
    names: Vec<String>,
    pairs: HashMap<(ImageId, ImageId), f64>,
    /// Logarithm of tail over target alone.
    bases: HashMap<ImageId, f64>,
}

impl Presses {
    /// Number of `image`, given on first sight.
    pub fn image(&mut self, image: &str) -> ImageId {
        if let Some(id) = self.images.get(image) {
            return *id;
        }
        let id = ImageId(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        self.images.insert(image.to_owned(), id);
        self.names.push(image.to_owned());
        id
    }

    /// Pressure of `filler` on `standing`.
    pub fn pressure(&self, filler: ImageId, standing: ImageId) -> f64 {
        let pair = self.pairs.get(&(filler, standing));
        pair.copied().unwrap_or(PRIOR)
    }

    /// How widely `filler` harms, between zero and one: its mean pressure on the
    /// standing images that were seen, as a part of a harmful one.
    pub fn weight(&self, filler: ImageId) -> f64 {
        let mut sum = 0.0;
        let mut count = 0u32;
        for standing in self.bases.keys() {
            sum += self.pressure(filler, *standing);
            count += 1;
        }
        if count == 0 {
            return 0.0;
        }
        (sum / f64::from(count) / HARMFUL).min(1.0)
    }

    /// Pressures that were learned.
    pub fn learned(&self) -> Vec<Pressure> {
        let mut learned: Vec<Pressure> = self
            .pairs
            .iter()
            .map(|((filler, standing), value)| {
                let name = |image: &ImageId| self.name(*image).to_owned();
                Pressure(
                    name(filler),
                    name(standing),
                    (value * 100.0).round() / 100.0,
                )
            })
            .collect();
        learned.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
        learned
    }

    /// Takes in what an earlier owner has learned.
    pub fn relearn(&mut self, learned: &[Pressure]) {
        for Pressure(filler, standing, value) in learned {
            let pair = (self.image(filler), self.image(standing));
            self.pairs.insert(pair, value.clamp(0.0, PRESSURE_MAX));
        }
    }

    /// Takes in the tail of a standing task beside fillers that have settled.
    pub fn observe(&mut self, serving: Serving, fillers: &[Filler]) {
        let mut shares: HashMap<ImageId, f64> = HashMap::default();
        for filler in fillers {
            *shares.entry(filler.image).or_default() += filler.paced_share();
        }
        let base = self.base(serving.image);
        let growth: f64 = shares
            .iter()
            .map(|(image, share)| self.pressure(*image, serving.image) * share)
            .sum();
        let seen = serving.ratio.max(RATIO_MIN).ln();
        let error = (seen - base - growth).clamp(-ERROR_MAX, ERROR_MAX);
        let norm: f64 = BASE_WEIGHT + shares.values().map(|share| share * share).sum::<f64>();
        let step = LEARNING * error / norm;
        let base = base + step * BASE_WEIGHT * BASE_WEIGHT;
        self.bases
            .insert(serving.image, base.clamp(RATIO_MIN.ln(), 0.0));
        for (image, share) in shares {
            let value = self.pressure(image, serving.image) + step * share;
            self.set(image, serving.image, value);
        }
    }

    fn set(&mut self, filler: ImageId, standing: ImageId, value: f64) {
        let value = value.clamp(0.0, PRESSURE_MAX);
        let was_harmful = self.pressure(filler, standing) >= HARMFUL;
        self.pairs.insert((filler, standing), value);
        if was_harmful != (value >= HARMFUL) {
            Entry::new(Kind::Pressure)
                .with("filler", self.name(filler))
                .with("standing", self.name(standing))
                .with("pressure", value)
                .emit();
        }
    }

    fn name(&self, image: ImageId) -> &str {
        self.names.get(image.0 as usize).map_or("", String::as_str)
    }

    /// Logarithm of the tail over target of an image alone.
    pub fn base(&self, standing: ImageId) -> f64 {
        let base = self.bases.get(&standing).copied();
        base.unwrap_or_else(|| BASE.ln())
    }

    fn growth(&self, filler: &Filler, serving: &Serving) -> f64 {
        self.pressure(filler.image, serving.image) * filler.paced_share()
    }

    /// What to do on a worker now.
    pub fn relieve(
        &self,
        relief: &mut Relief,
        serving: &[Serving],
        fillers: &[Filler],
        now: Monotonic,
    ) -> Vec<Act> {
        let worst = serving.iter().max_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let Some(worst) = worst.filter(|serving| serving.ratio > PRESSED) else {
            relief.over_since = None;
            return self.restore(relief, serving, fillers, now);
        };
        let since = *relief.over_since.get_or_insert(now);
        if now.since(since) >= LIMIT_MS {
            let working = fillers.iter().filter(|filler| filler.pace > 0);
            return working.map(|filler| Act::Pace(filler.key, 0)).collect();
        }
        if relief.is_settling(now) {
            return Vec::new();
        }
        let mut suspects: Vec<(f64, &Filler)> = fillers
            .iter()
            .map(|filler| (self.growth(filler, worst), filler))
            .collect();
        suspects.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut needed = (worst.ratio / RELIEVED).ln();
        let mut acts = Vec::new();
        for (growth, filler) in suspects {
            let is_enough = needed <= 0.0 || growth < GROWTH_MIN;
            if filler.pace == 0 || (is_enough && !acts.is_empty()) {
                break;
            }
            let is_known = growth >= GROWTH_MIN;
            let is_cheap = filler.checkpoints || filler.percent < KEEP_PERCENT;
            acts.push(if is_known && is_cheap {
                Act::Move(filler.key)
            } else if is_known && needed < growth && filler.pace > SLOW_PACE {
                let part = f64::from(filler.pace) * (1.0 - needed.max(0.0) / growth);
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a percentage"
                )]
                let pace = (part as u8).clamp(SLOW_PACE, 60);
                Act::Pace(filler.key, pace)
            } else if filler.pace > SLOW_PACE {
                Act::Pace(filler.key, SLOW_PACE)
            } else {
                Act::Pace(filler.key, 0)
            });
            needed -= growth;
        }
        if !acts.is_empty() {
            relief.changed = Some(now);
        }
        acts
    }

    /// Gives one paced filler its share back once the tasks beside it can bear it.
    fn restore(
        &self,
        relief: &mut Relief,
        serving: &[Serving],
        fillers: &[Filler],
        now: Monotonic,
    ) -> Vec<Act> {
        if relief.is_settling(now) {
            return Vec::new();
        }
        let at_full = |filler: &Filler| {
            let full = Filler {
                pace: 100,
                ..*filler
            };
            let each = serving.iter();
            each.map(|serving| {
                let added = self.growth(&full, serving) - self.growth(filler, serving);
                serving.ratio.max(RATIO_MIN).ln() + added
            })
            .fold(f64::NEG_INFINITY, f64::max)
        };
        let paced = fillers.iter().filter(|filler| filler.pace < 100);
        let least = paced.min_by(|a, b| at_full(a).total_cmp(&at_full(b)));
        let Some(filler) = least else {
            return Vec::new();
        };
        let expected = at_full(filler);
        let is_quiet = serving.iter().all(|serving| serving.ratio < CALM);
        if expected > RESTORED.ln() && !is_quiet {
            return Vec::new();
        }
        relief.changed = Some(now);
        if expected > 0.0 && filler.checkpoints {
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
