//! Random fleets that lose a kind of worker for good, with a backlog of which a part waits in vain.
//! Guards against work that waits beside room for it, whatever waits before it.

use std::collections::BTreeMap;
use std::env;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::dispatch::{Amount, JobId, StepSpec};
use verbenahitch::domain::Millis;

use super::world::{FakeWorker, World, job};

/// Number of backlogs by default; `BACKLOGS` sets another one, `BACKLOG_SEED` the first seed.
const BACKLOGS: u64 = 16;

/// Longest time for which nothing of a job may run while there is room for it twice over and less than
/// half of the CPU is in use, by the users' rules, in milliseconds.
const IDLE_LIMIT_MS: Millis = 3_000;

/// Time between two looks at the jobs, and time for which they are looked at.
const LOOK_MS: Millis = 100;
const END_MS: Millis = 15_000;

/// Time after the loss until it is calm: leases of lost workers have lapsed, in milliseconds.
const CALM_MS: Millis = 7_000;

const KINDS: [&str; 3] = ["a", "b", "c"];
const LOST_KIND: &str = "c";
const IMAGES: u32 = 4;

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// World with workers of several kinds and sizes, and random pressures of fillers.
fn fleet(rng: &mut ChaCha8Rng) -> World {
    let mut world = World::new(0);
    for number in 0..rng.random_range(4..16) {
        let name = format!("w{number:02}");
        world.add_worker(&name, rng.random_range(8..33));
        // The first ones are of each kind.
        let kind = KINDS[number.min(rng.random_range(0..KINDS.len()))];
        let worker = world.workers.get_mut(&name).unwrap();
        worker.info.labels = vec![kind.to_owned()];
        worker.speed = [1.0, 1.0, 0.3][rng.random_range(0..3)];
        let info = worker.info.clone();
        let now = world.clock().at;
        world.dispatcher.upsert_worker(info, now);
    }
    for filler in 0..IMAGES {
        for standing in 0..IMAGES {
            let pair = (format!("f{filler}"), format!("s{standing}"));
            let pressure = [0.0, 0.2, 2.0, 12.0][rng.random_range(0..4)];
            world.pressures.insert(pair, pressure);
        }
    }
    world
}

/// Step that some or no worker can run.
fn random_step(rng: &mut ChaCha8Rng) -> StepSpec {
    let standing = rng.random_bool(0.15);
    let filler = !standing && rng.random_bool(0.7);
    let image = rng.random_range(0..IMAGES);
    StepSpec {
        count: rng.random_range(1..6),
        amount: Amount {
            cpu_milli: rng.random_range(100..4_000),
            memory_mb: [100, 4_000, 40_000, 90_000][rng.random_range(0..4)],
            gpus: u64::from(rng.random_bool(0.05)),
        },
        estimate_ms: rng.random_range(100..2_000),
        label: ["", "", "a", "b", LOST_KIND, LOST_KIND][rng.random_range(0..6)].to_owned(),
        spread: u32::from(rng.random_bool(0.1)),
        standing,
        filler,
        checkpoints: filler && rng.random_bool(0.5),
        image: format!("{}{image}", if standing { "s" } else { "f" }),
        target_ms: if standing { 20 } else { 0 },
        ..StepSpec::default()
    }
}

/// What is left of a worker, the CPU of fillers included.
fn free(world: &World, worker: &FakeWorker) -> Amount {
    let mut free = worker.info.capacity;
    for run in &worker.life.runs {
        let amount = world.specs[&run.task.job].steps[run.task.step as usize].amount;
        free.cpu_milli = free.cpu_milli.saturating_sub(amount.cpu_milli);
        free.memory_mb = free.memory_mb.saturating_sub(amount.memory_mb);
        free.gpus = free.gpus.saturating_sub(amount.gpus);
    }
    free
}

/// Whether there is room for two tasks of a step, on workers that have the label.
fn has_room_twice(world: &World, step: &StepSpec) -> bool {
    let sound = world.workers.values().filter(|worker| !worker.silent);
    let labelled =
        sound.filter(|worker| step.label.is_empty() || worker.info.labels.contains(&step.label));
    let places = labelled.map(|worker| {
        let free = free(world, worker);
        let by = |need: u64, left: u64| left.checked_div(need).unwrap_or(u64::MAX);
        by(step.amount.cpu_milli, free.cpu_milli)
            .min(by(step.amount.memory_mb, free.memory_mb))
            .min(by(step.amount.gpus, free.gpus))
    });
    places.fold(0, u64::saturating_add) >= 2
}

/// Whether less than half of the CPU is in use.
fn is_half_free(world: &World) -> bool {
    let sound = world.workers.values().filter(|worker| !worker.silent);
    let (mut all, mut left) = (0, 0);
    for worker in sound {
        all += worker.info.capacity.cpu_milli;
        left += free(world, worker).cpu_milli;
    }
    left * 2 > all
}

/// Plays a backlog; returns what waited beside room for it.
fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = fleet(&mut rng);
    world.run(1_000);
    for worker in world.workers.values_mut() {
        worker.silent = worker.info.labels[0] == LOST_KIND;
        worker.unlisted = worker.silent;
    }
    world.run(CALM_MS);
    let jobs: Vec<JobId> = (0..rng.random_range(20..80))
        .map(|number| {
            let queue = ["push", "batch"][rng.random_range(0..2)];
            world.submit(number, queue, job(vec![random_step(&mut rng)]))
        })
        .collect();
    let mut idle: BTreeMap<JobId, Millis> = BTreeMap::new();
    let mut violations = Vec::new();
    for _ in 0..END_MS / LOOK_MS {
        world.run(LOOK_MS);
        let is_half_free = is_half_free(&world);
        for id in &jobs {
            let step = &world.specs[id].steps[0];
            let waits = !world.finished.contains_key(id) && world.workers_of(*id).is_empty();
            let is_owed = waits && is_half_free && has_room_twice(&world, step);
            let since = idle.entry(*id).or_default();
            *since = if is_owed { *since + LOOK_MS } else { 0 };
            if *since == IDLE_LIMIT_MS + LOOK_MS {
                violations.push(format!("seed {seed}, {}: {id:?} {step:?}", world.now));
            }
        }
    }
    world.ledger.assert_once();
    violations
}

#[test]
fn nothing_waits_beside_room_for_it() {
    let first = env_number("BACKLOG_SEED", 1);
    let seeds = first..first + env_number("BACKLOGS", BACKLOGS);
    let violations: Vec<String> = seeds.flat_map(play).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
