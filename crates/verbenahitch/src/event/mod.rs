//! Numbered log events.
//!
//! Every decision that an operator may ask about is logged as one [`Entry`]: a
//! [`Kind`] from the closed catalogue, and its fields. docs/EVENTS.md lists the catalogue.

mod entry;
mod kind;
mod logger;
mod queue;
mod trace;

pub use entry::Entry;
pub use kind::Kind;
pub use logger::{Level, LogError, start_logging, start_queued_logging};
pub use queue::LogGuard;
pub use trace::{LogTrace, trace};
