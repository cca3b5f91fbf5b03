//! Restarts of workers under their names: what was known of an earlier incarnation does not
//! hold for the next one.

use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobState};

use super::world::{World, cores, job, standing, step};

/// Number of workers.
const WORKERS: usize = 3;

/// Time within which all workers have been polled, in milliseconds.
const SETTLE_MS: u64 = 1_500;

/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 900;

fn restart_all(world: &mut World, down_ms: u64) {
    let now = world.now;
    for worker in world.workers.values_mut() {
        worker.restart(now, down_ms);
    }
}

fn submit(world: &mut World, tasks: u32, task_ms: u64) -> JobId {
    world.submit(1, "push", job(vec![step(tasks, 1, task_ms)]))
}

/// Worker of the only run of a job.
fn worker_of(world: &World, id: JobId) -> String {
    (*world.workers_of(id).first().unwrap()).to_owned()
}

/// The registry still has the entries of the earlier incarnations when the owner changes.
fn registry_behind_at_takeover(world: &mut World) {
    restart_all(world, 200);
    world.run(SETTLE_MS);
    submit(world, 4, 3_000);
    world.run(1_000);
    world.take_over();
}

/// A start is answered by an incarnation that has not been polled yet.
fn start_before_first_list(world: &mut World) {
    world.commit_ms = 100;
    submit(world, 4, 3_000);
    world.run(50);
    restart_all(world, 10);
}

/// Another worker answers at the address for a while; then the worker is back, and its
/// entry in the registry too.
fn ends_numbered_anew(world: &mut World) {
    world.submit(2, "push", job(vec![step(9, 1, 100)]));
    world.run(SETTLE_MS);
    restart_all(world, 10);
    let moved_until = world.now + 1_000;
    for worker in world.workers.values_mut() {
        worker.moved_until = moved_until;
    }
    world.run(500);
    world.list_workers();
    world.run(1_000);
    submit(world, 6, 500);
}

/// A poll gives the new incarnation the lease that was meant for the earlier one, as long as
/// the worker allows.
fn lease_for_the_earlier_incarnation(world: &mut World) {
    restart_all(world, 0);
    world.run(SETTLE_MS);
    let id = submit(world, 1, 20_000);
    world.run(100);
    let worker = worker_of(world, id);
    world.workers.get_mut(&worker).unwrap().silent = true;
    world.run(5_000);
    world.workers.get_mut(&worker).unwrap().silent = false;
}

/// The first poll of the new incarnation acknowledges ends of the earlier one, while runs
/// that the new one was given have ended already.
fn end_before_first_list(world: &mut World) {
    world.submit(2, "push", job(vec![step(9, 1, 100)]));
    world.run(SETTLE_MS);
    world.commit_ms = 100;
    submit(world, 4, 40);
    world.run(50);
    restart_all(world, 10);
}

/// As before, but the workers are idle and restart between two polls, so that no call fails.
fn end_after_unnoticed_restart(world: &mut World) {
    world.submit(2, "push", job(vec![step(9, 1, 100)]));
    world.run(SETTLE_MS);
    restart_all(world, 0);
    submit(world, 4, 40);
}

/// A start without an answer is carried out by the next incarnation, after the run was
/// confirmed by the earlier one.
fn late_start(world: &mut World) {
    submit_with_late_start(world, 5_000);
    world.run(300);
    restart_all(world, 50);
}

/// As before, but the run has ended before the restart.
fn late_start_of_an_ended_run(world: &mut World) {
    submit_with_late_start(world, 200);
    world.run(1_000);
    restart_all(world, 50);
}

/// Submits a task of which the first start is not answered, and carried out late.
fn submit_with_late_start(world: &mut World, task_ms: u64) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(2_000);
    }
    submit(world, 1, task_ms);
    world.run(50);
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
}

#[test_case(registry_behind_at_takeover; "registry behind at a takeover")]
#[test_case(start_before_first_list; "start before the first list")]
#[test_case(ends_numbered_anew; "ends numbered anew")]
#[test_case(lease_for_the_earlier_incarnation; "lease for the earlier incarnation")]
#[test_case(end_before_first_list; "end before the first list")]
#[test_case(end_after_unnoticed_restart; "end after an unnoticed restart")]
#[test_case(late_start; "late start")]
#[test_case(late_start_of_an_ended_run; "late start of an ended run")]
fn no_task_runs_twice_when_its_worker_restarts(arrange: fn(&mut World)) {
    let mut world = World::new(WORKERS);
    for worker in world.workers.values_mut() {
        worker.stop_ms = STOP_MS;
    }
    world.run(SETTLE_MS);
    arrange(&mut world);
    world.run(25_000);
    world.ledger.assert_once();
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
}

/// An earlier owner recorded the run, and the worker has listed it since.
#[test]
fn no_standing_task_is_lost_when_its_worker_restarts_after_a_takeover() {
    let mut world = World::new(WORKERS);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    world.run(SETTLE_MS);
    world.take_over();
    world.run(1_000);
    restart_all(&mut world, 50);
    assert!(world.workers_of(id).is_empty());
    world.run(3_000);
    assert_eq!(world.workers_of(id).len(), 1);
    world.ledger.assert_once();
}

/// A late start in the next incarnation of the only worker, which has no room any more for the
/// task that waits meanwhile.
#[test]
fn no_task_starts_elsewhere_while_a_run_that_is_not_assigned_stops() {
    let mut world = World::new(1);
    world.workers.get_mut("w00").unwrap().stop_ms = STOP_MS;
    world.run(SETTLE_MS);
    submit_with_late_start(&mut world, 5_000);
    restart_all(&mut world, 10);
    world.resize_worker("w00", cores(0));
    world.run(1_900);
    assert!(world.workers_of(JobId(1)).is_empty());
    restart_all(&mut world, 0);
    // Before a list shows the run, nobody can know of it.
    while world.dispatcher.take_unassigned() == 0 {
        world.run(5);
    }
    assert!(!world.workers_of(JobId(1)).is_empty());
    world.add_worker("w01", 16);
    world.run(25_000);
    world.ledger.assert_once();
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
}
