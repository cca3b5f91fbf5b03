//! Jobs of the teams, from submission to their ends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use serde_json::Value;
use verbenahitch::client::{Client, ClientError};
use verbenahitch::domain::{JobSpec, Millis};

use super::report::JobReport;
use super::traffic::JobPlan;

/// Time between two tries of a submission or a question, in milliseconds.
const RETRY_MS: Millis = 250;

/// A job that is to be submitted.
#[derive(Clone, Debug)]
pub(super) struct Job {
    plan: JobPlan,
    key: String,
    due: Duration,
    client: Arc<Client>,
}

impl Job {
    /// All jobs of `plans`; `client` gives each its team's client.
    pub(super) fn all(
        plans: &[JobPlan],
        duration_ms: Millis,
        mut client: impl FnMut(&str, u32) -> Arc<Client>,
    ) -> Vec<Self> {
        let mut jobs = Vec::new();
        for plan in plans {
            for number in 0..plan.count {
                jobs.push(Self {
                    key: format!("{}-{number}", plan.profile),
                    due: Duration::from_millis(plan.due_ms(number, duration_ms)),
                    client: client(&plan.team, number),
                    plan: plan.clone(),
                });
            }
        }
        jobs
    }

    /// Submits the job when it is due, until it is accepted or refused for good.
    async fn submit(&self, started: Instant, patience: Instant) -> bool {
        tokio::time::sleep(self.due.saturating_sub(started.elapsed())).await;
        let spec = JobSpec {
            profile: self.plan.profile.clone(),
            tasks: self.plan.tasks,
            run_ms: self.plan.run_ms,
            payload: String::new(),
        };
        while Instant::now() < patience {
            match self.client.submit(&self.key, &spec).await {
                Ok(_) => return true,
                Err(ClientError::Refused { status, .. }) if status < 500 => return false,
                Err(_) => pause().await,
            }
        }
        false
    }

    /// Waits until all tasks have ended; returns how the job stood last.
    async fn end(&self, patience: Instant) -> Value {
        let id = format!("{}.{}", self.plan.team, self.key);
        let mut status = Value::Null;
        while Instant::now() < patience {
            if self.plan.cancelled {
                // A repeat changes nothing.
                self.client.cancel(&id).await.ok();
            }
            if let Ok(answer) = self.client.job(&id).await {
                status = answer;
                if is_ended(&status) {
                    break;
                }
            }
            pause().await;
        }
        status
    }
}

/// Submits all jobs; returns those that were accepted, and the others' number by profile.
pub(super) async fn submit(
    jobs: Vec<Job>,
    started: Instant,
    patience: Instant,
) -> (Vec<Job>, BTreeMap<String, JobReport>) {
    let accepted = join_all(jobs.iter().map(|job| job.submit(started, patience))).await;
    let mut reports: BTreeMap<String, JobReport> = BTreeMap::new();
    for (job, accepted) in jobs.iter().zip(&accepted) {
        let report = reports.entry(job.plan.profile.clone()).or_default();
        report.jobs += 1;
        report.tasks += u64::from(job.plan.tasks);
        report.not_accepted += u64::from(!accepted);
    }
    let kept = jobs.into_iter().zip(accepted);
    let kept = kept.filter(|(_, accepted)| *accepted);
    (kept.map(|(job, _)| job).collect(), reports)
}

/// Waits for the ends of all jobs and adds them to `reports`.
pub(super) async fn finish(
    jobs: &[Job],
    patience: Instant,
    reports: &mut BTreeMap<String, JobReport>,
) {
    let ends = join_all(jobs.iter().map(|job| job.end(patience))).await;
    for (job, status) in jobs.iter().zip(ends) {
        let report = reports.entry(job.plan.profile.clone()).or_default();
        report.done += count(&status, "done");
        report.failed += count(&status, "failed");
        report.cancelled += count(&status, "cancelled");
        report.unknown += count(&status, "unknown");
    }
}

fn is_ended(status: &Value) -> bool {
    let ended = ["done", "failed", "cancelled", "unknown"];
    let ended: u64 = ended.iter().map(|key| count(status, key)).sum();
    ended >= count(status, "tasks")
}

fn count(status: &Value, key: &str) -> u64 {
    status.get(key).and_then(Value::as_u64).unwrap_or(0)
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
}
