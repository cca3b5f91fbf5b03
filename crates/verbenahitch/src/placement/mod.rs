//! Placement: which worker runs a task.
//!
//! [`Placer`] keeps the committed resources of every worker of one shard and
//! chooses among them. It never commits a worker beyond its size, whoever asks.
//! docs/design/placement.md gives the ways weighed and the figures.

mod budget;
mod choice;
mod choose;
mod host;
mod index;
mod observe;
mod placer;
mod quota;
mod rank;
mod score;
mod size;
mod victim;

pub use choice::{Ask, Choice, Overcommit, Reason, Resident, WorkerState};
pub use placer::Placer;
pub use rank::{Offer, Queue};
