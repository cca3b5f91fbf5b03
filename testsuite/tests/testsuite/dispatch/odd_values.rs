//! Values that are absurd but well formed, of workers, records, callers and operators: no sum
//! overflows, and the other workers and jobs get what they would get without them.

use test_case::test_case;
use verbenahitch::dispatch::{Amount, JobId, JobRecord, JobState, StepSpec, Voter, VoterRecord};
use verbenahitch::domain::Millis;

use super::world::{World, account, cores, filler, job, standing, step};

/// Time within which all workers have been polled, in milliseconds.
const SETTLE_MS: Millis = 1_500;

const ALL: Amount = Amount {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    gpus: u64::MAX,
};

/// Work of each kind, of accounts, more than the workers can do at once.
fn submit_work(world: &mut World) -> Vec<JobId> {
    let steps = [
        ("push", vec![step(4, 2, 300)]),
        ("push", vec![standing(2, 4, "web")]),
        ("batch", vec![filler(6, 4, 900, "crunch")]),
        ("batch", vec![step(12, 4, 800)]),
    ];
    (1..)
        .zip(steps)
        .map(|(id, (queue, steps))| {
            let owner = if id % 2 == 0 { "a" } else { "b" };
            let owner = owner.to_owned();
            world.usage.owners.insert(JobId(id), owner);
            world.submit(id, queue, job(steps))
        })
        .collect()
}

/// A world with one run of `spec`, and its worker.
fn with_run(workers: usize, queue: &str, spec: StepSpec) -> (World, JobId, String) {
    let mut world = World::new(workers);
    world.run(SETTLE_MS);
    let id = world.submit(1, queue, job(vec![spec]));
    world.run(1_000);
    let worker = world.starts_of(id)[0].worker.clone();
    (world, id, worker)
}

fn declare(world: &mut World, weight: f64, cap: Amount) {
    world.declare_accounts(vec![account("a", weight, cap), account("b", weight, cap)]);
}

/// Workers of absurd size are refused at the platform's boundary. One that gets here all the same,
/// by another adapter, must not stop the dispatcher.
#[test_case(ALL; "all resources")]
#[test_case(Amount { cpu_milli: u64::MAX, ..cores(16) }; "processors")]
#[test_case(Amount { memory_mb: u64::MAX, ..cores(16) }; "memory")]
#[test_case(Amount { cpu_milli: u64::MAX / 2 + 1, memory_mb: 1 << 40, gpus: 1 << 63 }; "sums of two")]
fn workers_of_absurd_size_overflow_no_sum(capacity: Amount) {
    let mut world = World::new(4);
    declare(&mut world, 1.0, Amount::default());
    world.resize_worker("w01", capacity);
    world.resize_worker("w02", capacity);
    world.run(SETTLE_MS);
    let ids = submit_work(&mut world);
    world.run(8_000);
    world.take_over();
    world.run(8_000);
    world.ledger.assert_once();
    for id in [ids[0], ids[2], ids[3]] {
        assert_eq!(world.state(id), Some(JobState::Completed), "{id}");
    }
}

/// A caller may ask for any amount. Its job waits for ever, the others do not.
#[test_case(step(3, 1, 500); "a step")]
#[test_case(standing(3, 1, "web"); "a standing step")]
#[test_case(filler(3, 1, 500, "crunch"); "fillers")]
fn jobs_of_absurd_size_overflow_no_sum(spec: StepSpec) {
    let mut world = World::new(4);
    declare(&mut world, 1.0, Amount::default());
    world.run(SETTLE_MS);
    let absurd = |estimate_ms| StepSpec {
        amount: ALL,
        estimate_ms,
        ..spec.clone()
    };
    for (id, estimate_ms) in [(90, 500), (91, Millis::MAX), (92, 1)] {
        let id = JobId(id);
        world.usage.owners.insert(id, "a".to_owned());
        world.submit(id.0, "push", job(vec![absurd(estimate_ms)]));
    }
    let ids = submit_work(&mut world);
    world.run(8_000);
    world.take_over();
    world.run(8_000);
    world.ledger.assert_once();
    for id in [ids[0], ids[2], ids[3]] {
        assert_eq!(world.state(id), Some(JobState::Completed), "{id}");
    }
}

#[test_case(1.0, ALL; "caps near 2 to the 64")]
#[test_case(f64::MAX, cores(64); "the largest weight")]
#[test_case(f64::MIN_POSITIVE, cores(64); "the least weight")]
fn accounts_of_absurd_size_overflow_no_sum(weight: f64, cap: Amount) {
    let mut world = World::new(4);
    declare(&mut world, weight, cap);
    world.run(SETTLE_MS);
    let ids = submit_work(&mut world);
    world.run(8_000);
    for id in [ids[0], ids[2], ids[3]] {
        assert_eq!(world.state(id), Some(JobState::Completed), "{id}");
    }
}

/// The worker's clock is within a lease of the largest number.
#[test_case(0; "at the end")]
#[test_case(2_000; "within a lease")]
#[test_case(100_000; "soon")]
fn a_clock_at_its_end_ends_no_run_early(left_ms: Millis) {
    let (mut world, id, worker) = with_run(2, "batch", step(1, 1, 20_000));
    let now = world.now;
    let state = world.workers.get_mut(&worker).unwrap();
    state.clock_offset = Millis::MAX - state.clock(now) - 20_000 - left_ms;
    world.run(15_000);
    world.take_over();
    world.run(1_500);
    world.ledger.assert_once();
    assert_eq!(world.starts_of(id).len(), 1);
}

/// Rows that cannot be read may be those of runs that would be taken for ended.
#[test]
fn a_run_whose_row_cannot_be_read_does_not_start_again() {
    let (mut world, id, _) = with_run(3, "batch", step(1, 1, 6_000));
    for take_over in [false, true] {
        for worker in world.workers.values_mut() {
            worker.has_odd_rows = true;
        }
        if take_over {
            world.take_over();
        }
        world.run(2_000);
        for worker in world.workers.values_mut() {
            worker.has_odd_rows = false;
        }
        world.run(500);
    }
    world.run(3_000);
    world.ledger.assert_once();
    assert_eq!(world.starts_of(id).len(), 1);
    assert_eq!(world.state(id), Some(JobState::Completed));
}

/// The record says that leases last for ever. Workers shorten them, so a task of a lost worker
/// starts elsewhere once the longest lease that they allow has lapsed.
#[test]
fn a_recorded_lease_of_absurd_length_is_waited_for_no_longer_than_workers_allow() {
    let (mut world, id, worker) = with_run(3, "push", step(1, 1, 60_000));
    world.run(1_000);
    world.take_over();
    let voters = world.workers.values();
    let voters = voters.map(|worker| Voter(worker.info.name.clone(), worker.info.address.clone()));
    let record = VoterRecord {
        voters: voters.collect(),
        lease_ms: Some(Millis::MAX),
    };
    world.dispatcher.restore_voters(Some(record));
    world.workers.get_mut(&worker).unwrap().silent = true;
    world.run(20_000);
    world.ledger.assert_once();
    assert_eq!(world.starts_of(id).len(), 2);
}

/// Another writer's job record: its steps wait for one that does not exist.
#[test]
fn a_recorded_job_that_waits_for_an_unknown_step_ends_no_process() {
    let mut world = World::new(2);
    world.run(SETTLE_MS);
    let odd = StepSpec {
        after: vec![99],
        ..step(1, 1, 100)
    };
    let record: JobRecord = world.record("push", &job(vec![odd]));
    let now = world.clock();
    world.dispatcher.recover(JobId(66), record, None, now);
    let id = world.submit(1, "push", job(vec![step(1, 1, 100)]));
    world.run(2_000);
    assert_eq!(world.state(id), Some(JobState::Completed));
}
