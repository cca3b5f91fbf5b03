//! Placement: which worker runs a task.
//!
//! [`Placer`] tracks the committed resources of every worker of one shard and
//! chooses among the workers. It never commits a worker beyond its capacity,
//! regardless of the task's priority. docs/design/placement.md compares the
//! alternatives and gives measurements.

mod budget;
mod choice;
mod choose;
mod eviction;
mod host;
mod index;
mod observe;
mod placer;
mod quota;
mod rank;
mod score;
mod size;

pub use choice::{Choice, Overcommit, PlacementRequest, Reason, Resident, WorkerState};
pub use placer::Placer;
pub use rank::{OfferResult, WaitingTasks};
