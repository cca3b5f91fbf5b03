//! A set of stand-ins in one process, with one control port for all of them.

mod control;
mod pool;
mod set;

pub use pool::{Pool, PoolError, parse_fixture};
pub use set::{Addresses, Parts, Platform, PlatformError, ZoneAddresses};
