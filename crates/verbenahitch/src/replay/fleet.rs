//! Workers, jobs and runs of a replay, as they truly are.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::domain::{Millis, Monotonic, Profile, Resources, TaskKey, WorkerKey};
use crate::port::Usage;

use super::trace::Submit;

/// A worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) rack: String,
    pub(super) cell: usize,
    pub(super) key: WorkerKey,
    pub(super) capacity: Resources,
    pub(super) up: bool,
    /// Fails whatever starts on it.
    pub(super) bad: bool,
    /// Answers requests.
    pub(super) serves: bool,
    /// Failures in a row.
    pub(super) streak: u32,
    pub(super) runs: Vec<u64>,
    /// Reports that have not arrived yet, with the time of the measurement.
    pub(super) reports: VecDeque<(Monotonic, Usage)>,
}

/// A run of a batch task.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) worker: usize,
    pub(super) name: Arc<str>,
    pub(super) profile: Arc<Profile>,
    pub(super) committed: Resources,
    pub(super) share: f64,
    /// Work done in milliseconds.
    pub(super) progress: f64,
    pub(super) checkpoint: f64,
    pub(super) checkpoint_due: Monotonic,
    pub(super) since: Monotonic,
    /// When an eviction ends it.
    pub(super) stops: Option<Monotonic>,
}

/// How a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits since then.
    Waiting(Monotonic),
    /// Runs.
    Running(u64),
    /// Its worker died; starts again once the lease has lapsed.
    Leased,
    /// Finished, cancelled or refused.
    Ended,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) state: State,
    /// Newest checkpoint: work done in milliseconds.
    pub(super) checkpoint: f64,
    /// Worker on which it failed last.
    pub(super) avoid: Option<usize>,
}

/// A job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) submit: Submit,
    pub(super) name: Arc<str>,
    pub(super) profile: Arc<Profile>,
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
            name: Arc::from(submit.profile.as_str()),
            profile,
            cell,
            accepted: now,
            tasks: vec![task; count],
            submit,
        }
    }

    /// Task of the job.
    pub(super) fn task(&mut self, index: u32) -> &mut Task {
        &mut self.tasks[usize::try_from(index).unwrap_or(usize::MAX)]
    }

    /// Whether an end now is in time.
    pub(super) fn is_timely(&self, now: Monotonic) -> bool {
        now.since(self.accepted) <= self.profile.deadline_ms
    }

    /// Work of one task.
    pub(super) fn work_ms(&self) -> Millis {
        self.submit.run_ms
    }
}
