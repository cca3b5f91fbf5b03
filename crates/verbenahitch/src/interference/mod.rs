//! Interference: which profile slows which on a shared worker, and what to do
//! about it.
//!
//! [`Estimator`] learns the slowdown of each pair of a latency-critical and a
//! batch profile from lagging reports. [`Relief`] is what the placer asks for
//! when a worker's answers stay too slow. docs/design/interference.md gives the
//! model and the figures.

mod estimate;
mod matrix;
mod relief;
mod roster;

pub use estimate::{Attribution, Estimator, Observation};
pub use relief::Relief;
pub(crate) use relief::{Hold, Measure, Strain, Suspect, Victim};
pub use roster::{ProfileId, Roster};
