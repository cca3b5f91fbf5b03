//! Stand-in of the platform's lagging list of workers.

mod handle;
mod route;

pub use handle::{Hosts, Settings};
