//! Stand-in of the platform's key-value service.
//!
//! It keeps to the part of Consul's published HTTP interface that
//! `verbenahitch::adapter::Store` uses, and counts every call, a waiting watch
//! as one.

mod calls;
mod handle;
mod route;
mod session;
mod state;
mod txn;

pub use calls::{CallKind, Calls, Limits};
pub use handle::{Settings, Store};
