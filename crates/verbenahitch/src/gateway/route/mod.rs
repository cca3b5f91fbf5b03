//! Routing: which upstreams a gateway keeps, how busy and how healthy each is,
//! and which of them gets a request.
//!
//! The decision reads a [`Table`] that is published by read-copy-update, and
//! atomics; it takes no lock and allocates nothing.

mod health;
mod limit;
pub(super) mod probe;
pub(super) mod refresh;
mod subset;
mod table;
mod upstream;

pub use health::Health;
pub use limit::Limit;
pub use table::{ATTEMPTS, Choice, Place, Reason, Table};
pub use upstream::{Slot, Upstream};
