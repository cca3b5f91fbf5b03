//! Arena keys of workers, jobs and tasks.
//!
//! Keys are valid only within one scheduler process. [`super::JobId`] and worker
//! names identify the same things on the wire and in the store.

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
    /// Index of the task within its job, from zero.
    pub index: u32,
}
