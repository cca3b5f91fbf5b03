//! A worker whose registry entry cannot be read for a while: its runs go on, it gets no new ones,
//! and nothing starts twice.

use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobState};
use verbenahitch::domain::Millis;

use super::world::{World, job, standing, step};

/// Time within which all workers have been polled, in milliseconds.
const SETTLE_MS: Millis = 1_500;

/// Two workers, of which each has a run that is longer than any lease, and a standing one.
fn busy_world() -> (World, JobId) {
    let mut world = World::new(2);
    world.run(SETTLE_MS);
    let id = world.submit(1, "push", job(vec![step(2, 10, 30_000)]));
    world.run(500);
    world.submit(2, "push", job(vec![standing(2, 4, "web")]));
    world.run(2_000);
    assert_eq!(world.workers_of(id).len(), 2);
    (world, id)
}

fn starts_on(world: &World, name: &str) -> usize {
    let orders = world.start_orders.get(name);
    orders.map_or(0, Vec::len)
}

/// What happens while the entry cannot be read.
#[derive(Clone, Copy)]
enum Beside {
    Nothing,
    NewOwner,
    HandOver,
    Rewritten,
}

#[test_case(Beside::Nothing; "alone")]
#[test_case(Beside::NewOwner; "beside a new owner")]
#[test_case(Beside::HandOver; "beside a planned change of owner")]
#[test_case(Beside::Rewritten; "written again and again")]
fn a_worker_whose_entry_is_odd_keeps_its_runs_and_gets_no_new_ones(beside: Beside) {
    let (mut world, id) = busy_world();
    world.spoil_entry("w00");
    let before = starts_on(&world, "w00");
    for number in 0..12 {
        match beside {
            Beside::NewOwner if number == 4 => world.take_over(),
            Beside::HandOver if number == 4 => world.hand_over(),
            Beside::Rewritten => world.spoil_entry("w00"),
            Beside::Nothing | Beside::NewOwner | Beside::HandOver => {}
        }
        world.submit(10 + number, "push", job(vec![step(3, 1, 200)]));
        world.run(1_000);
    }
    assert_eq!(starts_on(&world, "w00"), before);
    assert_eq!(world.starts_of(id).len(), 2);
    assert_eq!(world.starts_of(JobId(2)).len(), 2);
    world.mend_entry("w00");
    for number in 30..34 {
        world.submit(number, "push", job(vec![step(8, 1, 200)]));
        world.run(1_000);
    }
    assert!(starts_on(&world, "w00") > before);
    world.run(16_000);
    world.ledger.assert_once();
    assert_eq!(world.state(id), Some(JobState::Completed));
    assert_eq!(world.starts_of(id).len(), 2);
}

/// The assignments are recorded when the entry turns odd; no start has been sent.
#[test]
fn a_recorded_start_is_withdrawn_from_a_worker_whose_entry_turns_odd() {
    let mut world = World::new(2);
    world.run(SETTLE_MS);
    world.commit_ms = 500;
    let id = world.submit(1, "push", job(vec![step(4, 4, 300)]));
    world.run(200);
    world.spoil_entry("w00");
    world.run(4_000);
    assert_eq!(starts_on(&world, "w00"), 0);
    assert_eq!(world.state(id), Some(JobState::Completed));
    world.ledger.assert_once();
}

/// The worker is lost while its entry is odd: its runs wait for their leases and start elsewhere.
#[test_case(false; "under one owner")]
#[test_case(true; "under two")]
fn the_runs_of_a_lost_worker_whose_entry_is_odd_start_elsewhere_after_their_leases(two: bool) {
    let mut world = World::new(3);
    world.run(SETTLE_MS);
    let id = world.submit(1, "push", job(vec![step(1, 1, 20_000)]));
    world.run(2_000);
    let worker = world.starts_of(id)[0].worker.clone();
    world.spoil_entry(&worker);
    world.run(1_000);
    world.workers.get_mut(&worker).unwrap().silent = true;
    if two {
        world.take_over();
    }
    world.run(30_000);
    world.ledger.assert_once();
    assert_eq!(world.starts_of(id).len(), 2);
    // Good again, it is a worker as any other.
    world.workers.get_mut(&worker).unwrap().silent = false;
    world.mend_entry(&worker);
    world.run(3_000);
    let before = starts_on(&world, &worker);
    world.submit(2, "push", job(vec![step(30, 1, 300)]));
    world.run(2_000);
    assert!(starts_on(&world, &worker) > before);
    world.run(10_000);
    world.ledger.assert_once();
    assert_eq!(world.state(id), Some(JobState::Completed));
}
