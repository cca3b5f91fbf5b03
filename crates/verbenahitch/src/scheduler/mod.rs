//! The scheduler: owns shards, places their tasks and keeps their state.
//!
//! [`Shard`] is the decision logic of one shard. It does no I/O: the daemon
//! passes [`Input`]s to it and executes the [`Action`]s that it returns.

mod daemon;
mod message;
mod shard;

pub(crate) use daemon::keys;
pub use daemon::{DaemonError, Running, run, start};
pub use message::{
    Action, Answer, Batch, CommitError, Input, JobStatus, PressureStatus, Request, ShardStatus,
    SubmitError, WorkerStatus, Write,
};
pub use shard::{Params, Shard};
