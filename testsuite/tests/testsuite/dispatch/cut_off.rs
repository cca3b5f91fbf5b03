//! Work that waits in vain stands before work for which there is room.

use test_case::test_case;
use verbenahitch::dispatch::{Amount, StepSpec, WorkerInfo};
use verbenahitch::domain::Millis;

use super::world::{World, filler, job};

/// Time after which work for which there is room has to run, by the users' rules, in milliseconds.
const START_LIMIT_MS: Millis = 3_000;

/// Number of idle workers.
const WORKERS: usize = 7;

/// Jobs that no worker can run, and a sound one behind them.
struct Case {
    /// One of the jobs that wait, by its number.
    in_vain: fn(u64) -> StepSpec,
    /// Step that any worker can run.
    sound: StepSpec,
}

/// Filler with more work than those before it.
fn large_filler() -> StepSpec {
    filler(40, 2, 300, "ledger")
}

fn small_filler(number: u64) -> StepSpec {
    StepSpec {
        amount: Amount {
            cpu_milli: 100 + number,
            memory_mb: 256,
            gpus: 0,
        },
        ..filler(1, 1, 300, &format!("report-{number}"))
    }
}

/// Guards against fillers that never start on idle workers behind others that wait in vain.
#[test_case(Case {
    in_vain: |number| StepSpec { label: "lost".to_owned(), ..small_filler(number) },
    sound: large_filler(),
}; "a lost kind")]
#[test_case(Case {
    in_vain: |number| StepSpec { label: format!("lost-{number}"), ..small_filler(number) },
    sound: large_filler(),
}; "lost kinds, one for each job")]
#[test_case(Case {
    in_vain: |number| StepSpec {
        amount: Amount { memory_mb: 70_000 + number, ..small_filler(number).amount },
        ..small_filler(number)
    },
    sound: large_filler(),
}; "more memory than any worker has")]
#[test_case(Case {
    in_vain: |number| StepSpec {
        amount: Amount { memory_mb: 90_000 - number, ..small_filler(number).amount },
        ..small_filler(number)
    },
    sound: large_filler(),
}; "sizes of memory that no worker has, the largest first")]
#[test_case(Case {
    in_vain: |number| StepSpec {
        amount: Amount { gpus: 1, ..small_filler(number).amount },
        ..small_filler(number)
    },
    sound: large_filler(),
}; "accelerators")]
#[test_case(Case {
    in_vain: |number| StepSpec {
        amount: Amount { cpu_milli: 17_000 + number, ..small_filler(number).amount },
        estimate_ms: 1,
        ..small_filler(number)
    },
    sound: large_filler(),
}; "more cpu than any worker has")]
#[test_case(Case {
    in_vain: |number| StepSpec { count: 20, spread: 1, ..small_filler(number) },
    sound: large_filler(),
}; "more tasks than their spread allows")]
fn fillers_start_behind_others_that_wait_in_vain(case: Case) {
    let mut world = World::new(0);
    for number in 0..20 {
        world.submit(number, "batch", job(vec![(case.in_vain)(number)]));
    }
    let id = world.submit(100, "batch", job(vec![case.sound]));
    // All are too late to have a value then, and stand in the order of value for the work left.
    world.run(8_000);
    for number in 0..WORKERS {
        let name = format!("w{number:02}");
        world.add_worker(&name, 16);
        world.workers.get_mut(&name).unwrap().speed = 0.1;
    }
    world.run(START_LIMIT_MS);
    assert!(!world.starts_of(id).is_empty(), "{:?}", world.starts);
}

/// Guards against the same with as many jobs that wait as a large deployment has.
#[test]
fn each_of_many_jobs_is_tried_in_time() {
    let mut world = World::new(WORKERS);
    world.run(1_000);
    let late = |number: u64| StepSpec {
        label: format!("lost-{number}"),
        ..small_filler(number)
    };
    for number in 0..600 {
        world.submit(number, "batch", job(vec![late(number)]));
    }
    world.run(8_000);
    // The kind comes back: its job is neither the first nor the last in the order.
    let info = WorkerInfo {
        labels: vec!["lost-300".to_owned()],
        ..world.workers["w00"].info.clone()
    };
    world.dispatcher.upsert_worker(info, world.clock().at);
    world.run(START_LIMIT_MS);
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
    assert_eq!(world.starts[0].task.job.0, 300);
}
