//! Settings of the daemons: a file in JSON with comments, validated completely
//! before a daemon starts.
//!
//! One file configures both daemons of an entry host. All faults in a file are
//! reported at once, each with its line and column. The declarations are
//! validated in the same way.

mod check;
mod declared;
mod fault;
mod load;
mod schema;
mod shape;
mod table;
mod token;

pub use declared::DECLARATIONS;
pub use fault::{LocatedFault, SettingsError};
pub use load::{load, load_declarations, parse_declarations, parse_settings};
pub use schema::{
    GatewaySettings, LogSettings, OperatorSettings, PeerSettings, PlatformSettings,
    SchedulerSettings, Seed, Settings,
};
pub use shape::{Fallback, Field, Shape};
pub use table::SETTINGS;
pub use token::{TokenError, read_token};
