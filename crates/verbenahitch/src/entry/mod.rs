//! One entry host: it accepts callers' jobs, and one of all entry hosts owns the
//! dispatching at a time.
//!
//! Every host follows the operators' keys and who the owner is. A job is
//! accepted by whichever host it reaches, with one write to the store; the owner
//! is told at once and finds it by its own watch otherwise. Nothing else about a
//! job needs the owner: when it is away, states are read from the store.
//!
//! [`intake`] serves callers' calls, `lead` elects the owner, `owner` drives the
//! [`Dispatcher`](crate::dispatch::Dispatcher), `link` carries calls to the owner.

mod follow;
pub mod intake;
mod keys;
mod lead;
mod link;
mod node;
pub mod observe;
mod owner;
mod pause;

pub use intake::{Accepted, Intake, Status};
pub use node::{EntrySettings, Node};
