//! Routing: the subset of upstreams that a gateway uses, their load and health,
//! and the choice of an upstream for a request.
//!
//! A decision reads atomics and a [`Table`] that is published by
//! read-copy-update; it takes no lock and allocates nothing.

mod health;
mod limit;
pub(super) mod probe;
pub(super) mod refresh;
mod subset;
mod table;
mod upstream;

pub use health::Health;
pub use limit::Limit;
pub use table::{Choice, MAX_ATTEMPTS, Reason, RoutingConfig, Table};
pub use upstream::{Slot, Upstream};
