//! Random jobs of many tasks on workers with names of any length, which crash, are lost and return,
//! with changes of the owner. Guards against a record that outgrows the largest value of the store.

use std::env;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::dispatch::{Bounds, JobId, JobState, StepSpec, record_size};
use verbenahitch::domain::Millis;

use super::world::{BOUNDS, World, job, step};

/// Number of runs by default; `RECORDS` sets another one, `RECORD_SEED` the first seed.
const RUNS: u64 = 6;

/// Time between two looks at the records, and time for which workers come and go.
const LOOK_MS: Millis = 10;
const STORM_MS: Millis = 12_000;

/// Time within which all jobs complete after that.
const END_MS: Millis = 120_000;

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().unwrap())
}

fn fleet(rng: &mut ChaCha8Rng, record_max: usize) -> World {
    let mut world = World::with_bounds(
        0,
        Bounds {
            record_max,
            ..BOUNDS
        },
    );
    let length = [1, 16, 60][rng.random_range(0..3)];
    for number in 0..rng.random_range(4..12) {
        world.add_worker(&format!("{number:0length$}"), 32);
    }
    world
}

/// Steps of a job, as many tasks as its record has room for in some.
fn steps(rng: &mut ChaCha8Rng, record_max: usize) -> Vec<StepSpec> {
    let mut steps: Vec<StepSpec> = (0..rng.random_range(1..4))
        .map(|at| {
            let mut step = step(rng.random_range(1..4_000), 1, rng.random_range(200..1_500));
            step.amount.cpu_milli = [20, 100, 500][rng.random_range(0..3)];
            step.amount.memory_mb = 1;
            step.checkpoints = rng.random_bool(0.5);
            if at > 0 && rng.random_bool(0.5) {
                step.after = vec![at - 1];
            }
            step
        })
        .collect();
    while !record_size::fits(&job(steps.clone()), record_max) {
        for step in &mut steps {
            step.count = (step.count * 9 / 10).max(1);
        }
    }
    steps
}

fn check_records(world: &World, record_max: usize, seed: u64) {
    for (id, write) in &world.records {
        let bytes = serde_json::to_vec(&write.record).unwrap().len();
        assert!(
            bytes <= record_max,
            "seed {seed}: the record of job {id} has {bytes} of {record_max} bytes at {} ms",
            world.now
        );
    }
}

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let record_max = [96, 128, 256][rng.random_range(0..3)] * 1_024;
    let mut world = fleet(&mut rng, record_max);
    let names: Vec<String> = world.workers.keys().cloned().collect();
    world.run(500);
    let jobs: Vec<JobId> = (1..rng.random_range(2..5))
        .map(|id| {
            let steps = steps(&mut rng, record_max);
            world.submit(id, "batch", job(steps))
        })
        .collect();
    let end = world.now + STORM_MS;
    let mut cut: Vec<String> = Vec::new();
    while world.now < end {
        world.run(LOOK_MS);
        check_records(&world, record_max, seed);
        let name = &names[rng.random_range(0..names.len())];
        match rng.random_range(0..400) {
            0..6 => {
                let now = world.now;
                let down_ms = rng.random_range(100..3_000);
                world.workers.get_mut(name).unwrap().restart(now, down_ms);
            }
            6..12 => {
                world.set_cut(name, true);
                cut.push(name.clone());
            }
            12..20 => {
                if let Some(name) = cut.pop() {
                    world.set_cut(&name, false);
                }
            }
            20 => world.fail_over(1_500),
            _ => {}
        }
    }
    for name in cut {
        world.set_cut(&name, false);
    }
    let end = world.now + END_MS;
    let is_open = |world: &World, id: &JobId| world.state(*id) != Some(JobState::Completed);
    while world.now < end && jobs.iter().any(|id| is_open(&world, id)) {
        world.run(100 * LOOK_MS);
        check_records(&world, record_max, seed);
    }
    for id in &jobs {
        assert!(!is_open(&world, id), "seed {seed}: job {id} waits");
    }
}

#[test]
fn records_fit_the_largest_value_of_the_store() {
    let first = env_number("RECORD_SEED", 1);
    for seed in first..first + env_number("RECORDS", RUNS) {
        play(seed);
    }
}
