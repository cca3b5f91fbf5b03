//! Interference of fillers with the standing tasks on the same worker.
//!
//! Load pattern: most fillers are harmless. A few images slow a few standing images
//! many times over, more so the more CPU they use, and by an amount that changes
//! with the load within seconds. For each pair of images a pressure is learned: the
//! logarithm of the growth of the tail latency if the filler used all CPU of a
//! worker. Fillers are placed where the sum of the growths stays small. On a worker
//! with a task over its target, the fillers that slow it most are moved, or
//! throttled where a move would lose too much work; the others go on.
//!
//! The tail ratio of a standing task is its tail latency divided by its target.
//!
//! Inputs: tail latencies and CPU use over the last half second, as old as the last
//! poll.

use serde::{Deserialize, Serialize};

use super::worker::RunKey;
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

/// Tail ratio above which fillers on the worker are moved or throttled.
const MITIGATION_RATIO: f64 = 0.95;

/// Tail ratio that mitigation aims at.
const GOAL_RATIO: f64 = 0.75;

/// Expected tail ratio, with the learned pressure of the filler at full pace, up to
/// which a throttled filler is restored.
const RESTORE_RATIO: f64 = 0.85;

/// Reported tail ratio below which a throttled filler is restored whatever its learned
/// pressure.
const QUIET_RATIO: f64 = 0.5;

/// Tail ratio that is assumed for an image without fillers, before any observation.
const DEFAULT_BASELINE: f64 = 0.42;

/// Pressure that is assumed for a pair before any observation: few pairs interfere.
const DEFAULT_PRESSURE: f64 = 0.4;

/// Maximum pressure: a filler on a twentieth of a worker doubles the tail.
const PRESSURE_MAX: f64 = 14.0;

/// Share of the error that one observation corrects.
const LEARNING_RATE: f64 = 0.2;

/// Weight of the baseline in the correction by an observation; the fillers of a worker
/// have a weight of about a tenth.
const BASELINE_WEIGHT: f64 = 0.02;

/// Error of one observation beyond which it is clamped, as a logarithm.
const ERROR_MAX: f64 = 2.0;

/// Tail ratio below which differences are ignored.
const RATIO_MIN: f64 = 0.15;

/// Maximum growth of a tail by the fillers placed on its worker, as a logarithm: at a
/// usual load peak the task then stays near its target.
pub(super) const GROWTH_LIMIT: f64 = 0.25;

/// Maximum expected tail ratio of a standing task for a filler to be placed on its
/// worker.
pub(super) const PLACEMENT_RATIO: f64 = 0.7;

/// Expected tail ratio above which a tail adds to the cost of a worker by its height.
pub(super) const EXCESS_RATIO: f64 = 0.4;

/// Pressure from which a pair is reported as harmful: a filler on a tenth of a worker
/// causes the maximum growth.
const HARMFUL_PRESSURE: f64 = 2.5;

/// Time until an action shows in the tail, in milliseconds: the half second that a
/// tail covers, and the time that the worker needs for the action.
const SETTLE_MS: Millis = 650;

/// Time above [`MITIGATION_RATIO`] after which all fillers on the worker are paused, in
/// milliseconds. Half of the shortest time that a tail may exceed its target.
const OVER_LIMIT_MS: Millis = 1_900;

/// Lowest pace of a filler short of a pause, in percent.
const MIN_PACE: u8 = 10;

/// Progress from which a filler without checkpoints is throttled rather than moved, in
/// percent.
const KEEP_PROGRESS: u8 = 40;

/// Minimum growth for which a filler counts as a cause, as a logarithm.
const GROWTH_MIN: f64 = 0.1;

/// Index of an image in the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ImageId(u32);

/// Filler that is running on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Filler {
    pub key: RunKey,
    pub image: ImageId,
    /// Share of the worker's CPU that it uses at full pace.
    pub share: f64,
    /// Percentage of its CPU that it may use.
    pub pace: u8,
    pub progress: u8,
    pub checkpoints: bool,
    /// Whether it has run long enough to show in the tails.
    pub is_settled: bool,
}

impl Filler {
    fn paced_share(&self) -> f64 {
        self.share * f64::from(self.pace) / 100.0
    }
}

/// Standing task with a target, while it serves.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServingTask {
    pub image: ImageId,
    /// Tail ratio.
    pub ratio: f64,
}

/// State of the mitigation on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MitigationState {
    /// Since when the tail ratio of some task has been above [`MITIGATION_RATIO`].
    pub over_since: Option<Monotonic>,
    /// Last action, or last end of a filler.
    pub changed_at: Option<Monotonic>,
}

impl MitigationState {
    /// Whether the tails may not show the last change yet.
    pub fn is_settling(&self, now: Monotonic) -> bool {
        self.changed_at.is_some_and(|at| now.since(at) < SETTLE_MS)
    }
}

/// Action on a filler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Stop it and start it on another worker.
    Move(RunKey),
    /// Set the percentage of its CPU that it may use.
    Pace(RunKey, u8),
}

/// Learned pressure, as the store keeps it for the next owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pressure(
    /// Image of the filler.
    pub String,
    /// Image of the standing task.
    pub String,
    /// Growth of the tail if the filler used a whole worker, as a logarithm.
    pub f64,
);

/// Learned pressures of filler images on standing images.
#[derive(Clone, Debug, Default)]
pub(super) struct InterferenceModel {
    image_ids: HashMap<String, ImageId>,
    image_names: Vec<String>,
    pairs: HashMap<(ImageId, ImageId), f64>,
    /// Logarithm of the tail ratio without fillers.
    baselines: HashMap<ImageId, f64>,
}

impl InterferenceModel {
    /// Index of `image`, which is added if it is new.
    pub fn image_id(&mut self, image: &str) -> ImageId {
        if let Some(id) = self.image_ids.get(image) {
            return *id;
        }
        let id = ImageId(u32::try_from(self.image_ids.len()).unwrap_or(u32::MAX));
        self.image_ids.insert(image.to_owned(), id);
        self.image_names.push(image.to_owned());
        id
    }

    /// Pressure of `filler` on `standing`.
    pub fn pressure(&self, filler: ImageId, standing: ImageId) -> f64 {
        let pair = self.pairs.get(&(filler, standing));
        pair.copied().unwrap_or(DEFAULT_PRESSURE)
    }

    /// Harmfulness of `filler` from zero to one: its mean pressure on the observed
    /// standing images, divided by [`HARMFUL_PRESSURE`].
    pub fn harmfulness(&self, filler: ImageId) -> f64 {
        let mut sum = 0.0;
        let mut count = 0u32;
        for standing in self.baselines.keys() {
            sum += self.pressure(filler, *standing);
            count += 1;
        }
        if count == 0 {
            return 0.0;
        }
        (sum / f64::from(count) / HARMFUL_PRESSURE).min(1.0)
    }

    /// Learned pressures.
    pub fn learned_pressures(&self) -> Vec<Pressure> {
        let mut learned: Vec<Pressure> = self
            .pairs
            .iter()
            .map(|((filler, standing), value)| {
                let name = |image: &ImageId| self.image_name(*image).to_owned();
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

    /// Restores pressures that an earlier owner learned.
    pub fn restore_pressures(&mut self, learned: &[Pressure]) {
        for Pressure(filler, standing, value) in learned {
            let pair = (self.image_id(filler), self.image_id(standing));
            self.pairs.insert(pair, value.clamp(0.0, PRESSURE_MAX));
        }
    }

    /// Corrects the model by the tail of a standing task and the settled fillers on its
    /// worker.
    pub fn observe(&mut self, serving: ServingTask, fillers: &[Filler]) {
        let mut shares: HashMap<ImageId, f64> = HashMap::default();
        for filler in fillers {
            *shares.entry(filler.image).or_default() += filler.paced_share();
        }
        let baseline = self.baseline(serving.image);
        let growth: f64 = shares
            .iter()
            .map(|(image, share)| self.pressure(*image, serving.image) * share)
            .sum();
        let seen = serving.ratio.max(RATIO_MIN).ln();
        let error = (seen - baseline - growth).clamp(-ERROR_MAX, ERROR_MAX);
        let norm: f64 = BASELINE_WEIGHT + shares.values().map(|share| share * share).sum::<f64>();
        let step = LEARNING_RATE * error / norm;
        let baseline = baseline + step * BASELINE_WEIGHT * BASELINE_WEIGHT;
        self.baselines
            .insert(serving.image, baseline.clamp(RATIO_MIN.ln(), 0.0));
        for (image, share) in shares {
            let value = self.pressure(image, serving.image) + step * share;
            self.set_pressure(image, serving.image, value);
        }
    }

    fn set_pressure(&mut self, filler: ImageId, standing: ImageId, value: f64) {
        let value = value.clamp(0.0, PRESSURE_MAX);
        let was_harmful = self.pressure(filler, standing) >= HARMFUL_PRESSURE;
        self.pairs.insert((filler, standing), value);
        if was_harmful != (value >= HARMFUL_PRESSURE) {
            Entry::new(Kind::Pressure)
                .with("filler", self.image_name(filler))
                .with("standing", self.image_name(standing))
                .with("pressure", value)
                .emit();
        }
    }

    fn image_name(&self, image: ImageId) -> &str {
        self.image_names
            .get(image.0 as usize)
            .map_or("", String::as_str)
    }

    /// Logarithm of the tail ratio of an image without fillers.
    pub fn baseline(&self, standing: ImageId) -> f64 {
        let baseline = self.baselines.get(&standing).copied();
        baseline.unwrap_or_else(|| DEFAULT_BASELINE.ln())
    }

    fn growth(&self, filler: &Filler, serving: &ServingTask) -> f64 {
        self.pressure(filler.image, serving.image) * filler.paced_share()
    }

    /// Actions to take on a worker now.
    pub fn mitigate(
        &self,
        state: &mut MitigationState,
        serving: &[ServingTask],
        fillers: &[Filler],
        now: Monotonic,
    ) -> Vec<Action> {
        let worst = serving.iter().max_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let Some(worst) = worst.filter(|serving| serving.ratio > MITIGATION_RATIO) else {
            state.over_since = None;
            return self.restore_pace(state, serving, fillers, now);
        };
        let since = *state.over_since.get_or_insert(now);
        if now.since(since) >= OVER_LIMIT_MS {
            let running = fillers.iter().filter(|filler| filler.pace > 0);
            return running.map(|filler| Action::Pace(filler.key, 0)).collect();
        }
        if state.is_settling(now) {
            return Vec::new();
        }
        let mut suspects: Vec<(f64, &Filler)> = fillers
            .iter()
            .map(|filler| (self.growth(filler, worst), filler))
            .collect();
        suspects.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut needed = (worst.ratio / GOAL_RATIO).ln();
        let mut actions = Vec::new();
        for (growth, filler) in suspects {
            let is_enough = needed <= 0.0 || growth < GROWTH_MIN;
            if filler.pace == 0 || (is_enough && !actions.is_empty()) {
                break;
            }
            let is_known = growth >= GROWTH_MIN;
            let is_movable = filler.checkpoints || filler.progress < KEEP_PROGRESS;
            actions.push(if is_known && is_movable {
                Action::Move(filler.key)
            } else if is_known && needed < growth && filler.pace > MIN_PACE {
                let part = f64::from(filler.pace) * (1.0 - needed.max(0.0) / growth);
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a percentage"
                )]
                let pace = (part as u8).clamp(MIN_PACE, 60);
                Action::Pace(filler.key, pace)
            } else if filler.pace > MIN_PACE {
                Action::Pace(filler.key, MIN_PACE)
            } else {
                Action::Pace(filler.key, 0)
            });
            needed -= growth;
        }
        if !actions.is_empty() {
            state.changed_at = Some(now);
        }
        actions
    }

    /// Restores one throttled filler once the expected or the reported tails allow it. A
    /// filler with checkpoints is moved instead if its full pace would exceed a target.
    fn restore_pace(
        &self,
        state: &mut MitigationState,
        serving: &[ServingTask],
        fillers: &[Filler],
        now: Monotonic,
    ) -> Vec<Action> {
        if state.is_settling(now) {
            return Vec::new();
        }
        let expected_at_full = |filler: &Filler| {
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
        let throttled = fillers.iter().filter(|filler| filler.pace < 100);
        let candidate =
            throttled.min_by(|a, b| expected_at_full(a).total_cmp(&expected_at_full(b)));
        let Some(filler) = candidate else {
            return Vec::new();
        };
        let expected = expected_at_full(filler);
        let is_quiet = serving.iter().all(|serving| serving.ratio < QUIET_RATIO);
        if expected > RESTORE_RATIO.ln() && !is_quiet {
            return Vec::new();
        }
        state.changed_at = Some(now);
        if expected > 0.0 && filler.checkpoints {
            return vec![Action::Move(filler.key)];
        }
        let next = if filler.pace < MIN_PACE {
            MIN_PACE
        } else {
            100
        };
        vec![Action::Pace(filler.key, next)]
    }
}
