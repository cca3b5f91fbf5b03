//! Predicts the resources that tasks of a profile should commit from observed usage.
//!
//! If a run uses clearly less than it committed, its usage is its need, and the peak
//! of such runs is predicted. If a run uses all that it committed, the limit may hide
//! a larger need: unless a recent uncapped peak covers the usage, the prediction is
//! [`GROWTH_PERCENT`] of it, so that it grows until runs leave some of it unused. An
//! uncapped peak is recent for [`UNCAPPED_PEAK_MS`] after a run last reached it; then
//! a larger size is tried again.

use crate::domain::{Millis, Monotonic, Profile, Resources};
use crate::port::TaskUsage;

const GROWTH_PERCENT: u64 = 125;
const MEMORY_MARGIN_PERCENT: u64 = 110;
const MIN_SAMPLES: u32 = 20;
/// Ratio of used to committed resources from which the limit may hide a larger need.
const CAPPED_RATIO: f64 = 0.95;
/// Time for which an uncapped peak limits the prediction after it was last reached.
const UNCAPPED_PEAK_MS: Millis = 1_800_000;
const PEAK_HALF_LIFE_MS: f64 = 1_800_000.0;
const STEP_MILLICORES: u64 = 100;
const STEP_MEMORY_MIB: u64 = 64;

/// Highest usage of one resource.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Peak of runs that used clearly less than they committed.
    uncapped: f64,
    /// Time when an uncapped run last came near `uncapped`.
    confirmed_at: Monotonic,
    /// Peak of runs that used all that they committed.
    capped: f64,
}

impl Peak {
    fn learn(&mut self, used: u64, committed: u64, elapsed: Millis, now: Monotonic) {
        let used = used as f64;
        if used >= CAPPED_RATIO * committed as f64 {
            self.capped = self.capped.max(used);
            return;
        }
        self.uncapped = (self.uncapped * decay_factor(elapsed)).max(used);
        if used >= CAPPED_RATIO * self.uncapped {
            self.confirmed_at = now;
            self.capped = used;
        }
    }

    /// Predicted need, rounded up to `step`; `percent` scales a confirmed uncapped peak.
    fn predict(self, percent: u64, step: u64, now: Monotonic) -> u64 {
        let known = round_up(self.uncapped, percent, step);
        let fresh = self.uncapped > 0.0 && now.since(self.confirmed_at) < UNCAPPED_PEAK_MS;
        // Runs limited to the known need use all of it, which is no sign of a larger need.
        if fresh && self.capped <= known as f64 {
            return known;
        }
        round_up(self.capped.max(self.uncapped), GROWTH_PERCENT, step)
    }
}

/// Observed usage of the tasks of one profile.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsageStats {
    samples: u32,
    mean_millicores: f64,
    cpu: Peak,
    memory: Peak,
    last: Monotonic,
}

impl UsageStats {
    /// Updates the statistics with the usage of one unthrottled run.
    pub(super) fn learn(&mut self, usage: TaskUsage, committed: Resources, now: Monotonic) {
        let elapsed = now.since(self.last);
        self.last = now;
        self.samples = self.samples.saturating_add(1);
        self.cpu
            .learn(usage.millicores, committed.millicores, elapsed, now);
        self.memory
            .learn(usage.memory_mib, committed.memory_mib, elapsed, now);
        let gain = 1.0 / f64::from(self.samples.min(200));
        self.mean_millicores += gain * (usage.millicores as f64 - self.mean_millicores);
    }

    /// CPU of `usage` relative to the mean of the profile, 1.0 with too few samples.
    pub(super) fn relative(&self, usage: TaskUsage) -> f64 {
        if self.samples < MIN_SAMPLES || self.mean_millicores < 1.0 {
            return 1.0;
        }
        (usage.millicores as f64 / self.mean_millicores).min(5.0)
    }

    /// Resources that a task of the profile should commit.
    pub(super) fn predict(&self, profile: &Profile) -> Resources {
        let declared = profile.resources;
        if self.samples < MIN_SAMPLES {
            return declared;
        }
        Resources {
            millicores: self.cpu.predict(100, STEP_MILLICORES, self.last),
            memory_mib: self
                .memory
                .predict(MEMORY_MARGIN_PERCENT, STEP_MEMORY_MIB, self.last),
            accelerators: declared.accelerators,
        }
    }
}

fn decay_factor(elapsed: Millis) -> f64 {
    (-(elapsed as f64) / PEAK_HALF_LIFE_MS).exp2()
}

fn round_up(peak: f64, percent: u64, step: u64) -> u64 {
    let wanted = (peak.max(0.0).ceil() as u64).saturating_mul(percent) / 100;
    wanted.div_ceil(step).max(1) * step
}
