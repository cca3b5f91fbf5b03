//! Interference between tasks on one worker: estimates of the slowdown, and actions
//! against it.
//!
//! [`Estimator`] estimates how much each batch profile (the *source*) slows each
//! latency-critical profile (the *victim*), from usage reports that lag by seconds.
//! Slowdowns are relative to the victim's *baseline* latency, which it has without
//! interference. [`Mitigation`] is an action that the placer requests when the slowdown
//! on a worker exceeds what the victim tolerates. docs/design/interference.md
//! describes the model and gives measurements.

mod estimate;
mod matrix;
mod mitigation;
mod profiles;

pub use estimate::{Attribution, Estimator, Observation};
pub use mitigation::Mitigation;
pub(crate) use mitigation::{Action, Controller, Slowdown, Suspect, Victim};
pub use profiles::{ProfileId, ProfileTable};
