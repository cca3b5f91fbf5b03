//! Admission: which request gets the next free slot, and which is refused at once.
//!
//! While upstreams have free slots, a request takes one without waiting. Once
//! all are taken, requests wait in a [`queue`] that one task owns and that
//! hands each freed slot to the request that is next by worth and deadline.

mod freed;
mod gate;
pub mod queue;

pub use freed::Freed;
pub use gate::{Admission, dispatch};
