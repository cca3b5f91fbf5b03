//! Model of how fillers slow the standing tasks on their worker.
//!
//! Load pattern: a standing task's own load rises and falls within ten seconds or so.
//! Most pairs of a filler's and a standing task's image do not interfere at all; the
//! others take as much of the standing task's capacity as its own load does at its
//! peak.
//!
//! The tail latency of a queue is inversely proportional to the capacity that is left.
//! The model is therefore linear in the *headroom*, the latency target divided by the
//! tail latency: a task is over its target below a headroom of one. Each filler takes
//! an amount of headroom in proportion to its share of the worker's CPU, the
//! *pressure* of its image on the standing task's. Without fillers the headroom of
//! each task is a level of its own that changes slowly.
//!
//! Levels and pressures are estimated together by a Kalman filter with independent
//! variances: a jump of the headroom when a filler comes or goes corrects the pressure,
//! a slow change the level.
//!
//! Inputs: tail latencies over the last half second, as old as the last poll, and the
//! shares of the fillers during that time.

mod images;
mod record;

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

pub(super) use images::{ImageKey, short_name};
use images::{Images, PAIRS_MAX};
pub use record::{Pressure, PressureRecord};

/// Pressure that is assumed for a pair before any observation: between that of the pairs
/// that do not interfere and that of the others, four to ten.
const DEFAULT_PRESSURE: f64 = 2.0;

/// Variance of [`DEFAULT_PRESSURE`].
const DEFAULT_VARIANCE: f64 = 25.0;

const DEFAULT_ESTIMATE: Estimate = Estimate {
    value: DEFAULT_PRESSURE,
    variance: DEFAULT_VARIANCE,
};

/// Variance of a pressure that an earlier owner learned.
const RESTORED_VARIANCE: f64 = 1.0;

/// Least variance of a pressure, so that it follows the present behaviour.
const VARIANCE_MIN: f64 = 0.3;

/// Maximum pressure: a filler on a tenth of a worker takes twice the headroom that a task
/// has at its usual load peak.
const PRESSURE_MAX: f64 = 30.0;

/// Pressure from which a pair is reported as harmful: a filler on a tenth of a worker
/// takes most of what a task can spare at its load peak.
const HARMFUL_PRESSURE: f64 = 3.5;

/// Variance of one reading of the headroom: tails are whole milliseconds.
const READING_VARIANCE: f64 = 0.08;

/// Growth of a level's variance in a second, from the usual swing of loads.
const LEVEL_DRIFT: f64 = 0.15;

/// Part of its distance from the mean that a level returns in a second.
const REVERSION: f64 = 0.25;

/// Level before any observation, and its variance.
const DEFAULT_LEVEL: Estimate = Estimate {
    value: 2.4,
    variance: 1.0,
};

/// Difference from the expected headroom beyond which a reading is clamped.
const ERROR_MAX: f64 = 2.5;

/// Headroom above which differences are ignored.
const HEADROOM_MAX: f64 = 10.0;

/// Lowest level of an image before any observation.
const DEFAULT_FLOOR: f64 = 1.6;

/// Lowest floor: with less, a task would be over its target without any filler.
const FLOOR_MIN: f64 = 1.0;

/// Share of the difference by which a reading corrects the mean level of its image.
const MEAN_GAIN: f64 = 0.01;

/// Share of the difference by which a reading below the floor lowers it.
const FLOOR_FALL: f64 = 0.2;

/// Share of the difference by which a reading above the floor raises it: one reading in
/// twenty is near the floor.
const FLOOR_RISE: f64 = 0.004;

/// Fastest usual fall of a level, per second.
const LEVEL_SLOPE: f64 = 0.5;

/// Variance below which the pressure of a pair counts as known.
const KNOWN_VARIANCE: f64 = 6.0;

/// Number of workers on which a pair that is not known may be tried before the next
/// reading.
const TRIALS_MAX: u32 = 3;

/// Time after which trials without a reading are forgotten, in milliseconds: their
/// fillers have ended, or no standing task beside them serves.
const TRIAL_EXPIRY_MS: Millis = 2_000;

/// Pressure that is assumed for further trials of a pair that is not known: that of a
/// harmful pair.
const CAUTIOUS_PRESSURE: f64 = 8.0;

/// Estimate with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    pub value: f64,
    pub variance: f64,
}

/// Level of a standing task: its headroom without fillers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Level {
    estimate: Estimate,
    at: Monotonic,
}

impl Level {
    /// The lower of two levels.
    pub fn lower(self, other: Self) -> Self {
        if other.estimate.value < self.estimate.value {
            other
        } else {
            self
        }
    }

    pub fn new(now: Monotonic) -> Self {
        Self {
            estimate: DEFAULT_LEVEL,
            at: now,
        }
    }
}

/// Lowest level that a task is expected to have within `ahead_ms`; `floor` is that of its
/// image.
pub(super) fn level_ahead(level: Level, floor: f64, ahead_ms: Millis) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 ms"
    )]
    let ahead_s = ahead_ms as f64 / 1_000.0;
    (level.estimate.value - LEVEL_SLOPE * ahead_s).max(floor)
}

/// Share of a worker's CPU that fillers of one image used while a tail was measured.
pub(super) type Exposure = (ImageKey, f64);

/// Effect of a filler on the tasks of a standing image.
#[derive(Clone, Copy, Debug)]
pub(super) struct Effect {
    pub pressure: f64,
    /// Lowest level of the image.
    pub floor: f64,
}

/// Reading of the headroom of a standing task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub image: ImageKey,
    pub headroom: f64,
    pub level: Level,
}

/// Levels of the tasks of a standing image.
#[derive(Clone, Copy, Debug)]
struct ImageLevel {
    mean: f64,
    /// Lowest level, at load peaks.
    floor: f64,
}

const DEFAULT_IMAGE_LEVEL: ImageLevel = ImageLevel {
    mean: DEFAULT_LEVEL.value,
    floor: DEFAULT_FLOOR,
};

/// Learned pressures of filler images on standing images, and lowest levels of the latter.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadroomModel {
    images: Images,
    /// Numbers of placements of pairs since their last reading, and when they were last
    /// forgotten.
    trials: HashMap<(ImageKey, ImageKey), u32>,
    trials_at: Monotonic,
}

impl HeadroomModel {
    /// Key of the image of a waiting task.
    pub fn find_image(&mut self, image: &str) -> ImageKey {
        self.images.find(image)
    }

    /// Key of the image of a task that is placed.
    pub fn use_image(&mut self, image: &str) -> ImageKey {
        self.images.use_image(image)
    }

    fn estimate(&self, filler: ImageKey, standing: ImageKey) -> Estimate {
        self.images
            .pair(filler, standing)
            .unwrap_or(DEFAULT_ESTIMATE)
    }

    /// Pressure of `filler` on `standing`.
    pub fn pressure(&self, filler: ImageKey, standing: ImageKey) -> f64 {
        self.estimate(filler, standing).value
    }

    /// Pressure of `filler` on `standing` to expect of one more placement. A pair that is
    /// not known is tried on a few workers at a time.
    fn placement_pressure(&self, filler: ImageKey, standing: ImageKey) -> f64 {
        let pair = self.estimate(filler, standing);
        let trials = self.trials.get(&(filler, standing)).copied();
        if pair.variance > KNOWN_VARIANCE && trials.unwrap_or(0) >= TRIALS_MAX {
            return pair.value.max(CAUTIOUS_PRESSURE);
        }
        pair.value
    }

    /// What to expect of one more placement of `filler` beside tasks of an image.
    pub fn placement_effect(&self, filler: ImageKey, standing: ImageKey) -> Effect {
        Effect {
            pressure: self.placement_pressure(filler, standing),
            floor: self.floor(standing),
        }
    }

    /// Records the placement of a filler beside tasks of a standing image.
    pub fn add_trial(&mut self, filler: ImageKey, standing: ImageKey) {
        *self.trials.entry((filler, standing)).or_default() += 1;
    }

    /// Forgets trials at regular intervals, so that none blocks a pair for good.
    pub fn expire_trials(&mut self, now: Monotonic) {
        if now.since(self.trials_at) >= TRIAL_EXPIRY_MS {
            self.trials.clear();
            self.trials_at = now;
        }
    }

    /// Headroom that fillers take from a standing task.
    pub fn loss(&self, fillers: &[Exposure], standing: ImageKey) -> f64 {
        let each = fillers.iter();
        each.map(|(filler, share)| self.pressure(*filler, standing) * share)
            .sum()
    }

    /// Harmfulness of `filler` from zero to one: its mean pressure on the observed
    /// standing images, divided by [`HARMFUL_PRESSURE`].
    pub fn harmfulness(&self, filler: ImageKey) -> f64 {
        let (known, count) = self.images.row(filler);
        if count == 0 {
            return 0.0;
        }
        let excess: f64 = known.map(|pair| pair.value - DEFAULT_PRESSURE).sum();
        let mean = DEFAULT_PRESSURE + excess / f64::from(count);
        (mean / HARMFUL_PRESSURE).min(1.0)
    }

    /// Lowest level of a standing image, at its load peaks.
    pub fn floor(&self, standing: ImageKey) -> f64 {
        self.image_level(standing).floor
    }

    fn image_level(&self, standing: ImageKey) -> ImageLevel {
        self.images.level(standing).unwrap_or(DEFAULT_IMAGE_LEVEL)
    }

    /// Record of the learned pressures that were observed last, of up to `max_bytes`.
    pub fn record(&self, max_bytes: usize) -> PressureRecord {
        PressureRecord::new(&self.images.recent_pairs(PAIRS_MAX), max_bytes)
    }

    /// Restores pressures that an earlier owner learned.
    pub fn restore(&mut self, record: &PressureRecord) {
        for (filler, standing, value) in record.pressures() {
            let mut key = |name: &str| match short_name(name) {
                Some(short) => self.use_image(&short),
                None => self.use_image(name),
            };
            let (filler, standing) = (key(filler), key(standing));
            let estimate = Estimate {
                value: value.clamp(0.0, PRESSURE_MAX),
                variance: RESTORED_VARIANCE,
            };
            self.images.set_pair(filler, standing, estimate);
        }
    }

    /// Corrects levels and pressures by the readings of a worker's standing tasks of one
    /// image, which the same fillers disturb.
    pub fn observe(&mut self, readings: &mut [Reading], fillers: &[Exposure], now: Monotonic) {
        let Some(standing) = readings.first().map(|reading| reading.image) else {
            return;
        };
        let present = fillers.iter().map(|(image, _)| *image);
        self.images.touch(present.chain([standing]));
        let loss = self.loss(fillers, standing);
        let pairs: Vec<(ImageKey, f64, Estimate)> = fillers
            .iter()
            .map(|&(image, share)| (image, share, self.estimate(image, standing)))
            .collect();
        let loss_variance: f64 = pairs
            .iter()
            .map(|(_, share, pair)| pair.variance * share * share)
            .sum();
        let mean = self.image_level(standing).mean;
        let (mut error_sum, mut variance_sum, mut count) = (0.0, 0.0, 0.0);
        for reading in readings.iter_mut() {
            let level = &mut reading.level;
            #[expect(
                clippy::cast_precision_loss,
                reason = "durations are far below 2^52 ms"
            )]
            let seconds = now.since(level.at) as f64 / 1_000.0;
            level.at = now;
            let known = &mut level.estimate;
            known.value += (mean - known.value) * (REVERSION * seconds).min(1.0);
            known.variance = (known.variance + LEVEL_DRIFT * seconds).min(DEFAULT_LEVEL.variance);
            let expected = (known.value - loss).max(0.0);
            let error = reading.headroom.min(HEADROOM_MAX) - expected;
            let error = error.clamp(-ERROR_MAX, ERROR_MAX);
            error_sum += error;
            variance_sum += known.variance;
            count += 1.0;
            let gain = known.variance / (known.variance + loss_variance + READING_VARIANCE);
            known.value = (known.value + gain * error).clamp(0.0, HEADROOM_MAX);
            known.variance *= 1.0 - gain;
        }
        if fillers.is_empty() {
            self.track_level(standing, readings);
        }
        // Tasks of one image have much the same load, so their readings count as one.
        let error = error_sum / count;
        let total = loss_variance + variance_sum / count + READING_VARIANCE;
        for (image, share, pair) in pairs {
            let gain = pair.variance * share / total;
            let corrected = Estimate {
                value: (pair.value - gain * error).clamp(0.0, PRESSURE_MAX),
                variance: (pair.variance * (1.0 - gain * share)).max(VARIANCE_MIN),
            };
            self.set_pressure(image, standing, corrected);
        }
    }

    /// Corrects the mean level and the floor of an image by readings without fillers.
    fn track_level(&mut self, standing: ImageKey, readings: &[Reading]) {
        let mut level = self.image_level(standing);
        for reading in readings {
            let seen = reading.headroom.min(HEADROOM_MAX);
            level.mean += (seen - level.mean) * MEAN_GAIN;
            let gain = if seen < level.floor {
                FLOOR_FALL
            } else {
                FLOOR_RISE
            };
            level.floor += (seen - level.floor) * gain;
        }
        level.floor = level.floor.max(FLOOR_MIN);
        self.images.set_level(standing, level);
    }

    fn set_pressure(&mut self, filler: ImageKey, standing: ImageKey, corrected: Estimate) {
        let was_harmful = self.pressure(filler, standing) >= HARMFUL_PRESSURE;
        self.trials.remove(&(filler, standing));
        self.images.set_pair(filler, standing, corrected);
        if was_harmful != (corrected.value >= HARMFUL_PRESSURE) {
            Entry::new(Kind::Pressure)
                .with("filler", self.images.name(filler))
                .with("standing", self.images.name(standing))
                .with("pressure", corrected.value)
                .with("variance", corrected.variance)
                .emit();
        }
    }
}
