//! Random schedules of faults against the promises, read from the workers' side.
//!
//! `VERBENAHITCH_SCHEDULES=n` runs n schedules instead of the few of CI, and
//! `VERBENAHITCH_SEED=s` starts at the seed that a failure printed.

use std::env;

use rand::Rng;
use verbenahitch::config::ZoneState;
use verbenahitch::domain::{JobId, JobSpec, Millis, TaskId, TaskOutcome};
use verbenahitch::port::HostState;
use verbenahitch::scheduler::Request;

use super::declared::spec;
use super::world::{CAPACITY, OUTAGE_MS, PERMIT_MS, TASK_LEASE_MS, Weather, World};

const SCHEDULES: u64 = 150;
const WORKERS: usize = 4;
const JOBS: usize = 9;
const FAULTS: usize = 40;
/// Long enough for every lease to lapse and every task to run once more.
const CALM_MS: Millis = 2 * (OUTAGE_MS + TASK_LEASE_MS) + 120_000;

#[test]
fn promises_hold_under_random_faults() {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("VERBENAHITCH_SEED").unwrap_or(1);
    let count = number("VERBENAHITCH_SCHEDULES").unwrap_or(SCHEDULES);
    let mut broken = Vec::new();
    let mut starts = 0;
    for seed in first..first + count {
        let (violations, runs) = run_schedule(seed);
        starts += runs;
        if !violations.is_empty() {
            broken.push(format!("seed {seed}: {}", violations.join("; ")));
        }
    }
    println!(
        "{count} schedules from seed {first}, {starts} runs, {} broken",
        broken.len()
    );
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

fn run_schedule(seed: u64) -> (Vec<String>, usize) {
    let mut world = World::new(seed, WORKERS);
    world.weather = Weather {
        lost: 0.03,
        repeated: 0.03,
        late: 0.02,
        unanswered: 0.1,
    };
    let wanted = jobs(&mut world);
    for fault_no in 0..FAULTS {
        let pause = world.rng.random_range(100..2_500);
        world.run_for(pause);
        fault(&mut world, &wanted);
        // Jobs come in over the whole schedule.
        world.insist(&wanted[..(fault_no + 4).min(JOBS)]);
    }
    calm(&mut world);
    let finished = world.run_while(CALM_MS, |world| !all_finished(world, &wanted));
    let mut violations = judge(&world);
    if let Ok(text) = env::var("VERBENAHITCH_TRACE") {
        trace(&world, &text);
    }
    if !finished {
        violations.push("accepted jobs did not finish".to_owned());
    }
    (violations, world.history.starts())
}

/// Prints what happened to the tasks whose identity starts with `text`.
fn trace(world: &World, text: &str) {
    for fact in &world.history.facts {
        let line = format!("{fact:?}");
        if line.contains(text) || line.contains("Zone") {
            println!("{line}");
        }
    }
    for entry in &world.entries {
        println!("{}", entry.to_json());
    }
}

fn jobs(world: &mut World) -> Vec<(JobId, JobSpec)> {
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

fn fault(world: &mut World, wanted: &[(JobId, JobSpec)]) {
    let owner = world.rng.random_range(0..2);
    let worker = format!("w{}", world.rng.random_range(0..WORKERS));
    match world.rng.random_range(0..21) {
        0 => world.kill(owner),
        1 => world.freeze(owner),
        2..=4 if world.owners[owner].frozen => world.wake(owner),
        2 => world.crash_worker(&worker),
        3 => world.release(owner),
        4 => world.owners[owner].cut = true,
        5 | 6 => world.owners[owner].cut = false,
        7 => world.cut_worker(&worker),
        8 => {
            world.cuts.insert((owner, worker));
        }
        9..=11 => {
            world.cuts.clear();
            world.slow.clear();
        }
        12 => world.store.down = true,
        13 | 14 => {
            let now = world.now;
            world.store.recover(now, 3_000);
        }
        15 => world.set_zone(ZoneState::Out),
        16 => world.set_zone(ZoneState::In),
        18 => {
            let slow = world.rng.random_range(500..9_000);
            world.slow.insert(worker, slow);
        }
        17 => {
            let host = &mut world.workers.get_mut(&worker).expect("a known worker").host;
            host.state = match host.state {
                HostState::Live => HostState::Leaving,
                HostState::Leaving | HostState::Dead => HostState::Live,
            };
            world.list_hosts();
        }
        _ => {
            let job = world.rng.random_range(0..wanted.len());
            if world.rng.random_bool(0.2) && world.owners[owner].epoch.is_some() {
                world.ask(owner, Request::Cancel(wanted[job].0.clone()));
            }
        }
    }
    // The declarations change only while the store answers.
    if world.store.down && !world.owners.iter().all(|owner| !owner.cut) {
        world.owners.iter_mut().for_each(|owner| owner.cut = false);
    }
}

fn calm(world: &mut World) {
    world.weather = Weather::default();
    world.cuts.clear();
    world.slow.clear();
    let now = world.now;
    world.store.recover(now, 3_000);
    for owner in 0..2 {
        world.owners[owner].cut = false;
        if world.owners[owner].frozen {
            world.wake(owner);
        }
    }
    for worker in world.workers.values_mut() {
        worker.host.state = HostState::Live;
    }
    world.list_hosts();
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

fn judge(world: &World) -> Vec<String> {
    let unrepeatable = |task: &TaskId| task.job.as_str().contains("settlement");
    let mut found = world.history.violations(unrepeatable, CAPACITY, PERMIT_MS);
    for task in world.history.unfounded() {
        found.push(format!(
            "{task} is stored as done and no worker finished it"
        ));
    }
    for id in &world.accepted {
        let held = world.store.jobs.contains_key(id) || world.store.moved.contains_key(id);
        if !held {
            found.push(format!("{id} was accepted and is lost"));
        }
    }
    for job in world.store.jobs.values() {
        let unknown = job.ended.count(TaskOutcome::Unknown);
        if unknown > 0 && !job.id.as_str().contains("settlement") {
            found.push(format!("{} is idempotent and has unknown tasks", job.id));
        }
        if job.ended.count(TaskOutcome::Failed) > 0 {
            found.push(format!(
                "{} has failed tasks and no worker failed any",
                job.id
            ));
        }
    }
    found
}
