//! Waiting steps that passes do not try, and how long they have not been tried.

use super::{Dispatcher, Entry, Kind, Millis, Monotonic, Waiting};

/// Shortest time between two log lines on skipped steps, in milliseconds.
const LOG_PAUSE_MS: Millis = 1_000;

/// Steps that a pass did not try.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Skipped {
    count: usize,
    /// Place in the order, and time without a try, of the one that was tried longest ago.
    longest: Option<(Millis, usize)>,
}

impl Skipped {
    pub fn add(&mut self, at: usize, untried_ms: Millis) {
        self.count += 1;
        if self.longest.is_none_or(|(most, _)| untried_ms > most) {
            self.longest = Some((untried_ms, at));
        }
    }
}

impl Dispatcher {
    /// Records that a pass tries a step.
    pub(super) fn note_tried(&mut self, step: &Waiting, now: Monotonic) {
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step.round, step.step)) {
            state.tried_at = Some(now);
        }
    }

    /// Records and logs, at most once a second, the steps that a pass did not try.
    pub(super) fn log_skipped(
        &mut self,
        skipped: Skipped,
        waiting: &[Waiting],
        unplaced: usize,
        now: Monotonic,
    ) {
        let (untried_ms, at) = skipped.longest.unwrap_or_default();
        self.steps_waiting.skipped = skipped.count;
        self.steps_waiting.untried_ms = untried_ms;
        let is_recent = self
            .skipped_logged
            .is_some_and(|at| now.since(at) < LOG_PAUSE_MS);
        if is_recent || skipped.count == 0 {
            return;
        }
        self.skipped_logged = Some(now);
        let step = &waiting[at];
        Entry::new(Kind::StepsSkipped)
            .with("skipped", skipped.count)
            .with("waiting", waiting.len())
            .with("unplaced", unplaced)
            .with_text("job", step.job)
            .with("step", step.step)
            .with("class", step.rank.deadline_class())
            .with("place", at)
            .with("age-ms", step.rank.age_ms)
            .with("untried-ms", untried_ms)
            .emit();
    }
}
