//! Load tool: drives the callers' addresses of gateways and checks every answer.
//!
//! The load is open: calls are due at instants that do not depend on the
//! answers, and a latency counts from the instant at which its call was due, so
//! that a stalled system shows its whole delay. Count, time and concurrency are
//! bounded.

mod call;
mod plan;
mod report;
mod run;

pub use plan::{KindPlan, Plan};
pub use report::{KindReport, Report};
pub use run::run;
