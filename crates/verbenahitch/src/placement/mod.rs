//! Placement: which worker runs a task.
//!
//! [`Placer`] keeps the committed resources of every worker of one shard and
//! chooses among them. It never commits a worker beyond its size, whoever asks.

mod placer;

pub use placer::{Ask, Choice, Overcommit, Placer, Reason, Resident, WorkerState};
