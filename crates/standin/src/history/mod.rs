//! What workers and callers saw, and the check of it against the promises.
//!
//! The check believes nothing that the system under test says of itself: it
//! reads what ran where and when from the workers, what came back from the
//! callers, and when an availability zone was out from the operator.

mod check;
mod record;
mod requests;
mod tasks;

pub use check::{Rules, Violation, check};
pub use record::{
    CallOutcome, CallRecord, EndMemory, Outage, RequestRecord, RunEnd, RunRecord, Session,
    WorkerHistory,
};
