//! What workers and callers saw, and the check of it.

mod record;

pub use record::{RequestRecord, RunEnd, RunRecord, WorkerHistory};
