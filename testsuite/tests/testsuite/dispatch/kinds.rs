//! Workers that come back as another kind under their names, before their entries say so.

use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobState, StepSpec, WorkerInfo};
use verbenahitch::domain::Millis;

use super::world::{Started, World, cores, job, step};

/// Number of workers.
const WORKERS: usize = 2;

/// Worker that comes back as another kind.
const CHANGED: &str = "w00";

/// Time within which all workers have been polled, in milliseconds.
const SETTLE_MS: Millis = 1_500;

/// Time between writes of a worker's entry, in milliseconds, as in the review's deployment.
const HEARTBEAT_MS: Millis = 1_500;

/// Time that the store takes for a commit while starts wait for their records, in milliseconds.
const COMMIT_MS: Millis = 100;

/// How a worker comes back.
struct Case {
    /// Time that it is down.
    down_ms: Millis,
    /// Time from the crash until its entry says what it is now.
    entry_ms: Millis,
    /// Whether starts wait for their records at the crash.
    is_recording: bool,
    /// What it is now.
    change: fn(&mut WorkerInfo),
    /// Label that the tasks require.
    label: &'static str,
}

const UNNOTICED: Case = Case {
    down_ms: 0,
    entry_ms: HEARTBEAT_MS,
    is_recording: false,
    change: other_label,
    label: "a",
};

const NOTICED: Case = Case {
    down_ms: 300,
    ..UNNOTICED
};

const RECORDED: Case = Case {
    down_ms: 10,
    is_recording: true,
    ..UNNOTICED
};

/// The entry is renewed before the starts are ordered.
const RENEWED: Case = Case {
    entry_ms: 20,
    ..RECORDED
};

/// Steps without a label.
const POOL: Case = Case {
    change: other_pool,
    label: "",
    ..NOTICED
};

const ROOM: Case = Case {
    change: less_room,
    ..POOL
};

const RECORDED_ROOM: Case = Case {
    change: less_room,
    label: "",
    ..RECORDED
};

const RENEWED_POOL: Case = Case {
    change: other_pool,
    label: "",
    ..RENEWED
};

fn other_label(info: &mut WorkerInfo) {
    info.labels[0] = "b".to_owned();
}

fn other_pool(info: &mut WorkerInfo) {
    info.pool = "other".to_owned();
}

fn less_room(info: &mut WorkerInfo) {
    info.capacity = cores(1);
}

/// World whose workers are of the kind `a`.
fn new_world() -> World {
    let mut world = World::new(WORKERS);
    for worker in world.workers.values_mut() {
        worker.info.labels = vec!["a".to_owned(), "r1".to_owned()];
    }
    world.send_registry();
    world
}

/// Submits more tasks of two cores than one worker takes.
fn submit(world: &mut World, label: &str) -> JobId {
    let tasks = StepSpec {
        label: label.to_owned(),
        ..step(12, 2, 600)
    };
    world.submit(1, "push", job(vec![tasks]))
}

fn restart(world: &mut World, down_ms: Millis) {
    let now = world.now;
    let worker = world.workers.get_mut(CHANGED).unwrap();
    worker.restart(now, down_ms);
}

/// Number of starts of a job on the changed worker after `at`.
fn starts_since(world: &World, id: JobId, at: Millis) -> usize {
    let starts = world.starts_of(id);
    let is_late = |start: &&&Started| start.worker == CHANGED && start.at > at;
    starts.iter().filter(is_late).count()
}

#[test_case(UNNOTICED; "another label, unnoticed")]
#[test_case(NOTICED; "another label, after failed polls")]
#[test_case(RECORDED; "another label, beside recorded starts")]
#[test_case(RENEWED; "another label, known before recorded starts are ordered")]
#[test_case(RENEWED_POOL; "another pool, known before recorded starts are ordered")]
#[test_case(POOL; "another pool, without a label")]
#[test_case(ROOM; "less room, without a label")]
#[test_case(RECORDED_ROOM; "less room, without a label, beside recorded starts")]
fn a_worker_of_another_kind_gets_no_tasks_of_its_earlier_one(case: Case) {
    let mut world = new_world();
    world.run(SETTLE_MS);
    if case.is_recording {
        world.commit_ms = COMMIT_MS;
        submit(&mut world, case.label);
        world.run(COMMIT_MS / 2);
        restart(&mut world, case.down_ms);
    } else {
        restart(&mut world, case.down_ms);
        // The list of the new incarnation comes before the tasks.
        world.run(case.entry_ms / 2);
        submit(&mut world, case.label);
    }
    let crash = world.now;
    world.run(case.entry_ms / 2);
    (case.change)(&mut world.workers.get_mut(CHANGED).unwrap().info);
    world.list_workers();
    world.run(10_000);
    assert_eq!(starts_since(&world, JobId(1), crash), 0);
    assert_eq!(world.state(JobId(1)), Some(JobState::Completed));
    world.ledger.assert_once();
}

/// Incarnations that a worker names, and those after its restart; zero for none.
struct Named {
    entry: [u64; 2],
    lists: [u64; 2],
}

/// A worker that comes back as what it was gets tasks again, once its entry is of the incarnation
/// that answers, or where one of the two is not known.
#[test_case(Named { entry: [1, 2], lists: [1, 2] }; "both")]
#[test_case(Named { entry: [0, 0], lists: [0, 0] }; "neither")]
#[test_case(Named { entry: [0, 0], lists: [1, 2] }; "its lists alone")]
#[test_case(Named { entry: [1, 2], lists: [0, 0] }; "its entry alone")]
fn a_worker_of_the_same_kind_gets_tasks_again(named: Named) {
    let mut world = new_world();
    for (entry, lists) in named.entry.into_iter().zip(named.lists) {
        restart(&mut world, 0);
        let worker = world.workers.get_mut(CHANGED).unwrap();
        worker.life.number = lists;
        worker.info.incarnation = entry;
        world.send_registry();
        world.run(SETTLE_MS);
    }
    let at = world.now;
    let id = submit(&mut world, "a");
    world.run(500);
    assert!(starts_since(&world, id, at) > 0);
}
