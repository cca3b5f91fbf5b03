//! Demo of a whole deployment in one process: stand-ins, and the real gateways
//! and schedulers of seven entry hosts over loopback sockets.
//!
//! Callers send the deployment's request kinds, teams submit its jobs, and
//! operators take an availability zone out and bring it back. At the end the
//! histories of workers and callers are checked against the guarantees.

mod deployment;
mod entry;
mod error;
mod events;
mod failures;
mod jobs;
mod operator;
mod report;
mod session;
mod traffic;

pub use deployment::Deployment;
pub use error::DemoError;
pub use report::{JobReport, Report, ZoneReport};
pub use session::{Options, run};
