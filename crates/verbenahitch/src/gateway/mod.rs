//! The gateway: admits callers' requests and routes them to upstreams.
//!
//! [`Callers`] listens for callers. A request's head and body are checked
//! whole before anything is sent; then it gets an upstream from the routing
//! table, and its whole answer is read before the first byte goes to the
//! caller. What is refused has provably not run; what may have run is answered
//! as an unknown outcome.

mod admission;
mod answer;
mod body;
mod budget;
mod callers;
mod daemon;
mod error;
mod forward;
mod handler;
mod head;
mod header;
mod health;
mod latency;
mod limit;
mod once;
pub mod operators;
mod refresh;
mod report;
mod serve;
mod shared;
mod subset;
mod table;
mod upstream;

pub use callers::{Callers, Deps, Stats};
pub use daemon::{Running, run};
pub use error::GatewayError;
