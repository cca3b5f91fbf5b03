//! Steps of a demo: start, load with an outage, and check of the histories.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{join_all, try_join_all};
use snafu::ResultExt;
use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

use super::deployment::Deployment;
use super::entry::{EntryHost, TokenDirectory, settings};
use super::error::{DemoError, PlatformSnafu};
use super::events::Events;
use super::failures;
use super::jobs::{self, Job};
use super::operator;
use super::report::{self, Report};
use super::traffic::Traffic;
use crate::history::{Rules, Session, check};
use crate::load::{self, Plan};
use crate::platform::{Parts, Platform};

/// Timeout for the start of all daemons, in seconds.
const START_TIMEOUT_S: u64 = 120;
/// Timeout for the end of all jobs after the load, in seconds.
const END_TIMEOUT_S: u64 = 300;
/// Daemons of each entry host.
const DAEMONS_PER_HOST: usize = 2;
/// Maximum number of calls in progress.
const MAX_CONCURRENCY: usize = 512;
/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: Millis = 10_000;
/// Delay before a change of the list of workers is visible, in milliseconds.
const LIST_LAG_MS: Millis = 1_000;
/// Minimum ratio of the demo's duration to the ramp of a returning zone.
const RAMP_DIVISOR: u64 = 10;
/// Start and end of the zone's outage, as fractions of the demo's duration.
const OUTAGE_SPAN: (f64, f64) = (0.35, 0.65);

/// Options of a demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment to run.
    pub deployment: Deployment,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of the load and of the workers' random values.
    pub seed: u64,
    /// Number of workers that crash during the demo.
    pub failures: usize,
    /// File that the log events of all daemons are written to.
    pub log: Option<PathBuf>,
}

/// Runs a demo and returns its report.
///
/// # Errors
///
/// When a fixture, setting or declaration is invalid, a file cannot be written, a stand-in or
/// daemon does not start in time, or the operators' interface refuses a call.
pub async fn run(options: Options) -> Result<Report, DemoError> {
    let events = Events::install();
    if let Some(path) = &options.log {
        events.write_to(path)?;
    }
    let deployment = options.deployment;
    let traffic = deployment.traffic()?;
    let mut declarations = deployment.declarations()?;
    limit_ramps(&mut declarations, options.seconds);
    let tokens = TokenDirectory::create(&mut declarations)?;
    let platform = start_platform(&options).await?;
    let hosts = start_hosts(deployment, &platform, &tokens, &declarations).await?;

    let (requests, jobs, zone) = run_workload(
        &options,
        &traffic,
        &declarations,
        &hosts,
        &tokens,
        &platform,
    )
    .await?;
    let (zone, outage) = zone;
    join_all(hosts.into_iter().map(EntryHost::stop)).await;

    let session = Session {
        workers: platform.histories(),
        calls: requests.calls.clone(),
        outages: vec![outage],
    };
    Ok(Report {
        deployment: deployment.to_string(),
        ends: report::count_ends(&session),
        violations: check(&session, &Rules::new(&declarations)),
        requests,
        jobs,
        zone,
        pressure: events.pressure(),
        events: events.counts(),
        store: platform.store().calls(),
    })
}

/// Limits the ramp of returning zones to a fraction of the demo's duration.
fn limit_ramps(declarations: &mut Declarations, seconds: u64) {
    for zone in declarations.zones.values_mut() {
        zone.ramp_ms = zone
            .ramp_ms
            .min(seconds.saturating_mul(1_000) / RAMP_DIVISOR);
    }
}

async fn start_platform(options: &Options) -> Result<Platform, DemoError> {
    let pool = options.deployment.pool()?;
    let mut parts = Parts::new(pool.settings(options.seed));
    if let Some((_, list)) = &mut parts.hosts {
        list.lag_ms = LIST_LAG_MS;
    }
    Platform::start(parts).await.context(PlatformSnafu)
}

/// Starts all daemons, applies the declarations, and waits until they are in
/// force and every process is live.
async fn start_hosts(
    deployment: Deployment,
    platform: &Platform,
    tokens: &TokenDirectory,
    declarations: &Declarations,
) -> Result<Vec<EntryHost>, DemoError> {
    let settings = settings(&deployment.entry_zones(), platform, tokens)?;
    let hosts = try_join_all(settings.into_iter().map(EntryHost::start)).await?;
    let deadline = Instant::now() + Duration::from_secs(START_TIMEOUT_S);
    let client = hosts[0].client(&tokens.token_file("operator"))?;
    operator::apply_declarations(&client, declarations, deadline).await?;
    operator::wait_for_owners(&client, declarations, deadline).await?;
    let declared = async || hosts.iter().all(EntryHost::has_declarations);
    let what = "every gateway has the declarations in force";
    operator::wait_until(what, deadline, declared).await?;
    let live = async || {
        let status = client.status().await.unwrap_or_default();
        let members = status["members"].as_array().map_or(0, Vec::len);
        members >= DAEMONS_PER_HOST * hosts.len()
    };
    operator::wait_until("every process is live", deadline, live).await?;
    Ok(hosts)
}

type WorkloadResults = (
    load::Report,
    std::collections::BTreeMap<String, report::JobReport>,
    (report::ZoneReport, crate::history::Outage),
);

/// Sends the load, submits the jobs, runs the outage and crashes workers concurrently.
async fn run_workload(
    options: &Options,
    traffic: &Traffic,
    declarations: &Declarations,
    hosts: &[EntryHost],
    tokens: &TokenDirectory,
    platform: &Platform,
) -> Result<WorkloadResults, DemoError> {
    let duration = Duration::from_secs(options.seconds);
    let duration_ms = options.seconds.saturating_mul(1_000);
    let started = Instant::now();
    let deadline = started + duration + Duration::from_secs(END_TIMEOUT_S);
    let jobs = all_jobs(traffic, duration_ms, hosts, tokens)?;
    let plan = plan(options, traffic, declarations, hosts);
    let outside = hosts.iter().find(|host| host.zone != traffic.zone);
    let operator = outside.unwrap_or(&hosts[0]);
    let operator = operator.client(&tokens.token_file("operator"))?;
    let at = |fraction| started + duration.mul_f64(fraction);
    let outage = operator::run_outage(
        &operator,
        &traffic.zone,
        at(OUTAGE_SPAN.0),
        at(OUTAGE_SPAN.1),
    );
    let zone = &traffic.zone;
    let failures = failures::crash_workers(
        platform,
        options.failures,
        zone,
        options.seed,
        started,
        duration,
    );
    let (requests, (jobs, mut reports), zone, ()) = tokio::join!(
        load::run(&plan),
        jobs::submit_all(jobs, started, deadline),
        outage,
        failures
    );
    jobs::wait_for_ends(&jobs, deadline, &mut reports).await;
    Ok((requests, reports, zone?))
}

/// Jobs of all teams, submitted to the entry hosts round robin.
fn all_jobs(
    traffic: &Traffic,
    duration_ms: Millis,
    hosts: &[EntryHost],
    tokens: &TokenDirectory,
) -> Result<Vec<Job>, DemoError> {
    let mut clients = std::collections::BTreeMap::new();
    for plan in &traffic.jobs {
        let file = tokens.token_file(&plan.team);
        let each = hosts.iter().map(|host| host.client(&file).map(Arc::new));
        clients.insert(plan.team.clone(), each.collect::<Result<Vec<_>, _>>()?);
    }
    let client = |team: &str, number: u32| {
        let clients = &clients[team];
        let position = usize::try_from(number).unwrap_or(0) % clients.len();
        Arc::clone(&clients[position])
    };
    Ok(Job::all(&traffic.jobs, duration_ms, client))
}

fn plan(
    options: &Options,
    traffic: &Traffic,
    declarations: &Declarations,
    hosts: &[EntryHost],
) -> Plan {
    let callers: Vec<SocketAddr> = hosts.iter().map(EntryHost::callers).collect();
    Plan {
        label: options.deployment.name().to_owned(),
        callers,
        kinds: traffic.kinds(declarations),
        rate: traffic.rate(),
        swing: traffic.swing,
        concurrency: MAX_CONCURRENCY,
        count: u64::MAX,
        duration_ms: options.seconds.saturating_mul(1_000),
        timeout_ms: CALL_TIMEOUT_MS,
        seed: options.seed,
    }
}
