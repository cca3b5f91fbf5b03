//! Stand-ins in one process, with one control port for all of them.

mod control;
mod pool;
mod stand_ins;

pub use pool::{Pool, PoolError, parse_fixture};
pub use stand_ins::{Addresses, Parts, Platform, PlatformError, ZoneAddresses};
