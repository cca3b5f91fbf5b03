//! Experiments that vary the workers, the starts or the requests.

use std::path::PathBuf;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use verbenahitch::client::ClientError;
use verbenahitch::domain::{JobSpec, Millis, Resources};
use verbenahitch::port::EndKind;

use super::report::{Report, Row};
use super::testbed::{Testbed, wait_until};
use super::usage::{Sample, resident_mib};
use crate::load::{self, KindPlan, Plan};
use crate::platform::PlatformError;
use crate::worker;

/// Tasks that run on each worker in the experiments on workers and takeovers.
pub(super) const TASKS_PER_WORKER: usize = 10;

/// Workers in the experiments on starts and requests.
const FIXED_WORKERS: usize = 50;

/// Run time of a task in the experiment on starts, in milliseconds.
const SHORT_RUN_MS: Millis = 500;

/// Run time that exceeds every experiment, in milliseconds.
const LONG_RUN_MS: Millis = 3_600_000;

/// Wait before a measurement, until the daemons have settled.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Jobs per second in the experiment on starts.
const JOBS_PER_SECOND: usize = 4;

/// Capacity of each worker, in whole cores and mebibytes.
const WORKER_CAPACITY: Resources = Resources::new(32, 65_536);

/// Quantity that an experiment varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Workers of a shard, each with the same number of running tasks.
    Workers,
    /// Task starts per second.
    Starts,
    /// Requests per second.
    Requests,
}

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Quantity that is varied.
    pub experiment: Experiment,
    /// The `verbenahitch` program.
    pub program: PathBuf,
    /// Sizes, one after the other.
    pub sizes: Vec<u32>,
    /// Duration of each measurement, in seconds.
    pub seconds: u64,
}

/// Error that ends an experiment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MeasureError {
    /// The stand-ins did not start.
    #[snafu(display("stand-ins: {source}"))]
    Standin {
        /// Cause.
        source: PlatformError,
    },
    /// A file cannot be written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A daemon did not start.
    #[snafu(display("{}: {source}", path.display()))]
    Process {
        /// Program.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A call of the submitters' or operators' interface failed.
    #[snafu(display("{source}"))]
    Client {
        /// Cause.
        source: ClientError,
    },
    /// A condition was not met before the timeout.
    #[snafu(display("timed out waiting until {what}"))]
    Timeout {
        /// Condition.
        what: &'static str,
    },
}

/// Runs an experiment at all its sizes.
///
/// # Errors
///
/// When a stand-in or daemon does not start, a call fails or a wait times out.
pub async fn run(options: &Options) -> Result<Report, MeasureError> {
    let mut rows = Vec::new();
    for (number, size) in (0..).zip(&options.sizes) {
        rows.push(measure_size(options, number, *size).await?);
    }
    let unit = match options.experiment {
        Experiment::Workers => "workers",
        Experiment::Starts => "starts/s",
        Experiment::Requests => "requests/s",
    };
    Ok(Report { unit, rows })
}

async fn measure_size(options: &Options, number: u8, size: u32) -> Result<Row, MeasureError> {
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    let workers = match options.experiment {
        Experiment::Workers => size,
        Experiment::Starts | Experiment::Requests => FIXED_WORKERS,
    };
    let mut testbed = Testbed::start(number, (0..workers).map(worker_settings).collect()).await?;
    let window = Duration::from_secs(options.seconds);
    let idle = Sample::take(&[]);
    tokio::time::sleep(SETTLE_TIME).await;
    let idle = idle.usage_until(&Sample::take(&[]));
    testbed.start_daemons(&options.program).await?;
    if options.experiment == Experiment::Workers {
        submit_long_tasks(&testbed, size * TASKS_PER_WORKER).await?;
    }
    let load = match options.experiment {
        Experiment::Workers => None,
        Experiment::Starts => Some(tokio::spawn(submit_short_tasks(
            testbed.team_client()?,
            size,
        ))),
        Experiment::Requests => Some(tokio::spawn(send_requests(testbed.callers(), size, window))),
    };
    tokio::time::sleep(SETTLE_TIME).await;
    let pids = testbed.pids();
    let calls_before = testbed.platform.store().calls();
    let count_before = varied_count(&testbed, options.experiment);
    let before = Sample::take(&pids);
    tokio::time::sleep(window).await;
    let usage = before.usage_until(&Sample::take(&pids));
    let calls_after = testbed.platform.store().calls();
    let reached = reached_size(&testbed, options.experiment, count_before, usage.seconds);
    if let Some(load) = load {
        load.abort();
    }
    let rate = |count: u64| count as f64 / usage.seconds;
    Ok(Row {
        size: size as f64,
        scheduler_cpu: usage.cpu_percent[0],
        gateway_cpu: usage.cpu_percent[1],
        scheduler_mib: resident_mib(pids[0]),
        gateway_mib: resident_mib(pids[1]),
        kilobytes: (usage.bytes_per_second - idle.bytes_per_second) / 1_000.0,
        store_reads: rate(
            calls_after.reads + calls_after.watches - calls_before.reads - calls_before.watches,
        ),
        store_writes: rate(
            calls_after.writes + calls_after.txns + calls_after.sessions
                - calls_before.writes
                - calls_before.txns
                - calls_before.sessions,
        ),
        reached,
    })
}

pub(super) fn worker_settings(number: usize) -> worker::Settings {
    worker::Settings {
        name: format!("a-w{number}"),
        zone: "a".to_owned(),
        rack: format!("a-r{}", number / 10),
        capacity: WORKER_CAPACITY,
        ..worker::Settings::default()
    }
}

/// Submits `tasks` tasks that outlast the experiment, and waits until all are running.
pub(super) async fn submit_long_tasks(testbed: &Testbed, tasks: usize) -> Result<(), MeasureError> {
    let team = testbed.team_client()?;
    let spec = spec(tasks, LONG_RUN_MS);
    team.submit("fill", &spec).await.context(ClientSnafu)?;
    wait_until("all tasks are running", async || {
        let histories = testbed.platform.histories();
        let runs = histories.iter().flat_map(|history| &history.runs);
        runs.filter(|run| run.end.is_none()).count() >= tasks
    })
    .await
}

/// Submits jobs of short tasks, `rate` tasks per second, until it is aborted.
async fn submit_short_tasks(team: verbenahitch::client::Client, rate: usize) {
    let interval = Duration::from_secs(1) / u32::try_from(JOBS_PER_SECOND).unwrap_or(1);
    let mut due = tokio::time::interval(interval);
    let spec = spec(rate / JOBS_PER_SECOND, SHORT_RUN_MS);
    let mut number = 0_u64;
    loop {
        due.tick().await;
        number += 1;
        let team = team.clone();
        let spec = spec.clone();
        tokio::spawn(async move { team.submit(&format!("job-{number}"), &spec).await });
    }
}

async fn send_requests(callers: std::net::SocketAddr, rate: usize, window: Duration) {
    let plan = Plan {
        label: "measure".to_owned(),
        callers: vec![callers],
        kinds: vec![KindPlan {
            name: "request".to_owned(),
            path: "/request/1".to_owned(),
            weight: 1.0,
            keyed: false,
        }],
        rate: rate as f64,
        swing: 0.0,
        concurrency: 256,
        count: u64::MAX,
        duration_ms: u64::try_from((window + SETTLE_TIME * 2).as_millis()).unwrap_or(u64::MAX),
        timeout_ms: 5_000,
        seed: 1,
    };
    load::run(&plan).await;
}

fn spec(tasks: usize, run_ms: Millis) -> JobSpec {
    JobSpec {
        profile: "task".to_owned(),
        tasks: u32::try_from(tasks).unwrap_or(u32::MAX),
        run_ms,
        payload: String::new(),
    }
}

/// Count so far of the quantity that an experiment varies.
fn varied_count(testbed: &Testbed, experiment: Experiment) -> usize {
    let histories = testbed.platform.histories();
    match experiment {
        Experiment::Workers => histories.len(),
        Experiment::Starts => {
            let runs = histories.iter().flat_map(|history| &history.runs);
            let done = |kind| kind == Some(EndKind::Done);
            runs.filter(|run| run.end.is_some_and(|end| done(end.kind)))
                .count()
        }
        Experiment::Requests => histories.iter().map(|history| history.requests.len()).sum(),
    }
}

/// Size that was reached in a window of `seconds` that began at the count `before`.
fn reached_size(testbed: &Testbed, experiment: Experiment, before: usize, seconds: f64) -> f64 {
    let after = varied_count(testbed, experiment);
    match experiment {
        Experiment::Workers => after as f64,
        Experiment::Starts | Experiment::Requests => (after - before) as f64 / seconds,
    }
}
