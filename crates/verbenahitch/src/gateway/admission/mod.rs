//! Admission: which request gets the next free slot, and which is refused at once.
//!
//! While an upstream has a free slot, a request takes it without waiting. When
//! no slot is free, requests wait in a [`Queue`] owned by one task, which gives
//! each freed slot to the next request by worth and deadline.

mod budget;
mod control;
mod latency;
mod queue;
mod slot_signal;

pub use budget::RetryBudget;
pub(super) use control::{Admission, run_queue};
pub use latency::Latency;
pub use queue::{Queue, QueueKey, Shed};
pub use slot_signal::SlotSignal;
