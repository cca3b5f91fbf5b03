//! Shared steps of the tests of a shard.

use verbenahitch::domain::{JobId, JobSpec, Millis, TaskOutcome};
use verbenahitch::event::Kind;

use super::world::{CAPACITY, OUTAGE_MS, PERMIT_MS, TASK_LEASE_MS, World};

pub const SEED: u64 = 7;
/// Run time longer than a task lease lasts without renewal.
pub const RUN_MS: Millis = 6_000;
/// Timeout long enough for every lease to lapse and every task to run twice more.
pub const TIMEOUT_MS: Millis = OUTAGE_MS + 2 * TASK_LEASE_MS + 60_000;

pub fn id(key: &str) -> JobId {
    JobId::new("market", key)
}

/// Simulation with three workers whose shard is owned and recovered.
pub fn world() -> World {
    let mut world = World::new(SEED, 3);
    assert!(world.run_while(TIMEOUT_MS, |world| !world.owners[0].shard.is_recovered()));
    world
}

/// Submits a job and waits until it is accepted.
pub fn submit_job(world: &mut World, key: &str, spec: JobSpec) {
    let owner = world.owner().expect("the shard is owned");
    world.submit(owner, &id(key), spec);
    assert!(world.run_while(TIMEOUT_MS, |world| !world.accepted.contains(&id(key))));
}

/// Waits until a job has finished.
pub fn finish_job(world: &mut World, key: &str) {
    let finished = |world: &World| {
        let job = world.store.jobs.get(&id(key));
        job.is_some_and(|job| job.is_finished())
    };
    assert!(
        world.run_while(TIMEOUT_MS, |world| !finished(world)),
        "{key} did not finish in time"
    );
}

pub fn outcome_count(world: &World, key: &str, outcome: TaskOutcome) -> u32 {
    world.store.jobs[&id(key)].ended.count(outcome)
}

pub fn assert_guarantees(world: &World) {
    let found = world
        .history
        .violations(|task| task.job == id("settlement"), CAPACITY, PERMIT_MS);
    assert!(found.is_empty(), "{found:#?}");
}

pub fn log_count(world: &World, kind: Kind) -> usize {
    world
        .entries
        .iter()
        .filter(|entry| entry.kind() == kind)
        .count()
}
