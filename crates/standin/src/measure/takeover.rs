//! Time from the death of a shard's owner until a new owner knows all running tasks.

use std::fmt;
use std::time::Instant;

use serde::Serialize;
use snafu::ResultExt;

use super::experiment::{
    ClientSnafu, MeasureError, Options, SETTLE_TIME, TASKS_PER_WORKER, submit_long_tasks,
    worker_settings,
};
use super::testbed::{SHARD, SHARD_LEASE_MS, Testbed, wait_until};

/// Takeover at one size. Times are in seconds after the owner was killed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Takeover {
    /// Workers of the shard.
    pub workers: usize,
    /// Running tasks of the shard.
    pub tasks: usize,
    /// Time until another process owned the shard.
    pub owned_s: f64,
    /// Time until the new owner knew all running tasks.
    pub known_s: f64,
}

/// Takeovers of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Takeovers {
    /// Duration of a shard's lease, in milliseconds.
    pub lease_ms: u64,
    /// One takeover per size.
    pub rows: Vec<Takeover>,
}

/// Kills the owner of a shard at each size and measures the takeover by its successor.
///
/// # Errors
///
/// When a stand-in or daemon does not start, a call fails or a wait times out.
pub async fn run_takeovers(options: &Options) -> Result<Takeovers, MeasureError> {
    let mut rows = Vec::new();
    for (number, size) in (0..).zip(&options.sizes) {
        let workers = usize::try_from(*size).unwrap_or(usize::MAX);
        rows.push(measure_takeover(options, number, workers).await?);
    }
    Ok(Takeovers {
        lease_ms: SHARD_LEASE_MS,
        rows,
    })
}

async fn measure_takeover(
    options: &Options,
    number: u8,
    workers: usize,
) -> Result<Takeover, MeasureError> {
    let tasks = workers * TASKS_PER_WORKER;
    let mut testbed = Testbed::start(number, (0..workers).map(worker_settings).collect()).await?;
    testbed.start_daemons(&options.program).await?;
    submit_long_tasks(&testbed, tasks).await?;
    testbed.start_standby(&options.program).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let operator = testbed.operator_client()?;
    let before = operator.shard(SHARD).await.context(ClientSnafu)?;
    let killed_at = Instant::now();
    testbed.kill_owner();
    let mut owned_s = 0.0;
    wait_until("a new owner knows all running tasks", async || {
        let status = operator.shard(SHARD).await.unwrap_or_default();
        let replaced = status["owner"].is_string() && status["owner"] != before["owner"];
        if replaced && owned_s == 0.0 {
            owned_s = killed_at.elapsed().as_secs_f64();
        }
        let running = status["running"].as_u64().unwrap_or(0);
        replaced && usize::try_from(running).is_ok_and(|running| running >= tasks)
    })
    .await?;
    Ok(Takeover {
        workers,
        tasks,
        owned_s,
        known_s: killed_at.elapsed().as_secs_f64(),
    })
}

impl fmt::Display for Takeovers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "lease of the shard: {} ms", self.lease_ms)?;
        writeln!(f, "| workers | tasks | new owner, s | all tasks known, s |")?;
        writeln!(f, "| --- | --- | --- | --- |")?;
        for row in &self.rows {
            let Takeover { workers, tasks, .. } = row;
            let (owned, known) = (row.owned_s, row.known_s);
            writeln!(f, "| {workers} | {tasks} | {owned:.1} | {known:.1} |")?;
        }
        Ok(())
    }
}
