//! Zones taken out and returning.

use test_case::test_case;
use verbenahitch::config::ZoneState;
use verbenahitch::domain::{Millis, TaskOutcome};
use verbenahitch::scheduler::Request;

use super::common::{LIMIT_MS, accept, assert_promises, count, finish, id, world};
use super::declared::spec;
use super::history::Seen;
use super::world::{CAPACITY, PERMIT_MS, RENEW_MS, World};

/// How soon after a zone was taken out nothing more may start.
struct Leaving {
    strike: fn(&mut World),
    allowed_ms: Millis,
}

fn cut_owner(world: &mut World) {
    world.owners[0].cut = true;
}

fn cut_owner_with_slow_calls(world: &mut World) {
    // Just after a renewal, so that the permit lasts as long as it may.
    let renewed = world.now.next_multiple_of(RENEW_MS) + 5;
    world.run_until(renewed);
    world.owners[0].cut = true;
    for name in ["w0", "w1", "w2"] {
        world.slow.insert(name.to_owned(), 250);
    }
}

fn freeze_owner(world: &mut World) {
    world.freeze(0);
}

#[test_case(Leaving { strike: |_| {}, allowed_ms: PERMIT_MS / 2 }; "owner hears of it")]
#[test_case(Leaving { strike: cut_owner, allowed_ms: PERMIT_MS }; "owner is cut from the store")]
#[test_case(Leaving { strike: freeze_owner, allowed_ms: PERMIT_MS }; "owner is paused")]
#[test_case(Leaving { strike: cut_owner_with_slow_calls, allowed_ms: PERMIT_MS }; "owner is cut off and calls are slow")]
fn nothing_starts_in_a_zone_taken_out(case: Leaving) {
    // One of the run times frees room just before the permit lapses, others after.
    for run_ms in (600..2_400).step_by(60) {
        let mut world = world();
        accept(
            &mut world,
            "recalculation",
            spec("recalculation", 40, run_ms),
        );
        assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 12));
        // Time for the next tasks to be marked, which then wait for room.
        world.run_for(200);
        (case.strike)(&mut world);
        world.set_zone(ZoneState::Out);
        world.run_for(2 * PERMIT_MS);
        if world.owners[0].frozen {
            world.wake(0);
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
    accept(&mut world, "moved", spec("settlement", 3, 20_000));
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 3));
    world.run_for(2_000);
    world.set_zone(ZoneState::Out);
    let moved = |world: &World| world.store.moved.contains_key(&id("moved"));
    assert!(world.run_while(LIMIT_MS, |world| !moved(world)));
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
    assert_promises(&world);
}

#[test]
fn many_jobs_are_handed_over() {
    let mut world = world();
    for number in 0..150 {
        accept(
            &mut world,
            &number.to_string(),
            spec("recalculation", 2, 60_000),
        );
    }
    world.set_zone(ZoneState::Out);
    assert!(world.run_while(LIMIT_MS, |world| world.store.moved.len() < 150));
    assert!(world.store.jobs.is_empty());
    assert_promises(&world);
}

#[test]
fn an_adopted_job_goes_on_from_its_checkpoints() {
    let mut world = world();
    accept(&mut world, "moved", spec("settlement", 3, 20_000));
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 3));
    world.set_zone(ZoneState::Out);
    assert!(world.run_while(LIMIT_MS, |world| world.store.moved.is_empty()));
    world.set_zone(ZoneState::In);
    world.run_for(2_000);
    let (_, record) = world
        .store
        .moved
        .remove(&id("moved"))
        .expect("the job was moved");
    for _ in 0..2 {
        world.ask(0, Request::Adopt(Box::new(record.clone())));
    }
    finish(&mut world, "moved");
    assert_eq!(count(&world, "moved", TaskOutcome::Done), 3);
    let resumed = world.history.facts.iter().filter(
        |fact| matches!(&fact.seen, Seen::Started { checkpoint_ms, .. } if *checkpoint_ms > 0),
    );
    assert_eq!(resumed.count(), 3);
}
