//! Jobs as callers submit them: steps of identical tasks, ordered by dependencies.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::domain::Millis;

/// Maximum number of tasks of a step.
const MAX_TASKS: u32 = 10_000;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;

/// Identifier of a job, chosen by its caller.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct JobId(pub u64);

/// One task of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct TaskId {
    /// Job that it belongs to.
    pub job: JobId,
    /// Repetition of the job, from zero.
    pub round: u32,
    /// Index of the step in the job, from zero.
    pub step: u32,
    /// Index of the task in the step, from zero.
    pub index: u32,
}

/// Text that is no identifier of a job or task.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not an identifier"))]
pub struct IdError {
    /// Text.
    pub text: String,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let id = Some(text)
            .filter(|text| text.len() == 16 && text.bytes().all(is_digit))
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        id.map(Self).ok_or_else(|| IdSnafu { text }.build())
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            round,
            step,
            index,
        } = self;
        write!(f, "{job}.{round}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut parts = text.split('.');
        let parsed = (|| {
            let id = Self {
                job: parts.next()?.parse().ok()?,
                round: parts.next()?.parse().ok()?,
                step: parts.next()?.parse().ok()?,
                index: parts.next()?.parse().ok()?,
            };
            parts.next().is_none().then_some(id)
        })();
        parsed.ok_or_else(|| IdSnafu { text }.build())
    }
}

/// Largest amount of a resource in a sum, and of one worker. Sums over a million workers do not
/// overflow.
const SUM_MAX: u64 = 1 << 44;

/// Resources of a task or a worker. Callers may ask for any amount, so sums and products saturate,
/// far above all that a fleet has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Amount {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

/// Sum of two amounts of a resource, at most [`SUM_MAX`].
pub(super) fn add_amount(left: u64, right: u64) -> u64 {
    left.saturating_add(right).min(SUM_MAX)
}

impl Amount {
    /// Greater of each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Whether `self` fits into `free`.
    pub fn fits(self, free: Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.gpus <= free.gpus
    }

    /// Adds `other`.
    pub fn add(&mut self, other: Self) {
        self.cpu_milli = add_amount(self.cpu_milli, other.cpu_milli);
        self.memory_mb = add_amount(self.memory_mb, other.memory_mb);
        self.gpus = add_amount(self.gpus, other.gpus);
    }

    /// As much of each resource as a worker can have.
    pub(super) fn bounded(self) -> Self {
        let mut sum = Self::default();
        sum.add(self);
        sum
    }

    /// Subtracts `other`, not below zero.
    pub fn remove(&mut self, other: Self) {
        *self = self.less(other);
    }

    /// `count` times as much.
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Difference of `self` and `other`, not below zero.
    pub fn less(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Step of a job: identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct StepSpec {
    /// Number of tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub count: u32,
    /// Resources of each task.
    #[serde(skip_serializing_if = "is_default")]
    pub amount: Amount,
    /// Declared run time of a task in milliseconds; often far from the actual one.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
    /// Indexes of earlier steps whose tasks must be done first.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks can only work while all of them run.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks slow down when they are spread over several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub tight: bool,
    /// Label that the worker must have, empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub label: String,
    /// Rack of the data, empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub rack: String,
    /// Maximum number of tasks of the step on one worker, zero for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub spread: u32,
    /// Whether a task may have two runs at once, of which the first to complete counts.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub standing: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Target of the tail latency of a standing task in milliseconds, zero for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: Millis,
    /// Whether the tasks run on CPU time that other tasks leave idle.
    #[serde(skip_serializing_if = "is_default")]
    pub filler: bool,
    /// Number of standing tasks that may be down at once for planned reasons.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Schedule of a job whose steps run repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Repeat {
    /// Number of repetitions.
    pub times: u32,
    /// First due time in milliseconds since the Unix epoch.
    pub first_ms: Millis,
    /// Time between two due times in milliseconds.
    pub interval_ms: Millis,
}

/// Job that a caller submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobSpec {
    /// Input that every task is given.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Schedule; without one the job runs once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// Reason why a submitted job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// A job without steps or with too many.
    #[snafu(display("a job needs between 1 and {MAX_STEPS} steps, this one has {steps}"))]
    Steps {
        /// Steps given.
        steps: usize,
    },
    /// A step without tasks or with too many.
    #[snafu(display("step {step} has {count} tasks, allowed are 1 to {MAX_TASKS}"))]
    Count {
        /// Index of the step.
        step: usize,
        /// Tasks given.
        count: u32,
    },
    /// A dependency on a step that is not an earlier one.
    #[snafu(display("step {step} waits for step {on}, which is not an earlier one"))]
    Order {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        on: u32,
    },
}

impl JobSpec {
    /// Checks the numbers of steps and tasks, and the dependencies.
    ///
    /// # Errors
    ///
    /// When the job is invalid, whatever workers there are.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            let steps = self.steps.len();
            return StepsSnafu { steps }.fail();
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let count = spec.count;
            if count == 0 || count > MAX_TASKS {
                return CountSnafu { step, count }.fail();
            }
            let later = spec.after.iter().find(|on| **on as usize >= step);
            if let Some(&on) = later {
                return OrderSnafu { step, on }.fail();
            }
        }
        Ok(())
    }
}

/// Queue, with the rules for its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Pool of workers that run its tasks.
    pub pool: String,
    /// Priority among queues; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Factor of the critical path in the completion objective.
    pub stretch: f64,
    /// Constant part of the completion objective in milliseconds.
    pub target_ms: Millis,
}

impl Queue {
    /// Completion objective of a job with that critical path, in milliseconds since its
    /// acceptance.
    pub fn objective_ms(&self, critical_ms: Millis) -> Millis {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "saturates; durations are far below 2^52 ms"
        )]
        let stretched = (critical_ms as f64 * self.stretch.max(0.0)) as Millis;
        stretched.saturating_add(self.target_ms)
    }
}

/// Record of a job in the store until the job has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Queue as declared at acceptance.
    pub queue: Queue,
    /// Job as submitted.
    pub spec: JobSpec,
    /// Client account of the caller, none where the operators declare no accounts or the
    /// queue takes jobs of anyone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Time of acceptance in milliseconds since the Unix epoch, by the accepting host's
    /// clock.
    pub accepted_ms: Millis,
}

/// Whether two client accounts are known and differ. A job that anyone could submit has none,
/// nor has a caller on a public route.
pub fn are_foreign(one: Option<&str>, other: Option<&str>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether no task of the job will be started any more.
    pub fn is_final(self) -> bool {
        match self {
            Self::Queued | Self::Running => false,
            Self::Completed | Self::Failed | Self::Cancelled => true,
        }
    }
}
