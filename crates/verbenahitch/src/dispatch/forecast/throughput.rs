//! Rate of completed work, observed while work waits.

use std::collections::VecDeque;

use crate::domain::{Millis, Monotonic};

/// Age up to which an observation counts, in milliseconds. Shorter than the usual burst, so
/// that the rate follows the standing tasks' load.
const WINDOW_MS: Millis = 8_000;

/// Least number of observations for a rate.
const MIN_SLOTS: usize = 6;

/// Longest time that one observation may span, in milliseconds; a longer one includes a time
/// in which the dispatcher was suspended.
const MAX_SLOT_MS: Millis = 1_500;

/// Work completed in a span of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    ended_at: Monotonic,
    length_ms: f64,
    work: f64,
}

/// Rate of work with its standard error, in cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub cores: f64,
    pub error: f64,
}

/// Observations of the work that a queue completes.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    slots: VecDeque<Slot>,
    /// Work since the last observation.
    work: f64,
    /// Whether work had waited at the end of the last observation.
    had_waited: bool,
}

impl Throughput {
    /// Records completed work in core-milliseconds.
    pub fn record(&mut self, work: f64) {
        self.work += work;
    }

    /// Ends an observation. It counts only if work waited at its begin and end, as the rate
    /// otherwise is that of arrivals.
    pub fn end_slot(&mut self, length_ms: Millis, has_waited: bool, now: Monotonic) {
        let work = std::mem::take(&mut self.work);
        let is_saturated = std::mem::replace(&mut self.had_waited, has_waited) && has_waited;
        if is_saturated && (1..=MAX_SLOT_MS).contains(&length_ms) {
            #[expect(clippy::cast_precision_loss, reason = "a few hundred milliseconds")]
            let length_ms = length_ms as f64;
            self.slots.push_back(Slot {
                ended_at: now,
                length_ms,
                work,
            });
        }
        let is_old = |slot: &Slot| now.since(slot.ended_at) > WINDOW_MS;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }

    /// Rate at which work is completed; none if too little was observed.
    pub fn rate(&self) -> Option<Rate> {
        if self.slots.len() < MIN_SLOTS {
            return None;
        }
        #[expect(clippy::cast_precision_loss, reason = "a few slots")]
        let count = self.slots.len() as f64;
        let length: f64 = self.slots.iter().map(|slot| slot.length_ms).sum();
        let work: f64 = self.slots.iter().map(|slot| slot.work).sum();
        let cores = work / length;
        let deviation = |slot: &Slot| (slot.work / slot.length_ms - cores).powi(2);
        let variance = self.slots.iter().map(deviation).sum::<f64>() / (count - 1.0);
        let error = (variance / count).sqrt();
        (cores > 0.0 && cores.is_finite() && error.is_finite()).then_some(Rate { cores, error })
    }
}
