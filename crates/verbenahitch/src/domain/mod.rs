//! Types shared by all modules.
//!
//! A *job* is what a caller submits; it consists of identical *tasks*, numbered
//! from zero. Each task runs on one worker at a time. A job belongs to exactly one
//! shard, and so do all its tasks.

mod bucket;
mod job;
mod key;
mod profile;
mod resources;
mod tasks;
mod time;

pub use bucket::Bucket;
pub use job::{JobId, JobRecord, JobSpec, ShardId, TaskId, TaskOutcome};
pub use key::{JobKey, TaskKey, WorkerKey};
pub use profile::{Class, Eviction, Profile};
pub use resources::Resources;
pub use tasks::{Checkpoint, EndedTasks, TaskSet};
pub use time::{Millis, Monotonic};
