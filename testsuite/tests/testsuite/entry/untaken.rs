//! A value that the store does not take must not stop what else the owner writes.

use std::time::Duration;

use test_case::test_case;
use verbenahitch::dispatch::{JobSpec, Pressure, PressureRecord, StepSpec, record_size};
use verbenahitch::domain::Millis;
use verbenahitch::entry::IntakeOutcome;

use super::world::{Answer, MemoryKv, Untaken, VALUE_MAX, World, run, step};

/// Time within which the jobs of a test complete.
const LIMIT: Duration = Duration::from_secs(12);

/// Step whose tasks serve until their job is cancelled.
fn standing() -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: 45,
        image: "standing".to_owned(),
        ..step(4)
    }
}

fn filler(build: u64) -> StepSpec {
    StepSpec {
        filler: true,
        image: format!("filler-{build}"),
        ..step(8)
    }
}

// Guards against an owner that sends a rejected commit again for good, with all else behind it.
#[test_case("learned/", Answer::Rejected; "learned pressures rejected")]
#[test_case("learned/", Answer::Refused; "learned pressures refused for good")]
#[test_case("quorum/", Answer::Rejected; "voters rejected")]
#[test_case("quorum/", Answer::Refused; "voters refused for good")]
#[test_case("progress/00000000000000ff", Answer::Rejected; "record of a job rejected")]
#[test_case("progress/00000000000000ff", Answer::Refused; "record of a job refused for good")]
fn a_value_that_the_store_does_not_take_stops_nothing_else(prefix: &str, answer: Answer) {
    run(async {
        let world = World::start(4).await;
        world.kv.set_untaken(Some(Untaken {
            prefix: prefix.to_owned(),
            answer,
        }));
        let outcome = world.submit(0xff, vec![step(4)]).await;
        assert_eq!(outcome, IntakeOutcome::Stored);
        fill(&world).await;
        for id in 2..22 {
            assert!(
                world.completes(id, LIMIT).await,
                "job {id} does not complete"
            );
        }
        assert!(world.kv.rejected() > 0, "nothing was rejected");
        // The rejected value is tried again, at ever longer intervals.
        assert!(world.kv.rejected() < 60, "{}", world.kv.rejected());
        world.kv.set_untaken(None);
        assert!(
            world.completes(0xff, 2 * LIMIT).await,
            "the job does not complete once its record is taken"
        );
    });
}

/// Key of the learned pressures.
const PRESSURES: &str = "learned/headroom";

/// Largest record of the learned pressures in bytes.
const PRESSURES_MAX_BYTES: usize = 65_536;

/// Runs fillers of new images beside standing tasks, longer than the interval at which learned
/// pressures are written.
async fn fill(world: &World) {
    assert_eq!(
        world.submit(1, vec![standing()]).await,
        IntakeOutcome::Stored
    );
    for id in 2..22 {
        assert_eq!(
            world.submit(id, vec![filler(id), step(4)]).await,
            IntakeOutcome::Stored
        );
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

// Guards against a record of learned pressures that is within its own bound and not within the
// store's.
#[test]
fn learned_pressures_fit_a_store_of_small_values() {
    run(async {
        let value_max = 32 * 1_024;
        let mut count = value_max / 12;
        let full = loop {
            let rows = (0..count)
                .map(|at| Pressure(format!("f{}", at / 40), format!("s{}", at % 40), 1.25));
            let rows: Vec<Pressure> = rows.collect();
            let full = serde_json::to_vec(&PressureRecord::from(rows)).unwrap();
            if full.len() <= value_max {
                break full;
            }
            count -= 1;
        };
        let kv = MemoryKv::default();
        kv.set_value_max(value_max);
        kv.put(PRESSURES, &full);
        let world = World::start_with(4, kv).await;
        fill(&world).await;
        assert_eq!(world.kv.rejected(), 0, "a value is too large");
        let stored = world.kv.value(PRESSURES).unwrap();
        assert!(stored != full, "the newest pressures are not stored");
        assert!(stored.len() <= value_max, "{}", stored.len());
    });
}

// Guards against a table of learned pressures that outgrows the largest value of the store.
#[test]
fn learned_pressures_of_many_images_can_be_stored() {
    run(async {
        let image = |name: &str, at: usize| format!("registry.example/{name}@sha256:{at:064x}");
        let pairs = (0..75).flat_map(|filler| (0..75).map(move |standing| (filler, standing)));
        let mut learned: Vec<Pressure> = pairs
            .map(|(filler, standing)| {
                Pressure(image("batch", filler), image("watch", standing), 1.25)
            })
            .collect();
        let mut stored = serde_json::to_vec(&learned).unwrap();
        while stored.len() > VALUE_MAX {
            learned.pop();
            stored = serde_json::to_vec(&learned).unwrap();
        }
        let kv = MemoryKv::default();
        kv.put(PRESSURES, &stored);
        let world = World::start_with(4, kv).await;
        fill(&world).await;
        assert_eq!(world.kv.rejected(), 0, "a value is too large");
        let stored = world.kv.value(PRESSURES).unwrap();
        assert!(stored.len() <= PRESSURES_MAX_BYTES, "{}", stored.len());
        let record: PressureRecord = serde_json::from_slice(&stored).unwrap();
        let learned = record.pressures().find(|row| row.0.starts_with("filler-"));
        assert!(learned.is_some(), "the newest pressures are not stored");
    });
}

// Guards against a job whose record outgrows the largest value of the store.
#[test_case(1, 10_000, 2_000; "as many tasks as a step may have")]
#[test_case(20, 600, 2_000; "many steps")]
#[test_case(2, 10_000, 300; "almost as many tasks as a record has room for")]
fn a_job_of_many_tasks_stays_storable(steps: usize, count: u32, estimate_ms: Millis) {
    run(async {
        let world = World::start(60).await;
        // Long enough for all of them to run at once.
        let long = StepSpec {
            estimate_ms,
            ..step(count)
        };
        assert_eq!(
            world.submit(0xff, vec![long; steps]).await,
            IntakeOutcome::Stored
        );
        for id in 1..20 {
            assert_eq!(world.submit(id, vec![step(2)]).await, IntakeOutcome::Stored);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for id in 1..20 {
            assert!(world.completes(id, LIMIT).await, "job {id} waits");
        }
        assert!(
            world.completes(0xff, 5 * LIMIT).await,
            "the large job does not complete"
        );
        assert_eq!(world.kv.rejected(), 0, "a value is too large");
    });
}

// Guards against a job that is accepted although its record can never be stored.
#[test_case(3, 10_000; "more tasks than a record has room for")]
#[test_case(1_000, 10_000; "as many tasks as the limits of steps and tasks allow")]
fn a_job_that_cannot_be_stored_is_refused_at_once(steps: usize, count: u32) {
    run(async {
        let world = World::start(4).await;
        assert_eq!(
            world.submit(0xff, vec![step(count); steps]).await,
            IntakeOutcome::Unstorable
        );
        assert_eq!(world.state(0xff).await, None);
        assert_eq!(world.submit(1, vec![step(2)]).await, IntakeOutcome::Stored);
        assert!(world.completes(1, LIMIT).await, "a small job waits");
        assert_eq!(world.kv.rejected(), 0, "a value is too large");
    });
}

/// Bytes of a commit that takes no further jobs, and of the record of a job of [`MANY`] tasks.
const COMMIT_FULL_BYTES: usize = 256 * 1024;
const RECORD_MAX_BYTES: usize = 400 * 1024;

const MANY: u32 = 3_000;

// Guards against a commit of several large records that a thin link cannot carry in time.
#[test]
fn records_of_large_jobs_are_not_all_in_one_commit() {
    run(async {
        let world = World::start(60).await;
        for id in 1..7 {
            let long = StepSpec {
                estimate_ms: 1_000,
                ..step(MANY)
            };
            assert_eq!(world.submit(id, vec![long]).await, IntakeOutcome::Stored);
        }
        for id in 1..7 {
            assert!(world.completes(id, 2 * LIMIT).await, "job {id} waits");
        }
        let largest = world.kv.largest();
        assert!(
            largest < COMMIT_FULL_BYTES + RECORD_MAX_BYTES,
            "{largest} bytes"
        );
    });
}

// Guards against a job of few tasks that a store of small values has room for, and that is refused.
#[test]
fn a_small_job_is_accepted_over_a_store_of_small_values() {
    run(async {
        let kv = MemoryKv::default();
        kv.set_value_max(16 * 1_024);
        let world = World::start_with(4, kv).await;
        assert_eq!(world.submit(1, vec![step(2)]).await, IntakeOutcome::Stored);
        assert!(world.completes(1, LIMIT).await, "the job waits");
        assert_eq!(world.kv.rejected(), 0, "a value is too large");
    });
}

/// Tasks of a job by whether they write checkpoints, and whether its record can be stored.
#[test_case(20_700, false, true; "as many as fit")]
#[test_case(21_000, false, false; "more than fit")]
#[test_case(12_500, true, true; "as many as fit with checkpoints")]
#[test_case(12_700, true, false; "more than fit with checkpoints")]
fn a_job_is_storable_by_the_number_of_its_tasks(tasks: u32, checkpoints: bool, fits: bool) {
    let part = StepSpec {
        checkpoints,
        ..step(tasks / 3)
    };
    let spec = JobSpec {
        payload: "".into(),
        steps: vec![part; 3],
        repeat: None,
    };
    assert_eq!(record_size::fits(&spec, VALUE_MAX), fits);
}
