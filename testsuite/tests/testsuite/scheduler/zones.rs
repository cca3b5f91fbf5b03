//! Zones that are taken out and in again.

use test_case::test_case;
use verbenahitch::config::ZoneState;
use verbenahitch::domain::{Millis, TaskOutcome};
use verbenahitch::scheduler::Request;

use super::common::{
    TIMEOUT_MS, assert_guarantees, finish_job, id, outcome_count, submit_job, world,
};
use super::declared::spec;
use super::history::ObservedEvent;
use super::world::{CAPACITY, PERMIT_MS, RENEW_MS, World};

struct ZoneOutCase {
    inject: fn(&mut World),
    /// Time after the zone was taken out during which tasks may still start.
    allowed_ms: Millis,
}

fn cut_owner_from_store(world: &mut World) {
    world.owners[0].store_unreachable = true;
}

fn cut_owner_from_store_and_delay_calls(world: &mut World) {
    // Just after a renewal, so that the remaining time of the permit is as long as possible.
    let renewed = world.now.next_multiple_of(RENEW_MS) + 5;
    world.run_until(renewed);
    world.owners[0].store_unreachable = true;
    for name in ["w0", "w1", "w2"] {
        world.delays.insert(name.to_owned(), 250);
    }
}

fn pause_owner(world: &mut World) {
    world.pause(0);
}

#[test_case(ZoneOutCase { inject: |_| {}, allowed_ms: PERMIT_MS / 2 }; "owner receives the change")]
#[test_case(ZoneOutCase { inject: cut_owner_from_store, allowed_ms: PERMIT_MS }; "owner is cut off from the store")]
#[test_case(ZoneOutCase { inject: pause_owner, allowed_ms: PERMIT_MS }; "owner is paused")]
#[test_case(ZoneOutCase { inject: cut_owner_from_store_and_delay_calls, allowed_ms: PERMIT_MS }; "owner is cut off from the store and calls are slow")]
fn no_task_starts_in_a_zone_taken_out(case: ZoneOutCase) {
    // Some run times free capacity just before the permit lapses, others after it.
    for run_ms in (600..2_400).step_by(60) {
        let mut world = world();
        submit_job(
            &mut world,
            "recalculation",
            spec("recalculation", 40, run_ms),
        );
        assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 12));
        // Lets the owner mark the next tasks, which then wait for capacity.
        world.run_for(200);
        (case.inject)(&mut world);
        world.set_zone(ZoneState::Out);
        world.run_for(2 * PERMIT_MS);
        if world.owners[0].is_paused {
            world.resume(0);
        }
        world.run_for(PERMIT_MS);
        let found = world
            .history
            .violations(|_| false, CAPACITY, case.allowed_ms);
        assert!(found.is_empty(), "run time {run_ms}: {found:#?}");
    }
}

#[test]
fn a_zone_taken_out_hands_its_jobs_over_with_their_checkpoints() {
    let mut world = world();
    submit_job(&mut world, "moved", spec("settlement", 3, 20_000));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 3));
    world.run_for(2_000);
    world.set_zone(ZoneState::Out);
    let moved = |world: &World| world.store.moved.contains_key(&id("moved"));
    assert!(world.run_while(TIMEOUT_MS, |world| !moved(world)));
    let (shard, record) = &world.store.moved[&id("moved")];
    assert_eq!(shard.to_string(), "west-0");
    assert!(record.marked.is_empty());
    assert_eq!(record.checkpoints.len(), 3);
    assert!(
        record
            .checkpoints
            .values()
            .all(|checkpoint| checkpoint.progress_ms >= 2_000)
    );
    assert_guarantees(&world);
}

#[test]
fn many_jobs_are_handed_over() {
    let mut world = world();
    for number in 0..150 {
        submit_job(
            &mut world,
            &number.to_string(),
            spec("recalculation", 2, 60_000),
        );
    }
    world.set_zone(ZoneState::Out);
    assert!(world.run_while(TIMEOUT_MS, |world| world.store.moved.len() < 150));
    assert!(world.store.jobs.is_empty());
    assert_guarantees(&world);
}

#[test]
fn an_adopted_job_resumes_from_its_checkpoints() {
    let mut world = world();
    submit_job(&mut world, "moved", spec("settlement", 3, 20_000));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 3));
    world.set_zone(ZoneState::Out);
    assert!(world.run_while(TIMEOUT_MS, |world| world.store.moved.is_empty()));
    world.set_zone(ZoneState::In);
    world.run_for(2_000);
    let (_, record) = world
        .store
        .moved
        .remove(&id("moved"))
        .expect("the job was moved");
    for _ in 0..2 {
        world.send_request(0, Request::Adopt(Box::new(record.clone())));
    }
    finish_job(&mut world, "moved");
    assert_eq!(outcome_count(&world, "moved", TaskOutcome::Done), 3);
    let resumed = world.history.observations.iter().filter(|observation| {
        matches!(&observation.event, ObservedEvent::Started { checkpoint_ms, .. }
            if *checkpoint_ms > 0)
    });
    assert_eq!(resumed.count(), 3);
}
