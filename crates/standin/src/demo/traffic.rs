//! What callers and teams of a deployment send.

use std::collections::BTreeMap;

use serde::Deserialize;
use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

use crate::load::KindPlan;

/// Fixture of a deployment's traffic and jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct Traffic {
    /// Mean calls a second by kind.
    pub(super) calls_per_second: BTreeMap<String, f64>,
    /// Share by which the load swings around its mean.
    pub(super) swing: f64,
    /// Availability zone that operators take out and bring back.
    pub(super) zone: String,
    /// Jobs.
    pub(super) jobs: Vec<JobPlan>,
}

/// Equal jobs that are submitted one after the other.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct JobPlan {
    /// Team that submits.
    pub(super) team: String,
    /// Profile of the tasks.
    pub(super) profile: String,
    /// Number of jobs.
    pub(super) count: u32,
    /// Tasks of each job.
    pub(super) tasks: u32,
    /// Declared run time of a task, in milliseconds.
    pub(super) run_ms: Millis,
    /// Submission of the first job, as a share of the demo's time.
    pub(super) from: f64,
    /// Submission of the last job, as a share of the demo's time.
    pub(super) until: f64,
    /// Whether the jobs are cancelled in the end.
    #[serde(default)]
    pub(super) cancelled: bool,
}

impl Traffic {
    /// Calls a second over all kinds.
    pub(super) fn rate(&self) -> f64 {
        self.calls_per_second.values().sum()
    }

    /// Kinds of `declarations` with their shares of the load.
    pub(super) fn kinds(&self, declarations: &Declarations) -> Vec<KindPlan> {
        let weight = |name: &str| self.calls_per_second.get(name).copied().unwrap_or(0.0);
        let kinds = KindPlan::all(declarations).into_iter();
        let weighted = kinds.map(|kind| KindPlan {
            weight: weight(&kind.name),
            ..kind
        });
        weighted.collect()
    }
}

impl JobPlan {
    /// Submission of the job `number` after the start, in milliseconds.
    pub(super) fn due_ms(&self, number: u32, duration_ms: Millis) -> Millis {
        let last = f64::from(self.count.saturating_sub(1).max(1));
        let share = self.from + (self.until - self.from) * f64::from(number) / last;
        let millis = std::time::Duration::from_millis(duration_ms).mul_f64(share.clamp(0.0, 1.0));
        u64::try_from(millis.as_millis()).unwrap_or(duration_ms)
    }
}
