//! State that the dispatcher keeps of jobs, their repetitions, steps and tasks.

use std::cell::Cell;
use std::sync::Arc;

use super::crash::LapsedRun;
use super::job::{JobRecord, JobSpec, JobState, Queue, StepSpec};
use super::worker::{RunKey, WorkerKey};
use super::{AccountKey, Now};
use super::{record_size, room, step_order};
use crate::domain::{Millis, Monotonic};

/// When the last run of a task ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LastEnd {
    /// It has not run.
    #[default]
    Never,
    /// Before this owner.
    Earlier,
    /// As far as known.
    At(Monotonic),
}

impl LastEnd {
    /// Time since then in milliseconds; none if it is not known.
    pub fn age_ms(self, now: Monotonic) -> Option<Millis> {
        match self {
            Self::Never | Self::Earlier => None,
            Self::At(at) => Some(now.since(at)),
        }
    }
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub done: bool,
    /// Number of failed runs.
    pub failed: u32,
    /// Number of crashes under it since a run of it last settled.
    pub crashes: u32,
    /// Number of those that no wider loss of workers explains.
    pub unexplained: u32,
    /// Number of those under runs that may never have been ordered.
    pub unproven: u32,
    /// Numbers of the runs that were last counted as crashed.
    pub blamed: Vec<u32>,
    /// When this owner last counted one, or learned of them.
    pub crashed_at: Option<Monotonic>,
    /// Runs that ended as the leases of their workers lapsed, which may have crashed.
    pub lapsed: Vec<LapsedRun>,
    /// Highest run number used.
    pub last_run: u32,
    /// Runs that may still be running.
    pub runs: Vec<RunKey>,
    /// When its last run ended.
    pub last_end: LastEnd,
    pub checkpoint: String,
    /// Worker that the next run avoids, as an earlier one failed or was slow there, or was
    /// moved off it.
    pub avoid: Option<WorkerKey>,
    /// Whether a speculative second run is wanted.
    pub wants_copy: bool,
}

impl Task {
    /// Number of losses of workers under it that no wider loss explains: crashes, and silences that
    /// may have been some.
    pub fn unexplained_losses(&self) -> u32 {
        let open = self.lapsed.iter().filter(|run| run.is_unexplained);
        self.unexplained + u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Whether it waits although it ran before, and has for long or since an earlier owner.
    pub fn is_overdue(&self, now: Monotonic) -> bool {
        let is_overdue = match self.last_end {
            LastEnd::Never => false,
            LastEnd::Earlier => true,
            LastEnd::At(at) => room::is_overdue(now.since(at)),
        };
        is_overdue && self.is_waiting()
    }

    /// Whether a run of the task is to be placed.
    pub fn is_waiting(&self) -> bool {
        !self.done && (self.runs.is_empty() || (self.wants_copy && self.runs.len() == 1))
    }
}

/// State of a step in one round.
#[derive(Clone, Debug)]
pub(super) struct Step {
    tasks: Vec<Task>,
    /// Number of waiting tasks, none once a task may have changed.
    waiting: Cell<Option<u32>>,
    /// Number of tasks that are not done.
    pub remaining: u32,
    /// When the wait of the step was last logged.
    pub logged_at: Option<Monotonic>,
    /// When a pass last tried to place its tasks.
    pub tried_at: Option<Monotonic>,
    /// Durations of completed runs that were neither resumed nor throttled, in milliseconds.
    pub durations: Vec<Millis>,
}

impl Step {
    pub fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.waiting.set(None);
        self.tasks.get_mut(index as usize)
    }

    /// Number of tasks of which a run is to be placed.
    pub fn waiting(&self) -> u32 {
        self.waiting.get().unwrap_or_else(|| {
            let waiting = self.tasks.iter().filter(|task| task.is_waiting());
            let count = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
            self.waiting.set(Some(count));
            count
        })
    }
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
            waiting: Cell::new(None),
            remaining: spec.count,
            logged_at: None,
            tried_at: None,
            durations: Vec::new(),
        };
        Self {
            number,
            steps: spec.steps.iter().map(step).collect(),
        }
    }

    /// Whether the steps that `spec` depends on are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        spec.after.iter().all(|on| {
            self.steps
                .get(*on as usize)
                .is_some_and(|s| s.remaining == 0)
        })
    }

    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }
}

/// Mean work of the jobs of a queue, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkMean {
    sum: f64,
    count: f64,
}

impl WorkMean {
    #[expect(
        clippy::cast_precision_loss,
        reason = "work is far below 2^52 core-milliseconds"
    )]
    pub fn add(&mut self, work: u64) {
        self.sum += work as f64;
        self.count += 1.0;
    }

    pub fn value(self) -> f64 {
        self.sum / self.count.max(1.0)
    }
}

/// Core-milliseconds of one round of a job by declared run times.
fn work_of(spec: &JobSpec) -> u64 {
    let each = spec.steps.iter();
    each.map(|step| step_order::work_of(step, u64::from(step.count)))
        .fold(0, u64::saturating_add)
}

/// State of a job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub record: JobRecord,
    /// Client account.
    pub account: Option<AccountKey>,
    /// Whether it lies beyond the rate of its account.
    pub beyond_rate: bool,
    /// Critical path from each step, in milliseconds.
    pub critical_paths: Vec<Millis>,
    /// Core-milliseconds of one round by declared run times.
    pub work: u64,
    /// Bytes of the rows of all tasks in the record of its progress.
    pub rows_bytes: usize,
    /// Time since its acceptance when this owner learned of it, in milliseconds. It may have
    /// been accepted before the owner's clock began.
    known_age_ms: Millis,
    /// When this owner learned of it.
    known_at: Monotonic,
    /// Time to its end as forecast at acceptance, in milliseconds.
    pub forecast_ms: Option<Millis>,
    pub rounds: Vec<Round>,
    /// Number of repetitions that have begun.
    pub rounds_begun: u32,
    pub state: JobState,
    /// State that callers are shown: a final one only once the store holds it.
    pub visible_state: JobState,
    pub has_started: bool,
    /// Since when none of its tasks runs though some wait, as the last passes saw it.
    pub idle_since: Cell<Option<Monotonic>>,
    /// Number of changes so far.
    pub version: u64,
    /// Version that the store holds.
    pub stored_version: u64,
    pub is_dirty: bool,
}

impl Job {
    pub fn new(record: JobRecord, now: Now) -> Self {
        let mut job = Self {
            critical_paths: step_order::critical_paths(&record.spec),
            work: work_of(&record.spec),
            rows_bytes: record_size::rows_bytes(&record.spec),
            known_age_ms: now.wall_ms.saturating_sub(record.accepted_ms),
            known_at: now.at,
            forecast_ms: None,
            rounds: Vec::new(),
            rounds_begun: 0,
            state: JobState::Queued,
            visible_state: JobState::Queued,
            has_started: false,
            idle_since: Cell::new(None),
            version: 0,
            stored_version: 0,
            is_dirty: false,
            account: None,
            beyond_rate: false,
            record,
        };
        job.begin_due(now.wall_ms);
        job
    }

    /// Creates a job of which only the outcome is known.
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
            account: None,
            accepted_ms: now.wall_ms,
        };
        let mut job = Self::new(record, now);
        job.rounds.clear();
        job.state = state;
        job.visible_state = state;
        job
    }

    /// Time since its acceptance, in milliseconds.
    pub fn age_ms(&self, now: Monotonic) -> Millis {
        self.known_age_ms.saturating_add(now.since(self.known_at))
    }

    /// Time since none of its tasks runs though some wait, in milliseconds.
    pub fn idle_ms(&self, is_idle: bool, now: Monotonic) -> Millis {
        let since = is_idle.then(|| self.idle_since.get().unwrap_or(now));
        self.idle_since.set(since);
        since.map_or(0, |at| now.since(at))
    }

    /// Number of repetitions.
    pub fn times(&self) -> u32 {
        self.record.spec.repeat.map_or(1, |repeat| repeat.times)
    }

    /// Begins the repetitions that are due.
    pub fn begin_due(&mut self, wall_ms: Millis) {
        while self.rounds_begun < self.times() {
            let due = self.record.spec.repeat.map_or(0, |repeat| {
                let past = repeat.interval_ms.saturating_mul(self.rounds_begun.into());
                repeat.first_ms.saturating_add(past)
            });
            if wall_ms < due {
                return;
            }
            self.begin_round();
        }
    }

    /// Begins the next repetition.
    pub fn begin_round(&mut self) {
        self.rounds
            .push(Round::new(self.rounds_begun, &self.record.spec));
        self.rounds_begun += 1;
    }

    /// Round of that number, if it has begun.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut Round> {
        self.rounds.iter_mut().find(|round| round.number == number)
    }

    /// Step, if its round has begun.
    pub fn step_mut(&mut self, round: u32, step: u32) -> Option<&mut Step> {
        self.round_mut(round)?.steps.get_mut(step as usize)
    }

    /// Task, if its round has begun.
    pub fn task_mut(&mut self, round: u32, step: u32, index: u32) -> Option<&mut Task> {
        self.step_mut(round, step)?.task_mut(index)
    }

    /// Tasks of a step, if its round has begun.
    pub fn tasks(&self, round: u32, step: u32) -> Option<&[Task]> {
        let round = self.rounds.iter().find(|other| other.number == round)?;
        let step = round.steps.get(step as usize)?;
        Some(&step.tasks)
    }

    /// Task, if its round has begun.
    pub fn task(&self, round: u32, step: u32, index: u32) -> Option<&Task> {
        self.tasks(round, step)?.get(index as usize)
    }

    /// Runs of all tasks.
    pub fn runs(&self) -> impl Iterator<Item = RunKey> {
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.flat_map(|task| task.runs.iter().copied())
    }

    /// Specification of a step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.record.spec.steps.get(step as usize)
    }

    /// Whether no run may still be running.
    pub fn is_idle(&self) -> bool {
        self.runs().next().is_none()
    }
}
