//! Jobs whose queue changes the number of attempts while they run.

use test_case::test_case;
use verbenahitch::dispatch::{EndCause, JobId, JobState};

use super::world::{World, job, queue, step};

fn declare_attempts(world: &mut World, attempts: u32) {
    let mut queues = [queue("push", 0), queue("batch", 2)];
    for queue in &mut queues {
        queue.attempts = attempts;
    }
    world.dispatcher.declare(&queues, &[], &[]);
}

fn holder(world: &World, id: JobId) -> String {
    (*world.workers_of(id).first().unwrap()).to_owned()
}

/// Ends the only run of a job as failed.
fn fail_run(world: &mut World, id: JobId) {
    let worker = world.workers.get_mut(&holder(world, id)).unwrap();
    let task = worker.tasks()[0];
    worker.end(task, EndCause::Failed);
}

/// A restart of a worker is no failed attempt, whatever the declaration says meanwhile.
#[test_case(0, 0; "none allowed")]
#[test_case(1, 1; "lowered to those that have failed")]
fn a_job_is_not_failed_by_an_end_that_is_no_failure(failures: usize, attempts: u32) {
    let mut world = World::new(4);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 20_000)]));
    world.run(1_000);
    for _ in 0..failures {
        fail_run(&mut world, id);
        world.run(3_000);
    }
    declare_attempts(&mut world, attempts);
    let (name, now) = (holder(&world, id), world.now);
    world.workers.get_mut(&name).unwrap().restart(now, 20);
    world.run(3_000);
    assert_eq!(world.state(id), Some(JobState::Running));
    fail_run(&mut world, id);
    world.run(3_000);
    assert_eq!(world.state(id), Some(JobState::Failed));
}
