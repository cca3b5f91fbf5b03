//! The course of a demo.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{join_all, try_join_all};
use snafu::ResultExt;
use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

use super::deployment::Deployment;
use super::entry::{EntryHost, Folder, settings};
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

/// Longest time until everything is up, in seconds.
const START_LIMIT_S: u64 = 120;
/// Longest time after the load until all jobs have ended, in seconds.
const END_LIMIT_S: u64 = 300;
/// Daemons of an entry host.
const DAEMONS: usize = 2;
/// Most calls in progress.
const CONCURRENCY: usize = 512;
/// Time limit of a call, in milliseconds.
const CALL_LIMIT_MS: Millis = 10_000;
/// Lag of the list of workers, in milliseconds.
const LIST_LAG_MS: Millis = 1_000;
/// Ramps of a returning zone that would fit into the demo's time.
const RAMP_PARTS: u64 = 10;
/// When the zone is taken out and brought back, as shares of the demo's time.
const OUTAGE: (f64, f64) = (0.35, 0.65);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment.
    pub deployment: Deployment,
    /// Time in which requests are sent, in seconds.
    pub seconds: u64,
    /// Seed of the load and of the workers' draws.
    pub seed: u64,
    /// Workers that fail on the way.
    pub failures: usize,
    /// File that gets the log events of all daemons.
    pub log: Option<PathBuf>,
}

/// Runs a demo to its end.
///
/// # Errors
///
/// When something does not start or the operators' interface fails.
pub async fn run(options: Options) -> Result<Report, DemoError> {
    let events = Events::install();
    if let Some(path) = &options.log {
        events.write_to(path)?;
    }
    let deployment = options.deployment;
    let traffic = deployment.traffic()?;
    let mut declarations = deployment.declarations()?;
    compress(&mut declarations, options.seconds);
    let folder = Folder::create(&mut declarations)?;
    let platform = start_platform(&options).await?;
    let hosts = start_hosts(deployment, &platform, &folder, &declarations).await?;

    let (requests, jobs, zone) = drive(
        &options,
        &traffic,
        &declarations,
        &hosts,
        &folder,
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
        ends: report::ends(&session),
        violations: check(&session, &Rules::new(&declarations)),
        requests,
        jobs,
        zone,
        pressure: events.pressure(),
        events: events.counts(),
        store: platform.store().calls(),
    })
}

/// Shortens the ramp of returning zones to the time that the demo has.
fn compress(declarations: &mut Declarations, seconds: u64) {
    for zone in declarations.zones.values_mut() {
        zone.ramp_ms = zone.ramp_ms.min(seconds.saturating_mul(1_000) / RAMP_PARTS);
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

/// Starts all daemons, applies the declarations and waits until they are in force.
async fn start_hosts(
    deployment: Deployment,
    platform: &Platform,
    folder: &Folder,
    declarations: &Declarations,
) -> Result<Vec<EntryHost>, DemoError> {
    let settings = settings(&deployment.entry_zones(), platform, folder)?;
    let hosts = try_join_all(settings.into_iter().map(EntryHost::start)).await?;
    let patience = Instant::now() + Duration::from_secs(START_LIMIT_S);
    let client = hosts[0].client(&folder.file("operator"))?;
    operator::declare(&client, declarations, patience).await?;
    operator::owned(&client, declarations, patience).await?;
    let declared = async || hosts.iter().all(EntryHost::is_declared);
    let what = "every gateway has the declarations in force";
    operator::until(what, patience, declared).await?;
    let heard = async || {
        let status = client.status().await.unwrap_or_default();
        let members = status["members"].as_array().map_or(0, Vec::len);
        members >= DAEMONS * hosts.len()
    };
    operator::until("every process is heard", patience, heard).await?;
    Ok(hosts)
}

type Driven = (
    load::Report,
    std::collections::BTreeMap<String, report::JobReport>,
    (report::ZoneReport, crate::history::Outage),
);

/// Sends the load, submits the jobs and operates the zone, all at once.
async fn drive(
    options: &Options,
    traffic: &Traffic,
    declarations: &Declarations,
    hosts: &[EntryHost],
    folder: &Folder,
    platform: &Platform,
) -> Result<Driven, DemoError> {
    let duration = Duration::from_secs(options.seconds);
    let duration_ms = options.seconds.saturating_mul(1_000);
    let started = Instant::now();
    let patience = started + duration + Duration::from_secs(END_LIMIT_S);
    let jobs = all_jobs(traffic, duration_ms, hosts, folder)?;
    let plan = plan(options, traffic, declarations, hosts);
    let elsewhere = hosts.iter().find(|host| host.zone != traffic.zone);
    let operator = elsewhere.unwrap_or(&hosts[0]);
    let operator = operator.client(&folder.file("operator"))?;
    let at = |share| started + duration.mul_f64(share);
    let outage = operator::out_and_back(&operator, &traffic.zone, at(OUTAGE.0), at(OUTAGE.1));
    let zone = &traffic.zone;
    let failures = failures::crash(
        platform,
        options.failures,
        zone,
        options.seed,
        started,
        duration,
    );
    let (requests, (jobs, mut reports), zone, ()) = tokio::join!(
        load::run(&plan),
        jobs::submit(jobs, started, patience),
        outage,
        failures
    );
    jobs::finish(&jobs, patience, &mut reports).await;
    Ok((requests, reports, zone?))
}

/// Jobs of all teams, submitted at the entry hosts in turn.
fn all_jobs(
    traffic: &Traffic,
    duration_ms: Millis,
    hosts: &[EntryHost],
    folder: &Folder,
) -> Result<Vec<Job>, DemoError> {
    let mut clients = std::collections::BTreeMap::new();
    for plan in &traffic.jobs {
        let file = folder.file(&plan.team);
        let each = hosts.iter().map(|host| host.client(&file).map(Arc::new));
        clients.insert(plan.team.clone(), each.collect::<Result<Vec<_>, _>>()?);
    }
    let client = |team: &str, number: u32| {
        let clients = &clients[team];
        let turn = usize::try_from(number).unwrap_or(0) % clients.len();
        Arc::clone(&clients[turn])
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
        concurrency: CONCURRENCY,
        count: u64::MAX,
        duration_ms: options.seconds.saturating_mul(1_000),
        timeout_ms: CALL_LIMIT_MS,
        seed: options.seed,
    }
}
