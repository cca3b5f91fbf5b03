//! Stand-in for a worker: the platform's task interface on one address, the
//! upstream's HTTP interface on another.
//!
//! The task interface follows `verbenahitch::port::SyncRequest`. The upstream
//! serves a bounded number of requests at a time, with a service time that is
//! drawn from a seeded distribution and grows with the interference of the batch
//! runs on the same worker.

mod control;
mod engine;
mod handle;
mod latency;
mod pressure;
mod run;
mod upstream;

pub use handle::Worker;
pub use pressure::Pressure;
pub use settings::{Behaviour, ServiceTime, Settings};
pub use upstream::{CALL_ID, Receipt};

mod settings;
