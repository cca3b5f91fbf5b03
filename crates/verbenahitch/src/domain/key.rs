//! Small keys into the arenas of one scheduler process.
//!
//! Keys never leave the process; [`super::JobId`] and worker names do.

slotmap::new_key_type! {
    /// Key of a worker in its shard's arena.
    pub struct WorkerKey;

    /// Key of a job in its shard's arena.
    pub struct JobKey;
}

/// Key of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Index of the task in its job, from zero.
    pub index: u32,
}
