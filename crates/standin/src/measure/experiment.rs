//! The experiments.

use std::path::PathBuf;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use verbenahitch::client::ClientError;
use verbenahitch::domain::{JobSpec, Millis, Resources};
use verbenahitch::port::EndKind;

use super::report::{Report, Row};
use super::site::{Site, wait};
use super::usage::{Sample, resident_mib};
use crate::load::{self, KindPlan, Plan};
use crate::platform::PlatformError;
use crate::worker;

/// Tasks that run on each worker while the cost of workers is measured.
pub(super) const TASKS_A_WORKER: usize = 10;

/// Workers while the cost of starts and requests is measured.
const FIXED_WORKERS: usize = 50;

/// Run time of a task while the cost of starts is measured, in milliseconds.
const SHORT_RUN_MS: Millis = 500;

/// Run time of a task that outlasts every experiment, in milliseconds.
const LONG_RUN_MS: Millis = 3_600_000;

/// Time before a measurement in which the daemons settle.
pub(super) const SETTLE: Duration = Duration::from_secs(3);

/// Jobs a second while the cost of starts is measured.
const JOBS_A_SECOND: usize = 4;

/// Size of each worker in whole cores and mebibytes.
const WORKER: Resources = Resources::new(32, 65_536);

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Workers of a shard, each with the same number of running tasks.
    Workers,
    /// Starts of tasks a second.
    Starts,
    /// Requests a second.
    Requests,
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// What is varied.
    pub experiment: Experiment,
    /// The `verbenahitch` program.
    pub program: PathBuf,
    /// Sizes, one after the other.
    pub sizes: Vec<u32>,
    /// Time of each measurement, in seconds.
    pub seconds: u64,
}

/// Why an experiment failed.
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
    /// A condition did not come about.
    #[snafu(display("not in time: {what}"))]
    Late {
        /// Condition.
        what: &'static str,
    },
}

/// Runs an experiment at all its sizes.
///
/// # Errors
///
/// When something does not start or does not come about.
pub async fn run(options: &Options) -> Result<Report, MeasureError> {
    let mut rows = Vec::new();
    for (number, size) in (0..).zip(&options.sizes) {
        rows.push(measure(options, number, *size).await?);
    }
    let unit = match options.experiment {
        Experiment::Workers => "workers",
        Experiment::Starts => "starts/s",
        Experiment::Requests => "requests/s",
    };
    Ok(Report { unit, rows })
}

async fn measure(options: &Options, number: u8, size: u32) -> Result<Row, MeasureError> {
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    let workers = match options.experiment {
        Experiment::Workers => size,
        Experiment::Starts | Experiment::Requests => FIXED_WORKERS,
    };
    let mut site = Site::start(number, (0..workers).map(worker).collect()).await?;
    let window = Duration::from_secs(options.seconds);
    let idle = Sample::take(&[]);
    tokio::time::sleep(SETTLE).await;
    let idle = idle.until(&Sample::take(&[]));
    site.run(&options.program).await?;
    if options.experiment == Experiment::Workers {
        fill(&site, size * TASKS_A_WORKER).await?;
    }
    let load = match options.experiment {
        Experiment::Workers => None,
        Experiment::Starts => Some(tokio::spawn(submit(site.team()?, size))),
        Experiment::Requests => Some(tokio::spawn(request(site.callers(), size, window))),
    };
    tokio::time::sleep(SETTLE).await;
    let pids = site.pids();
    let calls = site.platform.store().calls();
    let seen = seen(&site, options.experiment);
    let before = Sample::take(&pids);
    tokio::time::sleep(window).await;
    let usage = before.until(&Sample::take(&pids));
    let after = site.platform.store().calls();
    let reached = seen_after(&site, options.experiment, seen, usage.seconds);
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
        kilobytes: (usage.bytes - idle.bytes) / 1_000.0,
        store_reads: rate(after.reads + after.watches - calls.reads - calls.watches),
        store_writes: rate(
            after.writes + after.txns + after.sessions - calls.writes - calls.txns - calls.sessions,
        ),
        reached,
    })
}

pub(super) fn worker(number: usize) -> worker::Settings {
    worker::Settings {
        name: format!("a-w{number}"),
        zone: "a".to_owned(),
        rack: format!("a-r{}", number / 10),
        capacity: WORKER,
        ..worker::Settings::default()
    }
}

/// Submits `tasks` that run on, and waits until all run.
pub(super) async fn fill(site: &Site, tasks: usize) -> Result<(), MeasureError> {
    let team = site.team()?;
    let spec = spec(tasks, LONG_RUN_MS);
    team.submit("fill", &spec).await.context(ClientSnafu)?;
    wait("all tasks run", async || {
        let histories = site.platform.histories();
        let runs = histories.iter().flat_map(|history| &history.runs);
        runs.filter(|run| run.end.is_none()).count() >= tasks
    })
    .await
}

/// Submits jobs so that `rate` tasks start a second, until it is aborted.
async fn submit(team: verbenahitch::client::Client, rate: usize) {
    let every = Duration::from_secs(1) / u32::try_from(JOBS_A_SECOND).unwrap_or(1);
    let mut due = tokio::time::interval(every);
    let spec = spec(rate / JOBS_A_SECOND, SHORT_RUN_MS);
    let mut number = 0_u64;
    loop {
        due.tick().await;
        number += 1;
        let team = team.clone();
        let spec = spec.clone();
        tokio::spawn(async move { team.submit(&format!("job-{number}"), &spec).await });
    }
}

async fn request(callers: std::net::SocketAddr, rate: usize, window: Duration) {
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
        duration_ms: u64::try_from((window + SETTLE * 2).as_millis()).unwrap_or(u64::MAX),
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

/// Count so far of what an experiment varies.
fn seen(site: &Site, experiment: Experiment) -> usize {
    let histories = site.platform.histories();
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

/// Size that was reached in a window that began with `before`.
fn seen_after(site: &Site, experiment: Experiment, before: usize, seconds: f64) -> f64 {
    let after = seen(site, experiment);
    match experiment {
        Experiment::Workers => after as f64,
        Experiment::Starts | Experiment::Requests => (after - before) as f64 / seconds,
    }
}
