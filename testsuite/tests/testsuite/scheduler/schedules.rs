//! Random schedules of faults, after which the histories must show no violation of a guarantee.
//!
//! `VERBENAHITCH_SCHEDULES=n` runs n schedules instead of the few of CI, and
//! `VERBENAHITCH_SEED=s` starts at the seed that a failure printed.
//! `VERBENAHITCH_TRACE=text` prints the observations that contain the text or
//! concern the zone, and all log entries.

use std::env;

use rand::Rng;
use verbenahitch::config::ZoneState;
use verbenahitch::domain::{JobId, JobSpec, Millis, TaskId, TaskOutcome};
use verbenahitch::port::HostState;
use verbenahitch::scheduler::Request;

use super::declared::spec;
use super::world::{CAPACITY, MessageFaults, OUTAGE_MS, PERMIT_MS, TASK_LEASE_MS, World};

const SCHEDULES: u64 = 150;
const WORKERS: usize = 4;
const JOBS: usize = 9;
const FAULTS: usize = 40;
/// Timeout long enough for every lease to lapse and every task to run once more.
const RECOVERY_TIMEOUT_MS: Millis = 2 * (OUTAGE_MS + TASK_LEASE_MS) + 120_000;

#[test]
fn guarantees_hold_under_random_faults() {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("VERBENAHITCH_SEED").unwrap_or(1);
    let count = number("VERBENAHITCH_SCHEDULES").unwrap_or(SCHEDULES);
    let mut failed = Vec::new();
    let mut starts = 0;
    for seed in first..first + count {
        let (violations, runs) = run_schedule(seed);
        starts += runs;
        if !violations.is_empty() {
            failed.push(format!("seed {seed}: {}", violations.join("; ")));
        }
    }
    println!(
        "{count} schedules from seed {first}, {starts} runs, {} schedules with violations",
        failed.len()
    );
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn run_schedule(seed: u64) -> (Vec<String>, usize) {
    let mut world = World::new(seed, WORKERS);
    world.message_faults = MessageFaults {
        lost: 0.03,
        repeated: 0.03,
        late: 0.02,
        unanswered: 0.1,
    };
    let wanted = random_jobs(&mut world);
    for fault_no in 0..FAULTS {
        let delay = world.rng.random_range(100..2_500);
        world.run_for(delay);
        inject_fault(&mut world, &wanted);
        // The jobs are submitted one after the other over the schedule.
        world.resubmit(&wanted[..(fault_no + 4).min(JOBS)]);
    }
    clear_faults(&mut world);
    let finished = world.run_while(RECOVERY_TIMEOUT_MS, |world| !all_finished(world, &wanted));
    let mut violations = find_violations(&world);
    if let Ok(text) = env::var("VERBENAHITCH_TRACE") {
        print_trace(&world, &text);
    }
    if !finished {
        violations.push("accepted jobs did not finish".to_owned());
    }
    (violations, world.history.start_count())
}

/// Prints the observations that contain `text` or concern the zone, and all log entries.
fn print_trace(world: &World, text: &str) {
    for observation in &world.history.observations {
        let line = format!("{observation:?}");
        if line.contains(text) || line.contains("Zone") {
            println!("{line}");
        }
    }
    for entry in &world.entries {
        println!("{}", entry.to_json());
    }
}

fn random_jobs(world: &mut World) -> Vec<(JobId, JobSpec)> {
    (0..JOBS)
        .map(|number| {
            let name = ["recalculation", "settlement", "urgent"][number % 3];
            let tasks = world.rng.random_range(1..10);
            let run_ms = world.rng.random_range(200..9_000);
            let id = JobId::new("market", &format!("{name}-{number}"));
            (id, spec(name, tasks, run_ms))
        })
        .collect()
}

fn inject_fault(world: &mut World, wanted: &[(JobId, JobSpec)]) {
    let owner = world.rng.random_range(0..2);
    let worker = format!("w{}", world.rng.random_range(0..WORKERS));
    match world.rng.random_range(0..21) {
        0 => world.kill(owner),
        1 => world.pause(owner),
        2..=4 if world.owners[owner].is_paused => world.resume(owner),
        2 => world.crash_worker(&worker),
        3 => world.release(owner),
        4 => world.owners[owner].store_unreachable = true,
        5 | 6 => world.owners[owner].store_unreachable = false,
        7 => world.isolate_worker(&worker),
        8 => {
            world.partitions.insert((owner, worker));
        }
        9..=11 => {
            world.partitions.clear();
            world.delays.clear();
        }
        12 => world.store.down = true,
        13 | 14 => {
            let now = world.now;
            world.store.recover(now, 3_000);
        }
        15 => world.set_zone(ZoneState::Out),
        16 => world.set_zone(ZoneState::In),
        18 => {
            let delay = world.rng.random_range(500..9_000);
            world.delays.insert(worker, delay);
        }
        17 => {
            let host = &mut world.workers.get_mut(&worker).expect("a known worker").host;
            host.state = match host.state {
                HostState::Live => HostState::Leaving,
                HostState::Leaving | HostState::Dead => HostState::Live,
            };
            world.send_hosts();
        }
        _ => {
            let job = world.rng.random_range(0..wanted.len());
            if world.rng.random_bool(0.2) && world.owners[owner].epoch.is_some() {
                world.send_request(owner, Request::Cancel(wanted[job].0.clone()));
            }
        }
    }
    // During a store outage no process stays cut off on its own, as declarations change only while
    // the store answers.
    if world.store.down && !world.owners.iter().all(|owner| !owner.store_unreachable) {
        world
            .owners
            .iter_mut()
            .for_each(|owner| owner.store_unreachable = false);
    }
}

fn clear_faults(world: &mut World) {
    world.message_faults = MessageFaults::default();
    world.partitions.clear();
    world.delays.clear();
    let now = world.now;
    world.store.recover(now, 3_000);
    for owner in 0..2 {
        world.owners[owner].store_unreachable = false;
        if world.owners[owner].is_paused {
            world.resume(owner);
        }
    }
    for worker in world.workers.values_mut() {
        worker.host.state = HostState::Live;
    }
    world.send_hosts();
    world.set_zone(ZoneState::In);
}

fn all_finished(world: &World, wanted: &[(JobId, JobSpec)]) -> bool {
    wanted
        .iter()
        .filter(|(id, _)| world.accepted.contains(id))
        .filter(|(id, _)| !world.store.moved.contains_key(id))
        .all(|(id, _)| {
            world
                .store
                .jobs
                .get(id)
                .is_some_and(|job| job.is_finished())
        })
}

fn find_violations(world: &World) -> Vec<String> {
    let non_idempotent = |task: &TaskId| task.job.as_str().contains("settlement");
    let mut found = world
        .history
        .violations(non_idempotent, CAPACITY, PERMIT_MS);
    for task in world.history.done_without_run() {
        found.push(format!(
            "{task} is stored as done although no worker finished it"
        ));
    }
    for id in &world.accepted {
        let is_stored = world.store.jobs.contains_key(id) || world.store.moved.contains_key(id);
        if !is_stored {
            found.push(format!(
                "{id} was accepted, and the store no longer holds it"
            ));
        }
    }
    for job in world.store.jobs.values() {
        let unknown = job.ended.count(TaskOutcome::Unknown);
        if unknown > 0 && !job.id.as_str().contains("settlement") {
            found.push(format!(
                "{} is idempotent and has tasks with an unknown outcome",
                job.id
            ));
        }
        if job.ended.count(TaskOutcome::Failed) > 0 {
            found.push(format!(
                "{} has failed tasks although no worker reported a failure",
                job.id
            ));
        }
    }
    found
}
