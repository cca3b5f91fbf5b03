//! Corrects declared sizes from observed usage.
//!
//! A prediction is what a task of a profile should commit: the observed peak
//! with a margin. The peak is held while tasks come near it, and falls
//! slowly otherwise. A task that uses all that it committed raises the
//! next prediction, since its real need is hidden by the limit.

use crate::domain::{Millis, Monotonic, Profile, Resources};
use crate::port::TaskUsage;

const MARGIN_PERCENT: u64 = 125;
const LEAST_SAMPLES: u32 = 20;
const PEAK_HALF_LIFE_MS: f64 = 1_800_000.0;
const MILLICORE_STEP: u64 = 100;
const MEMORY_STEP_MIB: u64 = 64;

/// Observed usage of the tasks of one profile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usages {
    samples: u32,
    millicores: f64,
    peak_millicores: f64,
    peak_mib: f64,
    last: Monotonic,
}

impl Usages {
    /// Learns from the usage of one run that has all of its processors.
    pub(crate) fn learn(&mut self, usage: TaskUsage, now: Monotonic) {
        let keep = keep(now.since(self.last));
        let millicores = usage.millicores as f64;
        self.last = now;
        self.samples = self.samples.saturating_add(1);
        self.peak_millicores = (self.peak_millicores * keep).max(millicores);
        self.peak_mib = (self.peak_mib * keep).max(usage.memory_mib as f64);
        let gain = 1.0 / f64::from(self.samples.min(200));
        self.millicores += gain * (millicores - self.millicores);
    }

    /// Usual use of processors relative to `usage`, 1.0 while little is known.
    pub(crate) fn relative(&self, usage: TaskUsage) -> f64 {
        if self.samples < LEAST_SAMPLES || self.millicores < 1.0 {
            return 1.0;
        }
        (usage.millicores as f64 / self.millicores).min(5.0)
    }

    /// What a task of the profile should commit.
    pub(crate) fn predict(&self, profile: &Profile) -> Resources {
        let declared = profile.resources;
        if self.samples < LEAST_SAMPLES {
            return declared;
        }
        Resources {
            millicores: stepped(self.peak_millicores, MILLICORE_STEP),
            memory_mib: stepped(self.peak_mib, MEMORY_STEP_MIB),
            accelerators: declared.accelerators,
        }
    }
}

fn keep(elapsed: Millis) -> f64 {
    (-(elapsed as f64) / PEAK_HALF_LIFE_MS).exp2()
}

fn stepped(peak: f64, step: u64) -> u64 {
    let wanted = (peak.max(0.0) as u64).saturating_mul(MARGIN_PERCENT) / 100;
    wanted.div_ceil(step).max(1) * step
}
