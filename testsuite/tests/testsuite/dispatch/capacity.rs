//! Workers whose room shrinks and grows while they run: no start brings one over the room
//! that it names, and what it has is used.

use test_case::test_case;
use verbenahitch::dispatch::{Amount, JobId, JobState, StepSpec};

use super::world::{World, filler, job, standing, step};

/// Time within which all workers have been polled, in milliseconds.
const SETTLE_MS: u64 = 1_500;

/// Time of a commit that lets a test act before it, in milliseconds.
const SLOW_COMMIT_MS: u64 = 100;

/// Run time of the tasks in milliseconds.
const TASK_MS: u64 = 1_000;

/// Cores of a task; four fill a worker.
const CORES: u64 = 4;

const MEMORY_MB: u64 = 64_000;

fn room(cores: u64) -> Amount {
    Amount {
        cpu_milli: cores * 1_000,
        memory_mb: MEMORY_MB,
        gpus: 2,
    }
}

fn resize_all(world: &mut World, room: Amount) {
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in names {
        world.resize_worker(&name, room);
    }
}

fn submit(world: &mut World, id: u64, tasks: u32) -> JobId {
    world.submit(id, "push", job(vec![step(tasks, CORES, TASK_MS)]))
}

/// Submits tasks that fill both workers; their record is not stored yet.
fn submit_unrecorded(world: &mut World) {
    world.commit_ms = SLOW_COMMIT_MS;
    submit(world, 1, 8);
    world.run(SLOW_COMMIT_MS / 2);
}

/// The room shrinks before the store holds the assignments.
fn before_the_record(world: &mut World) {
    submit_unrecorded(world);
    resize_all(world, room(8));
}

/// The memory shrinks, not the CPU.
fn memory_before_the_record(world: &mut World) {
    submit_unrecorded(world);
    let memory_mb = 200;
    resize_all(
        world,
        Amount {
            memory_mb,
            ..room(16)
        },
    );
}

/// The assignments are stored, but the workers are silent, so that no start is sent yet.
fn between_record_and_start(world: &mut World) {
    world.commit_ms = 2_000;
    submit(world, 1, 8);
    world.run(100);
    set_silent(world, true);
    world.run(2_200);
    assert!(world.start_orders.is_empty());
    resize_all(world, room(4));
    set_silent(world, false);
}

fn set_silent(world: &mut World, is_silent: bool) {
    for worker in world.workers.values_mut() {
        worker.silent = is_silent;
    }
}

/// The workers restart, so that the assignments are recorded anew; then the room shrinks.
fn recorded_anew(world: &mut World) {
    world.commit_ms = 1_500;
    submit(world, 1, 8);
    world.run(50);
    let now = world.now;
    for worker in world.workers.values_mut() {
        worker.restart(now, 10);
    }
    world.run(2_000);
    assert!(world.start_orders.is_empty());
    resize_all(world, room(8));
}

/// The first starts get no answer and are carried out late; the room shrinks before they are
/// sent again.
fn start_without_an_answer(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(700);
    }
    submit(world, 1, 8);
    world.run(40);
    assert!(!world.start_orders.is_empty());
    resize_all(world, room(8));
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
}

/// As before, but the starts were carried out; only their answers are lost.
fn answer_of_a_start_lost(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.drops_start_answers = true;
    }
    submit(world, 1, 6);
    world.run(30);
    resize_all(world, room(8));
    for worker in world.workers.values_mut() {
        worker.drops_start_answers = false;
    }
}

/// Runs are being stopped when the room shrinks, and other tasks wait for it.
fn runs_being_stopped(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.stop_ms = 900;
    }
    submit(world, 2, 8);
    world.run(200);
    submit(world, 1, 8);
    world.cancel(JobId(2));
    world.run(100);
    resize_all(world, room(8));
}

/// The owner changes while assignments are recorded and not started.
fn change_of_owner(world: &mut World) {
    submit_unrecorded(world);
    world.run(SLOW_COMMIT_MS / 2 + 5);
    resize_all(world, room(8));
    world.take_over();
}

/// The owner hands over just after it has heard of the smaller room.
fn planned_change_of_owner(world: &mut World) {
    submit_unrecorded(world);
    resize_all(world, room(8));
    world.hand_over();
}

/// Standing tasks exceed the CPU, of which they leave half idle; fillers wait.
fn filler_beside_standing_tasks(world: &mut World) {
    world.submit(2, "push", job(vec![standing(8, CORES, "serve")]));
    world.run(500);
    resize_all(world, room(12));
    world.submit(1, "batch", job(vec![filler(2, 2, TASK_MS, "fill")]));
    assert_waits(world);
}

/// The job of the tests is not placed on the workers as they are.
fn assert_waits(world: &mut World) {
    world.run(3_000);
    assert!(!world.records.contains_key(&JobId(1)));
}

/// Fillers were placed beside standing tasks and have not started.
fn filler_before_its_record(world: &mut World) {
    world.submit(2, "push", job(vec![standing(6, CORES, "serve")]));
    world.run(500);
    world.commit_ms = SLOW_COMMIT_MS;
    world.submit(1, "batch", job(vec![filler(2, 2, TASK_MS, "fill")]));
    world.run(SLOW_COMMIT_MS / 2);
    resize_all(world, room(8));
}

/// What runs exceeds the memory; the waiting tasks need none.
fn task_without_memory(world: &mut World) {
    world.submit(2, "push", job(vec![standing(6, CORES, "serve")]));
    world.run(500);
    let memory_mb = 100;
    resize_all(
        world,
        Amount {
            memory_mb,
            ..room(16)
        },
    );
    let mut step = step(4, 2, TASK_MS);
    step.amount.memory_mb = 0;
    world.submit(1, "push", job(vec![step]));
    assert_waits(world);
}

/// What runs exceeds the accelerators; the waiting tasks need none.
fn task_without_accelerators(world: &mut World) {
    resize_all(world, room(16));
    let standing = standing(4, 1, "serve");
    let amount = Amount {
        gpus: 1,
        ..standing.amount
    };
    world.submit(2, "push", job(vec![StepSpec { amount, ..standing }]));
    world.run(500);
    resize_all(
        world,
        Amount {
            gpus: 1,
            ..room(16)
        },
    );
    submit(world, 1, 4);
    assert_waits(world);
}

/// A late start is carried out by the next incarnation, beside assignments that wait for
/// their record.
fn late_start_after_a_restart(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(2_000);
    }
    world.submit(2, "push", job(vec![step(8, CORES, 200)]));
    world.run(50);
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
    world.run(900);
    submit_unrecorded(world);
    let now = world.now;
    for worker in world.workers.values_mut() {
        worker.restart(now, 10);
    }
}

/// Late starts of a job that has ended are carried out by the next incarnation, and stopped,
/// beside assignments that are recorded anew for it.
fn unknown_runs_after_a_restart(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(2_000);
        worker.stop_ms = 900;
    }
    world.submit(2, "push", job(vec![step(8, CORES, 4_000)]));
    world.run(50);
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
    world.run(800);
    world.cancel(JobId(2));
    world.run(1_050);
    world.commit_ms = 400;
    submit(world, 1, 8);
    world.run(20);
    let now = world.now;
    for worker in world.workers.values_mut() {
        worker.restart(now, 10);
    }
    set_cut(world, true);
    world.run(100);
    assert_eq!(world.starts_of(JobId(2)).len(), 16);
    set_cut(world, false);
}

/// As before, but the assignments are stored before the first list of the next incarnation.
fn late_starts_before_the_first_list(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(2_000);
    }
    world.submit(2, "push", job(vec![step(8, CORES, 4_000)]));
    world.run(50);
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
    world.run(800);
    world.cancel(JobId(2));
    world.run(1_050);
    world.commit_ms = 120;
    submit(world, 1, 8);
    world.run(50);
    let now = world.now;
    for worker in world.workers.values_mut() {
        worker.restart(now, 10);
    }
}

fn set_cut(world: &mut World, is_cut: bool) {
    for number in 0..2 {
        world.set_cut(&format!("w{number:02}"), is_cut);
    }
}

/// The entry is away while the room shrinks, and back after it.
fn entry_away(world: &mut World) {
    submit_unrecorded(world);
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in &names {
        world.unlist_worker(name);
    }
    resize_all(world, room(8));
    for name in &names {
        world.workers.get_mut(name).unwrap().unlisted = false;
    }
    world.list_workers();
}

#[test_case(before_the_record; "before the record")]
#[test_case(memory_before_the_record; "memory before the record")]
#[test_case(between_record_and_start; "between record and start")]
#[test_case(recorded_anew; "recorded anew")]
#[test_case(start_without_an_answer; "start without an answer")]
#[test_case(answer_of_a_start_lost; "answer of a start lost")]
#[test_case(runs_being_stopped; "runs being stopped")]
#[test_case(change_of_owner; "change of owner")]
#[test_case(planned_change_of_owner; "planned change of owner")]
#[test_case(filler_beside_standing_tasks; "filler beside standing tasks")]
#[test_case(filler_before_its_record; "filler before its record")]
#[test_case(task_without_memory; "task without memory")]
#[test_case(task_without_accelerators; "task without accelerators")]
#[test_case(late_start_after_a_restart; "late start after a restart")]
#[test_case(entry_away; "entry away")]
#[test_case(unknown_runs_after_a_restart; "unknown runs after a restart")]
#[test_case(late_starts_before_the_first_list; "late starts before the first list")]
fn no_start_brings_a_worker_over_a_room_that_has_shrunk(arrange: fn(&mut World)) {
    let mut world = World::new(2);
    world.run(SETTLE_MS);
    arrange(&mut world);
    world.run(6_000);
    resize_all(&mut world, room(16));
    world.run(14_000);
    world.assert_rooms();
    world.ledger.assert_once();
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
}

/// Starts are given up only as far as the room lacks.
#[test]
fn what_still_fits_starts_at_once_after_a_worker_has_shrunk() {
    let mut world = World::new(2);
    world.run(SETTLE_MS);
    submit_unrecorded(&mut world);
    resize_all(&mut world, room(12));
    world.run(SLOW_COMMIT_MS);
    assert_eq!(world.starts_of(JobId(1)).len(), 6);
    world.assert_rooms();
}

/// What runs goes on, and nothing is stopped for the room.
#[test]
fn standing_tasks_stay_on_a_worker_that_has_shrunk() {
    let mut world = World::new(2);
    world.run(SETTLE_MS);
    let id = world.submit(1, "push", job(vec![standing(8, CORES, "serve")]));
    world.run(500);
    resize_all(&mut world, room(4));
    world.run(10_000);
    assert_eq!(world.starts_of(id).len(), 8);
    world.assert_rooms();
}

/// `since_ms` varies the time since the last assignment.
#[test_case(200)]
#[test_case(230)]
#[test_case(260)]
#[test_case(290)]
fn room_that_has_grown_is_used_at_once(since_ms: u64) {
    let mut world = World::new(1);
    world.run(SETTLE_MS);
    let id = submit(&mut world, 1, 8);
    world.run(since_ms);
    assert_eq!(world.starts_of(id).len(), 4);
    resize_all(&mut world, room(32));
    world.run(50);
    assert_eq!(world.starts_of(id).len(), 8);
    world.assert_rooms();
}
