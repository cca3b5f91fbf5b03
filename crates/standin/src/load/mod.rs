//! Load generator: sends requests to the callers' addresses of gateways and checks every answer.
//!
//! The load is open-loop: calls are due at instants that do not depend on the
//! answers, and latency is measured from the instant at which a call was due, so
//! that the latencies include the whole delay of a stall. Count, time and concurrency are
//! bounded.

mod call;
mod plan;
mod report;
mod run;

pub use plan::{KindPlan, Plan};
pub use report::{KindReport, Report};
pub use run::run;
