//! The gateway: admits callers' requests and routes them to upstreams.
//!
//! [`CallerListener`] listens for callers. The whole head and body of a request are
//! checked before anything is sent upstream; then the routing table selects an
//! upstream, and the whole answer is read before the first byte goes to the
//! caller. A refused request is known not to have run; a request that may have
//! run without an answer is reported as an unknown outcome.

pub mod admission;
mod daemon;
mod error;
mod idempotency;
pub mod operators;
mod path;
pub mod route;

pub use daemon::{Running, run};
pub use error::GatewayError;
pub use path::{CallerListener, Deps, Stats};
