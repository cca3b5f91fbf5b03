//! The gateway: admits callers' requests and routes them to upstreams.
//!
//! [`Callers`] listens for callers. A request's head and body are checked
//! whole before anything is sent; then it gets an upstream from the routing
//! table, and its whole answer is read before the first byte goes to the
//! caller. What is refused has provably not run; what may have run is answered
//! as an unknown outcome.

pub mod admission;
mod daemon;
mod error;
mod once;
pub mod operators;
mod path;
pub mod route;

pub use daemon::{Running, run};
pub use error::GatewayError;
pub use path::{Callers, Deps, Stats};
