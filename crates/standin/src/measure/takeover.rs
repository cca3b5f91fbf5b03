//! How long a shard is without an owner that knows all its tasks.

use std::fmt;
use std::time::Instant;

use serde::Serialize;
use snafu::ResultExt;

use super::experiment::{ClientSnafu, MeasureError, Options, SETTLE, TASKS_A_WORKER, fill, worker};
use super::site::{SHARD, SHARD_LEASE_MS, Site, wait};

/// Take-over at one size. Times count from the death of the owner, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Takeover {
    /// Workers of the shard.
    pub workers: usize,
    /// Running tasks of the shard.
    pub tasks: usize,
    /// Until another process owned the shard.
    pub owned_s: f64,
    /// Until it knew all running tasks.
    pub known_s: f64,
}

/// Take-overs of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Takeovers {
    /// Lease of a shard, in milliseconds.
    pub lease_ms: u64,
    /// One take-over a size.
    pub rows: Vec<Takeover>,
}

/// Kills the owner of a shard at each size and times its successor.
///
/// # Errors
///
/// When something does not start or does not come about.
pub async fn take_over(options: &Options) -> Result<Takeovers, MeasureError> {
    let mut rows = Vec::new();
    for (number, size) in (0..).zip(&options.sizes) {
        let workers = usize::try_from(*size).unwrap_or(usize::MAX);
        rows.push(time(options, number, workers).await?);
    }
    Ok(Takeovers {
        lease_ms: SHARD_LEASE_MS,
        rows,
    })
}

async fn time(options: &Options, number: u8, workers: usize) -> Result<Takeover, MeasureError> {
    let tasks = workers * TASKS_A_WORKER;
    let mut site = Site::start(number, (0..workers).map(worker).collect()).await?;
    site.run(&options.program).await?;
    fill(&site, tasks).await?;
    site.run_heir(&options.program).await?;
    tokio::time::sleep(SETTLE).await;
    let operator = site.operator()?;
    let before = operator.shard(SHARD).await.context(ClientSnafu)?;
    let killed = Instant::now();
    site.kill_owner();
    let mut owned_s = 0.0;
    wait("a new owner that knows all tasks", async || {
        let status = operator.shard(SHARD).await.unwrap_or_default();
        let taken = status["owner"].is_string() && status["owner"] != before["owner"];
        if taken && owned_s == 0.0 {
            owned_s = killed.elapsed().as_secs_f64();
        }
        let running = status["running"].as_u64().unwrap_or(0);
        taken && usize::try_from(running).is_ok_and(|running| running >= tasks)
    })
    .await?;
    Ok(Takeover {
        workers,
        tasks,
        owned_s,
        known_s: killed.elapsed().as_secs_f64(),
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
