//! Relief of standing tasks that fillers on their worker slow.
//!
//! Load pattern: most fillers are harmless, see [`super::headroom`]. On a worker with a
//! task near or over its target, the fillers that take most headroom are moved, or
//! throttled where a move would lose too much work; the others go on.
//!
//! Headroom is the latency target divided by the tail latency.
//!
//! Inputs: tail latencies and CPU use over the last half second, as old as the last
//! poll; learned pressures.

use super::headroom::{HeadroomModel, ImageKey};
use super::worker::RunKey;
use crate::domain::{Millis, Monotonic};

/// Headroom below which fillers on the worker are moved or throttled.
const RELIEF_HEADROOM: f64 = 1.05;

/// Headroom that relief aims at.
const GOAL_HEADROOM: f64 = 1.35;

/// Expected headroom, with the learned pressure of the filler at full pace, from which a
/// throttled filler is restored.
const RESTORE_HEADROOM: f64 = 1.2;

/// Reported headroom above which a throttled filler is restored whatever its learned
/// pressure.
const QUIET_HEADROOM: f64 = 2.0;

/// Time until an action shows in the tail, in milliseconds: the half second that a
/// tail covers, and the time that the worker needs for the action.
const SETTLE_MS: Millis = 650;

/// Time below [`RELIEF_HEADROOM`] after which all fillers on the worker are paused, in
/// milliseconds. Half of the shortest time that a tail may exceed its target.
const OVER_LIMIT_MS: Millis = 1_900;

/// Lowest pace of a filler short of a pause, in percent.
pub(super) const MIN_PACE: u8 = 10;

/// Highest pace of a throttled filler, in percent.
const THROTTLED_PACE_MAX: u8 = 60;

/// Progress from which a filler without checkpoints is throttled rather than moved, in
/// percent.
const KEEP_PROGRESS: u8 = 40;

/// Least headroom that a filler takes to count as a cause.
const LOSS_MIN: f64 = 0.1;

/// Filler that is running on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Filler {
    pub key: RunKey,
    pub image: ImageKey,
    /// Share of the worker's CPU that it uses at full pace.
    pub share: f64,
    /// Percentage of its CPU that it may use.
    pub pace: u8,
    pub progress: u8,
    pub checkpoints: bool,
    /// Whether it was placed although it may do harm, as no worker was expected to suit it.
    pub is_owed: bool,
}

impl Filler {
    fn paced_share(&self) -> f64 {
        self.share * f64::from(self.pace) / 100.0
    }

    /// Headroom that it takes from tasks of an image at its pace.
    fn loss(&self, model: &HeadroomModel, standing: ImageKey) -> f64 {
        model.pressure(self.image, standing) * self.paced_share()
    }
}

/// Standing task with a target, while it serves.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServingTask {
    pub image: ImageKey,
    pub headroom: f64,
}

/// State of the mitigation on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MitigationState {
    /// Since when the headroom of some task has been below [`RELIEF_HEADROOM`].
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

/// Actions to take on a worker now.
pub(super) fn relieve(
    model: &HeadroomModel,
    state: &mut MitigationState,
    serving: &[ServingTask],
    fillers: &[Filler],
    now: Monotonic,
) -> Vec<Action> {
    let worst = serving
        .iter()
        .min_by(|a, b| a.headroom.total_cmp(&b.headroom));
    let Some(worst) = worst.filter(|serving| serving.headroom < RELIEF_HEADROOM) else {
        state.over_since = None;
        return restore_pace(model, state, serving, fillers, now);
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
        .map(|filler| (filler.loss(model, worst.image), filler))
        .collect();
    suspects.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut needed = GOAL_HEADROOM - worst.headroom;
    let mut actions = Vec::new();
    for (loss, filler) in suspects {
        let is_enough = needed <= 0.0 || loss < LOSS_MIN;
        if filler.pace == 0 || (is_enough && !actions.is_empty()) {
            break;
        }
        let is_known = loss >= LOSS_MIN;
        let is_movable = !filler.is_owed && (filler.checkpoints || filler.progress < KEEP_PROGRESS);
        actions.push(if is_known && is_movable {
            Action::Move(filler.key)
        } else if is_known && needed < loss && filler.pace > MIN_PACE {
            let part = f64::from(filler.pace) * (1.0 - needed.max(0.0) / loss);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a percentage"
            )]
            let pace = (part as u8).clamp(MIN_PACE, THROTTLED_PACE_MAX);
            Action::Pace(filler.key, pace)
        } else if filler.pace > MIN_PACE {
            Action::Pace(filler.key, MIN_PACE)
        } else {
            Action::Pace(filler.key, 0)
        });
        needed -= loss;
    }
    if !actions.is_empty() {
        state.changed_at = Some(now);
    }
    actions
}

/// Restores one throttled filler once the expected or the reported headroom allows it. A
/// filler with checkpoints is moved instead if its full pace would exceed a target.
fn restore_pace(
    model: &HeadroomModel,
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
        each.map(|task| {
            let added = full.loss(model, task.image) - filler.loss(model, task.image);
            task.headroom - added
        })
        .fold(f64::INFINITY, f64::min)
    };
    let throttled = fillers.iter().filter(|filler| filler.pace < 100);
    let candidate = throttled.max_by(|a, b| expected_at_full(a).total_cmp(&expected_at_full(b)));
    let Some(filler) = candidate else {
        return Vec::new();
    };
    let expected = expected_at_full(filler);
    let is_quiet = serving.iter().all(|task| task.headroom > QUIET_HEADROOM);
    if expected < RESTORE_HEADROOM && !is_quiet {
        return Vec::new();
    }
    state.changed_at = Some(now);
    if expected < 1.0 && filler.checkpoints && !filler.is_owed {
        return vec![Action::Move(filler.key)];
    }
    let next = if filler.pace < MIN_PACE {
        MIN_PACE
    } else if filler.is_owed {
        filler.pace.saturating_mul(2).min(100)
    } else {
        100
    };
    vec![Action::Pace(filler.key, next)]
}
