//! One complete session compared with a snapshot.

use verbenahitch::domain::{JobId, TaskOutcome};
use verbenahitch::port::HostState;

use super::declared::spec;
use super::world::World;

const SEED: u64 = 3;
const TIMEOUT_MS: u64 = 60_000;

/// A job is submitted, placed, evicted from a leaving worker, resumed and done.
#[test]
fn a_session_from_submission_to_end() {
    let mut world = World::new(SEED, 2);
    assert!(world.run_while(TIMEOUT_MS, |world| !world.owners[0].shard.is_recovered()));
    let id = JobId::new("market", "overnight");
    world.submit(0, &id, spec("settlement", 2, 5_000));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 2));
    world.run_for(1_000);
    let host = &mut world.workers.get_mut("w0").expect("a known worker").host;
    host.state = HostState::Leaving;
    world.send_hosts();
    let done = |world: &World| {
        world
            .store
            .jobs
            .get(&id)
            .is_some_and(|job| job.is_finished())
    };
    assert!(world.run_while(TIMEOUT_MS, |world| !done(world)));
    assert_eq!(world.store.jobs[&id].ended.count(TaskOutcome::Done), 2);
    world.run_for(1_000);
    let entries: Vec<String> = world.entries.iter().map(|entry| entry.to_json()).collect();
    let observations: Vec<String> = world
        .history
        .observations
        .iter()
        .map(|observation| format!("{observation:?}"))
        .collect();
    insta::assert_snapshot!([entries, observations].concat().join("\n"));
}
