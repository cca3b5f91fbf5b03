//! Settings of the daemons: JSON with comments, checked whole before anything
//! starts.
//!
//! One file serves both daemons of an entry host. Every fault of a file is
//! reported in one run, with its line and column. The declarations are checked
//! the same way.

mod check;
mod declared;
mod fault;
mod load;
mod schema;
mod shape;
mod table;
mod token;

pub use declared::DECLARATIONS;
pub use fault::{Located, SettingsError};
pub use load::{load, load_declarations, parse_declarations, parse_settings};
pub use schema::{
    GatewaySettings, LogSettings, OperatorSettings, PeerSettings, PlatformSettings,
    SchedulerSettings, Seed, Settings,
};
pub use shape::{Fallback, Field, Shape};
pub use table::SETTINGS;
pub use token::{TokenError, read_token};
