//! Corrects declared sizes from observed usage.
//!
//! A prediction is what a task of a profile should commit. While a run uses
//! clearly less than it committed, its usage shows its need: the peak of such
//! runs is predicted. A run that uses all that it committed may need more, which
//! the limit hides: without better knowledge, a step more is predicted, until
//! the runs leave something unused. A need that was shown stands for a while and
//! is then tried again.

use crate::domain::{Millis, Monotonic, Profile, Resources};
use crate::port::TaskUsage;

const STEP_PERCENT: u64 = 125;
const MEMORY_PERCENT: u64 = 110;
const LEAST_SAMPLES: u32 = 20;
/// Part of what is committed from which on a limit may hide the need.
const CAPPED_PART: f64 = 0.95;
/// Time for which a shown need stands; then a step more is tried.
const KNOWN_MS: Millis = 1_800_000;
const PEAK_HALF_LIFE_MS: f64 = 1_800_000.0;
const MILLICORE_STEP: u64 = 100;
const MEMORY_STEP_MIB: u64 = 64;

/// Highest usage of one resource.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Of runs that used clearly less than they committed.
    free: f64,
    /// When a run last showed the need that `free` says.
    shown: Monotonic,
    /// Of runs that used all that they committed.
    capped: f64,
}

impl Peak {
    fn learn(&mut self, used: u64, committed: u64, elapsed: Millis, now: Monotonic) {
        let used = used as f64;
        if used >= CAPPED_PART * committed as f64 {
            self.capped = self.capped.max(used);
            return;
        }
        self.free = (self.free * kept(elapsed)).max(used);
        if used >= CAPPED_PART * self.free {
            self.shown = now;
            self.capped = used;
        }
    }

    /// Need in whole steps, with `percent` for a need that is known.
    fn predict(self, percent: u64, step: u64, now: Monotonic) -> u64 {
        let known = stepped(self.free, percent, step);
        let fresh = self.free > 0.0 && now.since(self.shown) < KNOWN_MS;
        // A run that is held to a need which is known uses all of it.
        if fresh && self.capped <= known as f64 {
            return known;
        }
        stepped(self.capped.max(self.free), STEP_PERCENT, step)
    }
}

/// Observed usage of the tasks of one profile.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usages {
    samples: u32,
    millicores: f64,
    processors: Peak,
    memory: Peak,
    last: Monotonic,
}

impl Usages {
    /// Learns from the usage of one run that has all that it committed.
    pub(super) fn learn(&mut self, usage: TaskUsage, committed: Resources, now: Monotonic) {
        let elapsed = now.since(self.last);
        self.last = now;
        self.samples = self.samples.saturating_add(1);
        self.processors
            .learn(usage.millicores, committed.millicores, elapsed, now);
        self.memory
            .learn(usage.memory_mib, committed.memory_mib, elapsed, now);
        let gain = 1.0 / f64::from(self.samples.min(200));
        self.millicores += gain * (usage.millicores as f64 - self.millicores);
    }

    /// Usual use of processors relative to `usage`, 1.0 while little is known.
    pub(super) fn relative(&self, usage: TaskUsage) -> f64 {
        if self.samples < LEAST_SAMPLES || self.millicores < 1.0 {
            return 1.0;
        }
        (usage.millicores as f64 / self.millicores).min(5.0)
    }

    /// What a task of the profile should commit.
    pub(super) fn predict(&self, profile: &Profile) -> Resources {
        let declared = profile.resources;
        if self.samples < LEAST_SAMPLES {
            return declared;
        }
        Resources {
            millicores: self.processors.predict(100, MILLICORE_STEP, self.last),
            memory_mib: self
                .memory
                .predict(MEMORY_PERCENT, MEMORY_STEP_MIB, self.last),
            accelerators: declared.accelerators,
        }
    }
}

fn kept(elapsed: Millis) -> f64 {
    (-(elapsed as f64) / PEAK_HALF_LIFE_MS).exp2()
}

fn stepped(peak: f64, percent: u64, step: u64) -> u64 {
    let wanted = (peak.max(0.0).ceil() as u64).saturating_mul(percent) / 100;
    wanted.div_ceil(step).max(1) * step
}
