//! Execution of tasks: order of steps, commits before starts and acknowledgements,
//! cancels, restarts and failures.

use test_case::test_case;
use verbenahitch::dispatch::JobState;

use super::world::{World, filler, job, standing, step};

#[test]
fn steps_run_in_order_and_each_task_once() {
    let mut world = World::new(4);
    let mut second = step(3, 2, 300);
    second.after = vec![0];
    let id = world.submit(1, "push", job(vec![step(5, 2, 400), second]));
    world.run(3_000);
    assert_eq!(world.state(id), Some(JobState::Completed));
    let starts = world.starts_of(id);
    assert_eq!(starts.len(), 8);
    let first_step = starts.iter().filter(|start| start.task.step == 0).count();
    assert_eq!(first_step, 5);
    let started_at = |step| {
        let of_step = starts.iter().filter(move |start| start.task.step == step);
        of_step.map(|start| start.at)
    };
    assert!(started_at(1).min().unwrap() >= started_at(0).max().unwrap() + 400);
}

#[test]
fn nothing_starts_before_the_store_holds_its_assignment() {
    let mut world = World::new(2);
    world.run(500);
    world.store_up = false;
    let id = world.submit(1, "push", job(vec![step(2, 1, 400)]));
    world.run(1_000);
    assert!(world.starts_of(id).is_empty());
    world.store_up = true;
    world.run(1_000);
    assert_eq!(world.starts_of(id).len(), 2);
}

#[test]
fn an_end_is_acknowledged_only_once_the_store_holds_it() {
    let mut world = World::new(1);
    let id = world.submit(1, "push", job(vec![step(1, 1, 400)]));
    world.run(300);
    world.store_up = false;
    world.run(1_200);
    assert_eq!(world.workers["w00"].life.last_end, 1);
    assert_eq!(world.acked["w00"], 0);
    assert_ne!(world.state(id), Some(JobState::Completed));
    world.store_up = true;
    world.run(1_200);
    assert_eq!(world.acked["w00"], 1);
    assert_eq!(world.state(id), Some(JobState::Completed));
}

#[test]
fn an_unanswered_start_is_not_repeated_elsewhere() {
    let mut world = World::new(3);
    world.run(500);
    for worker in world.workers.values_mut() {
        worker.drops_start_answers = true;
    }
    let id = world.submit(1, "push", job(vec![step(2, 1, 600)]));
    world.run(2_500);
    assert_eq!(world.starts_of(id).len(), 2);
    assert_eq!(world.state(id), Some(JobState::Completed));
}

#[test_case(World::drain_worker; "a draining worker")]
#[test_case(World::evacuate_zone_of; "a worker of an evacuated zone")]
fn an_unanswered_start_is_not_repeated_on(leave: fn(&mut World, &str)) {
    let mut world = World::new(3);
    world.run(500);
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(5_000);
    }
    let id = world.submit(1, "push", job(vec![step(1, 1, 600)]));
    world.run(300);
    let name = world.start_orders.keys().next().unwrap().clone();
    let left_at = world.now;
    leave(&mut world, &name);
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
    world.run(8_000);
    let last = world.start_orders[&name].last().unwrap();
    assert!(*last <= left_at, "started at {last}, left at {left_at}");
    assert_eq!(world.state(id), Some(JobState::Completed));
    world.ledger.assert_once();
}

#[test]
fn no_worker_is_committed_beyond_its_cpu() {
    let mut world = World::new(3);
    for number in 0..20 {
        world.submit(number, "push", job(vec![step(4, 3, 700)]));
    }
    for _ in 0..800 {
        world.run(5);
        for worker in world.workers.values() {
            assert!(worker.committed(&world.specs) <= 16);
        }
    }
    assert!(world.finished.len() >= 15);
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut world = World::new(2);
    let id = world.submit(1, "push", job(vec![standing(3, 2, "s")]));
    world.run(1_000);
    assert_eq!(
        world.workers_of(id).len(),
        1,
        "tasks of one image share a worker"
    );
    let now = world.clock();
    world.dispatcher.cancel(id, now.at);
    world.run(500);
    assert!(world.workers_of(id).is_empty());
    assert_eq!(world.state(id), Some(JobState::Cancelled));
    assert_eq!(world.starts_of(id).len(), 3);
}

#[test]
fn a_cancel_before_its_job_takes_effect() {
    let mut world = World::new(2);
    let now = world.clock();
    world
        .dispatcher
        .cancel(verbenahitch::dispatch::JobId(7), now.at);
    let id = world.submit(7, "push", job(vec![step(1, 1, 300)]));
    world.run(1_000);
    assert!(world.starts_of(id).is_empty());
    assert_eq!(world.state(id), Some(JobState::Cancelled));
}

#[test]
fn a_standing_task_is_started_again_however_it_ends() {
    let mut world = World::new(3);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    world.run(600);
    let worker = (*world.workers_of(id).first().unwrap()).to_owned();
    world.workers.get_mut(&worker).unwrap().failing = true;
    world.run(1_500);
    world.workers.get_mut(&worker).unwrap().failing = false;
    world.run(500);
    assert_eq!(world.workers_of(id).len(), 1);
    assert!(world.starts_of(id).len() >= 2);
}

#[test]
fn a_job_fails_when_its_attempts_are_used_up() {
    let mut world = World::new(5);
    for worker in world.workers.values_mut() {
        worker.failing = true;
    }
    let id = world.submit(1, "batch", job(vec![filler(1, 1, 400, "f")]));
    world.run(12_000);
    assert_eq!(world.state(id), Some(JobState::Failed));
    assert_eq!(world.starts_of(id).len(), 3);
}

/// A worker that has just refused a poll is down, or another one by now: a start there waits.
#[test]
fn no_task_is_placed_on_a_worker_that_has_ceased_to_answer() {
    let mut world = World::new(4);
    world.run(1_500);
    let now = world.now;
    for name in ["w00", "w01", "w02"] {
        world.workers.get_mut(name).unwrap().restart(now, 1_600);
    }
    // Idle workers are polled every 0.9 s.
    world.run(1_000);
    let id = world.submit(1, "push", job(vec![step(3, 2, 1_000)]));
    world.run(300);
    let starts = world.starts_of(id);
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.worker == "w03"));
}
