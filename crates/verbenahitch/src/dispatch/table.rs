//! Jobs as the dispatcher keeps them.

use std::sync::Arc;

use super::Now;
use super::job::{JobRecord, JobSpec, JobState, Queue, StepSpec};
use super::wait;
use super::worker::{RunKey, WorkerKey};
use crate::domain::{Millis, Monotonic};

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub done: bool,
    pub failed: u32,
    /// Highest number of a run.
    pub last_run: u32,
    pub runs: Vec<RunKey>,
    pub checkpoint: String,
    /// Worker on which the last run failed.
    pub avoid: Option<WorkerKey>,
    /// Whether a second run is to race the first.
    pub wants_copy: bool,
}

impl Task {
    /// Whether a run of it is to be placed.
    pub fn is_waiting(&self) -> bool {
        !self.done && (self.runs.is_empty() || (self.wants_copy && self.runs.len() == 1))
    }
}

/// One step of a round.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub left: u32,
    /// Whether it was logged that it waits.
    pub is_noted: bool,
    /// Durations of runs that were done, in milliseconds.
    pub durations: Vec<Millis>,
}

/// One repetition of a job.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub number: u32,
    pub steps: Vec<Step>,
}

impl Round {
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        let step = |spec: &StepSpec| Step {
            tasks: vec![Task::default(); spec.count as usize],
            left: spec.count,
            is_noted: false,
            durations: Vec::new(),
        };
        Self {
            number,
            steps: spec.steps.iter().map(step).collect(),
        }
    }

    /// Whether all that `step` waits for is done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        spec.after
            .iter()
            .all(|on| self.steps.get(*on as usize).is_some_and(|on| on.left == 0))
    }

    /// Whether everything is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }
}

/// One job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub record: JobRecord,
    pub chains: Vec<Millis>,
    pub arrived: Monotonic,
    pub rounds: Vec<Round>,
    /// Repetitions that have begun.
    pub begun: u32,
    pub state: JobState,
    /// State that the store holds.
    pub shown: JobState,
    pub has_started: bool,
    pub version: u64,
    pub written: u64,
    pub is_dirty: bool,
}

impl Job {
    pub fn new(record: JobRecord, now: Now) -> Self {
        let age = now.wall_ms.saturating_sub(record.accepted_ms);
        let mut job = Self {
            chains: wait::chains(&record.spec),
            arrived: now.at - age,
            rounds: Vec::new(),
            begun: 0,
            state: JobState::Queued,
            shown: JobState::Queued,
            has_started: false,
            version: 0,
            written: 0,
            is_dirty: false,
            record,
        };
        job.begin_due(now.wall_ms);
        job
    }

    /// A job of which only the outcome is known.
    pub fn ended(state: JobState, now: Now) -> Self {
        let record = JobRecord {
            queue: Queue {
                name: String::new(),
                pool: String::new(),
                priority: 0,
                attempts: 0,
                stretch: 0.0,
                target_ms: 0,
            },
            spec: JobSpec {
                payload: Arc::from(""),
                steps: Vec::new(),
                repeat: None,
            },
            accepted_ms: now.wall_ms,
        };
        let mut job = Self::new(record, now);
        job.rounds.clear();
        job.state = state;
        job.shown = state;
        job
    }

    /// Repetitions in all.
    pub fn times(&self) -> u32 {
        self.record.spec.repeat.map_or(1, |repeat| repeat.times)
    }

    /// Begins the repetitions that are due.
    pub fn begin_due(&mut self, wall_ms: Millis) {
        while self.begun < self.times() {
            let due = self.record.spec.repeat.map_or(0, |repeat| {
                repeat.first_ms + repeat.interval_ms * Millis::from(self.begun)
            });
            if wall_ms < due {
                return;
            }
            self.begin_round();
        }
    }

    /// Begins the next repetition.
    pub fn begin_round(&mut self) {
        self.rounds.push(Round::new(self.begun, &self.record.spec));
        self.begun += 1;
    }

    /// Round of that number, if it is in progress.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut Round> {
        self.rounds.iter_mut().find(|round| round.number == number)
    }

    /// Step, if its round is in progress.
    pub fn step_mut(&mut self, round: u32, step: u32) -> Option<&mut Step> {
        self.round_mut(round)?.steps.get_mut(step as usize)
    }

    /// Task, if its round is in progress.
    pub fn task_mut(&mut self, round: u32, step: u32, index: u32) -> Option<&mut Task> {
        self.step_mut(round, step)?.tasks.get_mut(index as usize)
    }

    /// Runs of all tasks.
    pub fn runs(&self) -> impl Iterator<Item = RunKey> {
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.flat_map(|task| task.runs.iter().copied())
    }

    /// Declaration of a step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.record.spec.steps.get(step as usize)
    }

    /// Whether nothing is left to do or to stop.
    pub fn is_idle(&self) -> bool {
        self.runs().next().is_none()
    }
}
