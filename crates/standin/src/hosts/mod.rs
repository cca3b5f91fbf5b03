//! Stand-in for the platform's worker list, which lags behind changes.

mod handle;
mod route;

pub use handle::{Hosts, Settings};
