//! Room for short steps beside standing tasks.
//!
//! Load pattern: standing tasks hold nine tenths of the CPU, for minutes. Short steps of
//! the same priority, a few per cent of the work, arrive all the time, need a place
//! within a fraction of a second, and need pieces of a size that a standing task also
//! takes. Their value for a core-second is several times that of a standing task.
//!
//! Short steps are placed first within an [`Allowance`]; what they leave goes to standing
//! tasks at once. A stream of short steps can take each place that becomes free, so standing tasks
//! that have been away for [`OVERDUE_MS`] precede them: none waits for long while there is room for it. By the [`Demand`] of the
//! last seconds, standing tasks are placed where they destroy the fewest pieces that a short
//! task fits.
//!
//! Inputs: declared sizes and run times of short steps; commitments, exact.

mod allowance;
mod demand;

pub use allowance::Allowance;
pub use demand::{Demand, Pieces};

use super::job::StepSpec;
use crate::domain::Millis;

/// Longest run time of a short step, in milliseconds. Such a step hands its room on
/// before standing tasks that wait for it count as away, by the users' rules.
const SHORT_MS: Millis = 3_000;

/// Time since its last run after which a standing task precedes short steps, in milliseconds. The
/// users count it as lost from 6 s on, if there is room for it for 3 s.
pub const OVERDUE_MS: Millis = 5_000;

/// Whether a standing task that ran before has been away for long.
pub fn is_overdue(away_ms: Millis) -> bool {
    away_ms >= OVERDUE_MS
}

/// Whether a step holds its CPU for a short time only.
pub fn is_short(step: &StepSpec) -> bool {
    !step.standing && !step.filler && step.estimate_ms <= SHORT_MS
}
