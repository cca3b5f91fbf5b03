//! Histories recorded by workers and callers, and their check against the guarantees.
//!
//! The check uses no data from the system under test itself: the workers record
//! what ran where and when, the callers record the answers they got, and the
//! operator records when an availability zone was out.

mod check;
mod record;
mod requests;
mod tasks;

pub use check::{Rules, Violation, check};
pub use record::{
    CallOutcome, CallRecord, EndMemory, Outage, RequestRecord, RunEnd, RunRecord, Session,
    WorkerHistory,
};
