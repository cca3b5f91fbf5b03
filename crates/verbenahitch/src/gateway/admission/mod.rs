//! Admission: which request gets the next free slot, and which is refused at once.
//!
//! While upstreams have free slots, a request takes one without waiting. Once
//! all are taken, requests wait in a [`Queue`] that one task owns and that
//! hands each freed slot to the request that is next by worth and deadline.

mod budget;
mod freed;
mod gate;
mod latency;
mod queue;

pub use budget::Budget;
pub use freed::Freed;
pub(super) use gate::{Admission, dispatch};
pub use latency::Latency;
pub use queue::{Queue, Shed, Ticket};
