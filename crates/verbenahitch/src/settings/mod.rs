//! Settings of the daemons: JSON with comments, checked whole before anything
//! starts.
//!
//! One file serves both daemons of an entry host. Every fault of a file is
//! reported in one run, with its line and column.

mod fault;
mod load;
mod schema;

pub use fault::{Located, SettingsError};
pub use load::{load, load_declarations, parse};
pub use schema::{
    GatewaySettings, LogSettings, OperatorSettings, PeerSettings, PlatformSettings,
    SchedulerSettings, Seed, Settings,
};
