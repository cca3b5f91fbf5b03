//! Fillers that only what standing tasks are expected to need keeps from all workers.

use std::collections::BTreeMap;

use test_case::test_case;
use verbenahitch::dispatch::{JobId, Pressure, PressureRecord, StepSpec};
use verbenahitch::domain::Millis;

use super::world::{World, filler, job, standing};

/// Time for which nothing of a job may run while there is room, by the users' rules, in
/// milliseconds.
const IDLE_LIMIT_MS: Millis = 3_000;

/// Longest time that standing tasks may be over their target beside fillers, likewise.
const HARM_LIMIT_MS: Millis = 4_000;

const WORKERS: usize = 8;
const JOBS: u64 = 12;

/// Beliefs about what fillers do, and the truth.
struct Case {
    /// Pressure that an earlier owner learned.
    believed: f64,
    actual: f64,
}

/// Longest time for which nothing of each job ran although it had not ended.
fn longest_idle(world: &mut World, jobs: &[JobId], millis: Millis) -> Millis {
    let mut idle: BTreeMap<JobId, Millis> = BTreeMap::new();
    let mut longest = 0;
    for _ in 0..millis / 50 {
        world.run(50);
        for id in jobs {
            let is_idle = !world.finished.contains_key(id) && world.workers_of(*id).is_empty();
            let since = idle.entry(*id).or_default();
            *since = if is_idle { *since + 50 } else { 0 };
            longest = longest.max(*since);
        }
    }
    longest
}

/// Guards against fillers that wait for good beside idle CPU for the harm they are expected to do.
#[test_case(Case { believed: 30.0, actual: 0.0 }; "which they do not")]
#[test_case(Case { believed: 12.0, actual: 0.5 }; "of which they do little")]
#[test_case(Case { believed: 12.0, actual: 3.0 }; "which they do")]
fn fillers_kept_from_all_workers_by_harm_get_a_run(case: Case) {
    let mut world = World::new(WORKERS);
    let pair = ("heavy".to_owned(), "weak".to_owned());
    world.pressures.insert(pair, case.actual);
    let learned = Pressure("heavy".to_owned(), "weak".to_owned(), case.believed);
    world
        .dispatcher
        .restore_pressures(&PressureRecord::from(vec![learned]));
    for number in 0..2 {
        let step = StepSpec {
            spread: 1,
            ..standing(8, 3, "weak")
        };
        world.submit(number, "push", job(vec![step]));
    }
    world.run(3_000);
    let jobs: Vec<JobId> = (0..JOBS)
        .map(|number| {
            world.submit(
                100 + number,
                "batch",
                job(vec![filler(3, 2, 1_500, "heavy")]),
            )
        })
        .collect();
    let over = world.over_ms;
    let idle = longest_idle(&mut world, &jobs, 40_000);
    assert!(idle <= IDLE_LIMIT_MS, "nothing of a job ran for {idle} ms");
    let over = (world.over_ms - over) / (2 * WORKERS as Millis);
    assert!(over <= HARM_LIMIT_MS, "{over} ms over the target each");
    if case.actual < 1.0 {
        assert_eq!(world.finished.len(), jobs.len());
    }
}

/// Guards against fillers of more than half of a worker's memory that never start: half of it was
/// left for tasks that might use the idle CPU.
#[test_case(0; "idle workers")]
#[test_case(1; "a standing task on each")]
fn fillers_of_more_than_half_the_memory_start(standing_tasks: u32) {
    let mut world = World::new(WORKERS);
    let step = StepSpec {
        spread: 1,
        ..standing(8 * standing_tasks, 2, "weak")
    };
    if standing_tasks > 0 {
        world.submit(1, "push", job(vec![step]));
    }
    world.run(2_000);
    let mut large = filler(1, 2, 1_000, "light");
    large.amount.memory_mb = 64_000 * 3 / 5;
    let id = world.submit(100, "batch", job(vec![large]));
    world.run(IDLE_LIMIT_MS);
    assert!(!world.starts_of(id).is_empty());
}
