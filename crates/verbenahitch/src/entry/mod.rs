//! An entry host: accepts jobs from callers and takes part in electing the owner,
//! the one entry host that runs the dispatcher.
//!
//! Every host watches the operators' keys and the owner's key. Any host can accept
//! a job with one write to the store. It then notifies the owner, which would
//! otherwise find the job through its own watch. Accepting, cancelling and reading
//! the state of a job need only the store when the owner does not answer.
//!
//! [`intake`] serves callers, [`accounts`] decides who a caller is, [`admission`] decides
//! which jobs are refused and [`refusals`] makes that final in the store, [`acceptance`] stores the
//! others, [`cancels`] ends them, `election` elects
//! the owner by the rules in [`succession`], `owner` runs the
//! [`Dispatcher`](crate::dispatch::Dispatcher), `link` carries calls to the owner. Of entries that
//! cannot be read, [`unreadable`] bounds the log lines.

pub mod acceptance;
pub mod accounts;
pub mod admission;
pub mod cancels;
mod election;
mod host;
pub mod intake;
mod keys;
mod lease;
mod link;
pub mod observe;
mod owner;
pub mod refusals;
pub mod routes;
pub mod succession;
pub mod unreadable;
mod watcher;

pub use host::{EntryHost, EntrySettings};
pub use intake::{Intake, IntakeOutcome, Status};
pub use owner::worker_bounds;
