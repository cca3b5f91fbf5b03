//! Facts about one life of a worker or of the list of workers that reach a shard in another.

use test_case::test_case;
use verbenahitch::config::ZoneState;
use verbenahitch::domain::{Monotonic, TaskOutcome};
use verbenahitch::scheduler::{Input, Request};

use super::common::{
    RUN_MS, SEED, TIMEOUT_MS, assert_guarantees, finish_job, id, outcome_count, submit_job, world,
};
use super::declared::spec;
use super::history::ObservedEvent;
use super::world::{MessageFaults, OUTAGE_MS, TASK_LEASE_MS, World};

/// Run time longer than a take-over after the longest wait.
const LONG_RUN_MS: u64 = 60_000;

/// The successor last read the list before it contained the newest worker.
fn keep_old_list(world: &mut World) {
    world.list_unreachable.insert(1);
}

/// The successor got an empty list before it acquired the shard, and none since.
fn start_on_empty_list(world: &mut World) {
    world.list_unreachable.insert(1);
    world.kill(1);
    let read = Monotonic(world.now);
    let hosts = Vec::new();
    world.feed(1, Input::Hosts { read, hosts });
}

/// Two runs of one task after a take-over on a list that lacks a worker.
#[test_case(keep_old_list; "old list")]
#[test_case(start_on_empty_list; "empty list")]
fn two_runs_after_a_take_over_on_an_old_list(inject: fn(&mut World)) {
    let mut world = world();
    inject(&mut world);
    submit_job(&mut world, "short", spec("recalculation", 12, RUN_MS));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 12));
    world.add_worker("w3");
    submit_job(&mut world, "long", spec("recalculation", 4, LONG_RUN_MS));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 16));
    // The first owner reaches only the worker that the list lacks.
    world.owners[0].store_unreachable = true;
    for name in ["w0", "w1", "w2"] {
        world.partitions.insert((0, name.to_owned()));
    }
    world.run_for(OUTAGE_MS / 2);
    world.list_unreachable.clear();
    world.run_for(OUTAGE_MS + 4 * TASK_LEASE_MS);
    world.owners[0].store_unreachable = false;
    world.partitions.clear();
    finish_job(&mut world, "long");
    assert_guarantees(&world);
}

/// Worker of the last start.
fn last_started(world: &World) -> String {
    let starts = world.history.observations.iter();
    let worker = starts
        .rev()
        .find_map(|observation| match &observation.event {
            ObservedEvent::Started { worker, .. } => Some(worker.clone()),
            _ => None,
        });
    worker.expect("a task was started")
}

fn keep_clocks(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.keeps_clock = true;
    }
}

/// The copy of each call is answered as late, the call itself not at all.
fn repeat_calls(world: &mut World) {
    world.message_faults = MessageFaults {
        repeated: 1.0,
        ..MessageFaults::default()
    };
}

/// A second run of a task whose worker restarted between the start and its answer.
#[test_case(|_| {}; "clock restarts")]
#[test_case(keep_clocks; "clock runs on")]
#[test_case(repeat_calls; "clock read from a refusal")]
fn second_run_after_a_restart_that_hid_a_start(inject: fn(&mut World)) {
    let mut world = world();
    inject(&mut world);
    world.mute = world.workers.keys().cloned().collect();
    submit_job(&mut world, "settlement", spec("settlement", 1, RUN_MS));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 1));
    let starts = world.history.observations.iter();
    let worker = starts
        .rev()
        .find_map(|observation| match &observation.event {
            ObservedEvent::Started { worker, .. } => Some(worker.clone()),
            _ => None,
        });
    world.crash_worker(&worker.expect("a task was started"));
    world.run_for(100);
    world.mute.clear();
    world.message_faults = MessageFaults::default();
    finish_job(&mut world, "settlement");
    assert_guarantees(&world);
    assert_eq!(outcome_count(&world, "settlement", TaskOutcome::Unknown), 1);
}

/// Two runs of one task after a start that a restarted worker took once its lease had lapsed.
#[test]
fn two_runs_after_a_late_start_in_a_new_life() {
    let mut world = World::new(SEED, 1);
    assert!(world.run_while(TIMEOUT_MS, |world| !world.owners[0].shard.is_recovered()));
    // The first life's clock is far ahead of the next one's.
    world.run_for(LONG_RUN_MS);
    world.submit(
        0,
        &id("recalculation"),
        spec("recalculation", 4, LONG_RUN_MS),
    );
    world.crash_worker("w0");
    world.delays.insert("w0".to_owned(), 2 * TASK_LEASE_MS);
    world.run_for(TASK_LEASE_MS);
    world.add_worker("w1");
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 4));
    world.run_for(2 * TASK_LEASE_MS);
    world.delays.clear();
    finish_job(&mut world, "recalculation");
    assert_guarantees(&world);
}

/// Two runs of one task after another machine took the name of the one that runs it.
#[test_case(|_, _| {}; "the first machine answers")]
#[test_case(World::isolate_worker; "the first machine does not answer")]
fn two_runs_after_a_name_moved_to_another_machine(inject: fn(&mut World, &str)) {
    let mut world = world();
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", 2, LONG_RUN_MS),
    );
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 2));
    world.run_for(1_000);
    let worker = last_started(&world);
    inject(&mut world, &worker);
    world.replace_worker(&worker, "other");
    finish_job(&mut world, "recalculation");
    assert_guarantees(&world);
    // The name is in use again.
    submit_job(&mut world, "wide", spec("recalculation", 12, RUN_MS));
    finish_job(&mut world, "wide");
    assert_guarantees(&world);
}

/// Two runs of one task after a take-over from an owner that still uses an unlisted worker.
#[test]
fn two_runs_after_a_take_over_without_an_unlisted_worker() {
    let mut world = world();
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", 2, LONG_RUN_MS),
    );
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 2));
    world.run_for(1_000);
    let worker = last_started(&world);
    world.unlisted.insert(worker.clone());
    world.kill(1);
    world.owners[0].store_unreachable = true;
    for name in ["w0", "w1", "w2"] {
        if name != worker {
            world.partitions.insert((0, name.to_owned()));
        }
    }
    world.run_for(OUTAGE_MS + 4 * TASK_LEASE_MS);
    finish_job(&mut world, "recalculation");
    assert_guarantees(&world);
}

/// Two runs of one task after a take-over in which a worker reports the end of a run from before
/// the job had left the shard and come back.
#[test]
fn two_runs_after_an_end_from_an_earlier_stay() {
    let mut world = world();
    submit_job(&mut world, "back", spec("recalculation", 1, LONG_RUN_MS));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 1));
    let first = last_started(&world);
    world.isolate_worker(&first);
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 2));
    world.set_zone(ZoneState::Out);
    assert!(world.run_while(TIMEOUT_MS, |world| world.store.moved.is_empty()));
    world.set_zone(ZoneState::In);
    world.run_for(2_000);
    let (_, record) = world.store.moved.remove(&id("back")).expect("a moved job");
    world.send_request(0, Request::Adopt(Box::new(record)));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 3));
    world.run_for(1_000);
    // The next owner hears of the old end before the newest run.
    let newest = last_started(&world);
    world.kill(0);
    world.partitions.clear();
    world.delays.insert(newest, TASK_LEASE_MS / 16);
    finish_job(&mut world, "back");
    assert_guarantees(&world);
}
