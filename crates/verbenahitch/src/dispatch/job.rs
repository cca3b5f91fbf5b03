//! Jobs as callers submit them: steps of equal tasks, ordered by dependencies.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::domain::Millis;

/// Most tasks that one step may have.
const MAX_TASKS: u32 = 10_000;

/// Most steps that one job may have.
const MAX_STEPS: usize = 1_000;

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
    /// Job.
    pub job: JobId,
    /// Repetition of the job, from zero.
    pub round: u32,
    /// Step of the job, from zero.
    pub step: u32,
    /// Task of the step, from zero.
    pub index: u32,
}

/// The text names no job or task.
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

/// Resources of a task or a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Amount {
    /// Processors in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Amount {
    /// Whether `self` fits into `free`.
    pub fn fits(self, free: Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.gpus <= free.gpus
    }

    /// Adds `other`.
    pub fn add(&mut self, other: Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }

    /// Takes `other` away, not below zero.
    pub fn remove(&mut self, other: Self) {
        *self = self.less(other);
    }

    /// What is left of `self` without `other`, not below zero.
    pub fn less(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Tasks of one step: all of the same size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct StepSpec {
    /// Tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub count: u32,
    /// What each task commits.
    #[serde(skip_serializing_if = "is_default")]
    pub amount: Amount,
    /// Declared run time of a task in milliseconds, often far off.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
    /// Earlier steps whose tasks must be done first.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks work only all together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slowed when they run on several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub tight: bool,
    /// Label that the worker must have, empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub label: String,
    /// Rack of the data, empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub rack: String,
    /// Most tasks of the step on one worker, zero for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub spread: u32,
    /// Whether several runs of one task may race.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub standing: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Limit of the tail latency of a standing task in milliseconds, zero for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: Millis,
    /// Whether the tasks run on processor time that others leave idle.
    #[serde(skip_serializing_if = "is_default")]
    pub filler: bool,
    /// Standing tasks that may be away at once for planned reasons.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Times at which the steps of a job run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Repeat {
    /// How many times.
    pub times: u32,
    /// First due time in milliseconds since the Unix epoch.
    pub first_ms: Millis,
    /// Time between two due times in milliseconds.
    pub interval_ms: Millis,
}

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobSpec {
    /// Input that every task is given.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Due times; none runs once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// Nothing to do.
    #[snafu(display("a job needs between 1 and {MAX_STEPS} steps, this one has {steps}"))]
    Steps {
        /// Steps given.
        steps: usize,
    },
    /// A step without tasks or with too many.
    #[snafu(display("step {step} has {count} tasks, allowed are 1 to {MAX_TASKS}"))]
    Count {
        /// Step.
        step: usize,
        /// Tasks given.
        count: u32,
    },
    /// A dependency that can never be met.
    #[snafu(display("step {step} waits for step {on}, which is not an earlier one"))]
    Order {
        /// Step.
        step: usize,
        /// What it waits for.
        on: u32,
    },
}

impl JobSpec {
    /// Checks what does not depend on workers.
    ///
    /// # Errors
    ///
    /// When no worker could ever finish the job.
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

/// Terms under which a queue runs its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Pool of workers that run its tasks.
    pub pool: String,
    /// Rank among queues, zero first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// Constant part of the objective in milliseconds.
    pub target_ms: Millis,
}

/// A job as the store keeps it until it has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Terms at the time of acceptance.
    pub queue: Queue,
    /// What was submitted.
    pub spec: JobSpec,
    /// Acceptance in milliseconds since the Unix epoch, by the accepting host.
    pub accepted_ms: Millis,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// Every task has ended well.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job will start any more.
    pub fn is_final(self) -> bool {
        match self {
            Self::Queued | Self::Running => false,
            Self::Completed | Self::Failed | Self::Cancelled => true,
        }
    }
}
