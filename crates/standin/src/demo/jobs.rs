//! Jobs of the teams: submission, cancellation and final state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use serde_json::Value;
use verbenahitch::client::{Client, ClientError};
use verbenahitch::domain::{JobSpec, Millis};

use super::report::JobReport;
use super::traffic::JobPlan;

/// Interval between attempts to submit a job and between status queries, in milliseconds.
const RETRY_INTERVAL_MS: Millis = 250;

/// Job to submit.
#[derive(Clone, Debug)]
pub(super) struct Job {
    plan: JobPlan,
    key: String,
    due: Duration,
    client: Arc<Client>,
}

impl Job {
    /// All jobs of `plans`; `client` returns the client for a team and the job's number.
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

    /// Submits the job when it is due, and retries until it is accepted, it is
    /// refused with a status below 500, or `deadline` passes.
    async fn submit(&self, started: Instant, deadline: Instant) -> bool {
        tokio::time::sleep(self.due.saturating_sub(started.elapsed())).await;
        let spec = JobSpec {
            profile: self.plan.profile.clone(),
            tasks: self.plan.tasks,
            run_ms: self.plan.run_ms,
            payload: String::new(),
        };
        while Instant::now() < deadline {
            match self.client.submit(&self.key, &spec).await {
                Ok(_) => return true,
                Err(ClientError::Refused { status, .. }) if status < 500 => return false,
                Err(_) => pause().await,
            }
        }
        false
    }

    /// Waits until all tasks have ended or `deadline` passes; returns the job's last status.
    async fn wait_for_end(&self, deadline: Instant) -> Value {
        let id = format!("{}.{}", self.plan.team, self.key);
        let mut status = Value::Null;
        while Instant::now() < deadline {
            if self.plan.cancelled {
                // Cancelling is idempotent.
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

/// Submits all jobs; returns those that were accepted, and the numbers of jobs by profile.
pub(super) async fn submit_all(
    jobs: Vec<Job>,
    started: Instant,
    deadline: Instant,
) -> (Vec<Job>, BTreeMap<String, JobReport>) {
    let accepted = join_all(jobs.iter().map(|job| job.submit(started, deadline))).await;
    let mut reports: BTreeMap<String, JobReport> = BTreeMap::new();
    for (job, accepted) in jobs.iter().zip(&accepted) {
        let report = reports.entry(job.plan.profile.clone()).or_default();
        report.jobs += 1;
        report.tasks += u64::from(job.plan.tasks);
        report.not_accepted += u64::from(!accepted);
    }
    let submitted = jobs.into_iter().zip(accepted);
    let submitted = submitted.filter(|(_, accepted)| *accepted);
    (submitted.map(|(job, _)| job).collect(), reports)
}

/// Waits until all jobs have ended and adds their task counts to `reports`.
pub(super) async fn wait_for_ends(
    jobs: &[Job],
    deadline: Instant,
    reports: &mut BTreeMap<String, JobReport>,
) {
    let ends = join_all(jobs.iter().map(|job| job.wait_for_end(deadline))).await;
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
    tokio::time::sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
}
