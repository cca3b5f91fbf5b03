//! Stand-in for the platform's key-value service.
//!
//! It implements the part of Consul's published HTTP interface that
//! `verbenahitch::adapter::Store` uses, and counts every call; a watch counts
//! once, however long it waits.

mod calls;
mod handle;
mod route;
mod session;
mod state;
mod txn;

pub use calls::{CallKind, Calls, Limits};
pub use handle::{Settings, Store};
