//! Estimated interference between profiles, for the log and for operators.

use super::Shard;
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::interference::Attribution;
use crate::scheduler::PressureStatus;

/// Time between two reports of the estimates, in milliseconds.
const REPORT_MS: Millis = 5_000;

/// Smallest slowdown that is reported, in percent of the baseline latency.
const MIN_SLOWDOWN_PERCENT: u32 = 102;

/// Smallest change of an estimate that is reported again, in percent of the baseline latency.
const MIN_CHANGE_PERCENT: u32 = 5;

/// Estimates as they were last reported.
#[derive(Debug, Default)]
pub(super) struct ReportedPressures {
    due: Monotonic,
    percent: HashMap<(String, String), u32>,
}

impl Shard {
    /// Logs estimates that are new or have changed.
    pub(super) fn report_pressures(&mut self, now: Monotonic) {
        if self.owned.is_none() || now < self.last_pressures.due {
            return;
        }
        self.last_pressures.due = now + REPORT_MS;
        for pressure in self.pressures() {
            let pair = (pressure.victim.clone(), pressure.source.clone());
            let before = self
                .last_pressures
                .percent
                .get(&pair)
                .copied()
                .unwrap_or(100);
            if pressure.slowdown_percent.abs_diff(before) < MIN_CHANGE_PERCENT {
                continue;
            }
            self.last_pressures
                .percent
                .insert(pair, pressure.slowdown_percent);
            let entry = Entry::new(Kind::Pressure)
                .with("shard", &self.name)
                .with("victim", &pressure.victim)
                .with("source", &pressure.source)
                .with("slowdown-percent", pressure.slowdown_percent);
            self.log(entry);
        }
    }

    /// Interference between profiles, the strongest first.
    pub(super) fn pressures(&self) -> Vec<PressureStatus> {
        let all = self.placer.pressures().into_iter().map(status);
        all.filter(|pressure| pressure.slowdown_percent >= MIN_SLOWDOWN_PERCENT)
            .collect()
    }
}

fn status(attribution: Attribution) -> PressureStatus {
    PressureStatus {
        victim: attribution.victim,
        source: attribution.source,
        slowdown_percent: percent(attribution.slowdown),
    }
}

/// Ratio in percent; a ratio that is not finite counts as the largest number.
fn percent(ratio: f64) -> u32 {
    let percent = (ratio * 100.0).round();
    if percent.is_finite() {
        #[expect(clippy::cast_possible_truncation, reason = "the cast saturates")]
        #[expect(clippy::cast_sign_loss, reason = "the cast saturates")]
        return percent as u32;
    }
    u32::MAX
}
