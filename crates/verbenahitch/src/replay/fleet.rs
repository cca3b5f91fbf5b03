//! Simulated state of the workers, jobs and runs of a replay, as opposed to what the
//! placers have been told.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::domain::{Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};
use crate::port::Usage;

use super::trace::Submit;

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) rack: String,
    /// Index of its cell: the placer and queue of its zone.
    pub(super) cell: usize,
    pub(super) key: WorkerKey,
    pub(super) capacity: Resources,
    pub(super) up: bool,
    /// Whether every run on it fails.
    pub(super) bad: bool,
    /// Whether it has upstreams: with the reserved policy only some workers do.
    pub(super) serves: bool,
    /// Failures in a row.
    pub(super) consecutive_failures: u32,
    pub(super) runs: Vec<u64>,
    /// Reports that have not arrived yet, with the time of the measurement.
    pub(super) reports: VecDeque<(Monotonic, Usage)>,
}

/// A run of a batch task.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) worker: usize,
    pub(super) profile_name: Arc<str>,
    pub(super) profile: Arc<Profile>,
    pub(super) committed: Resources,
    /// Fraction of its CPU that it may use, 1 unless throttled.
    pub(super) cpu_share: f64,
    /// Work done, in milliseconds at full speed.
    pub(super) progress: f64,
    /// Work done at the newest checkpoint, in milliseconds at full speed.
    pub(super) checkpoint: f64,
    pub(super) checkpoint_due: Monotonic,
    pub(super) since: Monotonic,
    /// When an eviction ends the run, if it is being evicted.
    pub(super) eviction_due: Option<Monotonic>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// In the queue since this time.
    Waiting(Monotonic),
    /// On a worker, as the run with this ID.
    Running(u64),
    /// Its worker went down; it is queued again once the lease has lapsed.
    AwaitingLapse,
    /// Finished, cancelled or refused.
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) state: State,
    /// Work done at the newest checkpoint, in milliseconds at full speed.
    pub(super) checkpoint: f64,
    /// Worker on which it failed last.
    pub(super) avoid: Option<usize>,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) submit: Submit,
    pub(super) profile_name: Arc<str>,
    pub(super) profile: Arc<Profile>,
    /// Index of its cell: the placer and queue of its zone.
    pub(super) cell: usize,
    pub(super) accepted: Monotonic,
    pub(super) tasks: Vec<Task>,
}

impl Job {
    pub(super) fn new(submit: Submit, profile: Arc<Profile>, cell: usize, now: Monotonic) -> Self {
        let task = Task {
            state: State::Waiting(now),
            checkpoint: 0.0,
            avoid: None,
        };
        let count = usize::try_from(submit.tasks).unwrap_or(usize::MAX);
        Self {
            profile_name: Arc::from(submit.profile.as_str()),
            profile,
            cell,
            accepted: now,
            tasks: vec![task; count],
            submit,
        }
    }

    pub(super) fn task(&mut self, index: u32) -> &mut Task {
        &mut self.tasks[usize::try_from(index).unwrap_or(usize::MAX)]
    }

    /// Whether a task that ends at `now` meets the deadline.
    pub(super) fn is_timely(&self, now: Monotonic) -> bool {
        now.since(self.accepted) <= self.profile.deadline_ms
    }

    /// Work of one task, in milliseconds at full speed.
    pub(super) fn work_ms(&self) -> Millis {
        self.submit.run_ms
    }
}
