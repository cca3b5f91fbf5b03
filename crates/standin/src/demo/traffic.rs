//! Traffic of a deployment: the callers' requests and the teams' jobs.

use std::collections::BTreeMap;

use serde::Deserialize;
use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

use crate::load::KindPlan;

/// Fixture of a deployment's traffic and jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct Traffic {
    /// Mean calls per second by kind.
    pub(super) calls_per_second: BTreeMap<String, f64>,
    /// Amplitude of the load's swing, as a fraction of its mean.
    pub(super) swing: f64,
    /// Availability zone that operators take out and bring back.
    pub(super) zone: String,
    /// Jobs of all teams.
    pub(super) jobs: Vec<JobPlan>,
}

/// Identical jobs that are submitted at equal intervals.
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
    /// Submission of the first job, as a fraction of the demo's duration.
    pub(super) from: f64,
    /// Submission of the last job, as a fraction of the demo's duration.
    pub(super) until: f64,
    /// Whether the jobs are cancelled after the load.
    #[serde(default)]
    pub(super) cancelled: bool,
}

impl Traffic {
    /// Calls per second over all kinds.
    pub(super) fn rate(&self) -> f64 {
        self.calls_per_second.values().sum()
    }

    /// Kinds of `declarations` with their weights in the load.
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
    /// Time from the start to the submission of job `number`, in milliseconds.
    pub(super) fn due_ms(&self, number: u32, duration_ms: Millis) -> Millis {
        let last = f64::from(self.count.saturating_sub(1).max(1));
        let fraction = self.from + (self.until - self.from) * f64::from(number) / last;
        let millis =
            std::time::Duration::from_millis(duration_ms).mul_f64(fraction.clamp(0.0, 1.0));
        u64::try_from(millis.as_millis()).unwrap_or(duration_ms)
    }
}
