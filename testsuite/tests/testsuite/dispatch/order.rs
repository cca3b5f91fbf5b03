//! The order in which waiting steps are placed.

use std::cmp::Ordering;

use test_case::test_case;
use verbenahitch::dispatch::room::{Allowance, Demand, Pieces};
use verbenahitch::dispatch::step_order::outlook::{Prospect, deferred};
use verbenahitch::dispatch::step_order::{StepRank, critical_paths};
use verbenahitch::dispatch::{Amount, JobSpec, ShareRank, StepSpec};
use verbenahitch::domain::Monotonic;

struct Case {
    first: StepRank,
    second: StepRank,
}

const FRESH: StepRank = StepRank {
    priority: 2,
    age_ms: 0,
    remaining_ms: 1_000,
    objective_ms: 3_000,
    standing: false,
    share: ShareRank {
        beyond_rate: false,
        level: 0,
    },
    ahead: false,
    overdue: false,
    deferred: false,
    density: 1.0,
};

#[test_case(Case {
    first: StepRank { priority: 0, age_ms: 9_000, ..FRESH },
    second: FRESH,
}; "priority precedes the deadline")]
#[test_case(Case {
    first: StepRank { priority: 1, share: ShareRank { beyond_rate: true, level: 9 }, ..FRESH },
    second: FRESH,
}; "priority precedes the share")]
#[test_case(Case {
    first: StepRank { age_ms: 2_500, ..FRESH },
    second: StepRank { share: ShareRank { beyond_rate: false, level: 1 }, ..FRESH },
}; "the share precedes the deadline")]
#[test_case(Case {
    first: StepRank { share: ShareRank { beyond_rate: false, level: 9 }, ..FRESH },
    second: StepRank { share: ShareRank { beyond_rate: true, level: 0 }, ..FRESH },
}; "the rate precedes the share")]
#[test_case(Case {
    first: FRESH,
    second: StepRank { age_ms: 2_500, ..FRESH },
}; "an on time step precedes a late one")]
#[test_case(Case {
    first: StepRank { age_ms: 1_500, ..FRESH },
    second: FRESH,
}; "less slack precedes more")]
#[test_case(Case {
    first: StepRank { age_ms: 4_000, ..FRESH },
    second: StepRank { age_ms: 8_500, ..FRESH },
}; "a late step precedes one without value")]
#[test_case(Case {
    first: StepRank { age_ms: 4_000, ..FRESH },
    second: StepRank { age_ms: 9_500, ..FRESH },
}; "a late step precedes one long past its objective")]
#[test_case(Case {
    first: FRESH,
    second: StepRank { age_ms: 1_500, deferred: true, density: 9.0, ..FRESH },
}; "a deferred step yields, whatever its value")]
#[test_case(Case {
    first: StepRank { age_ms: 1_500, deferred: true, density: 0.1, ..FRESH },
    second: StepRank { age_ms: 4_000, ..FRESH },
}; "a deferred step precedes a late one")]
#[test_case(Case {
    first: StepRank { age_ms: 4_000, density: 2.0, ..FRESH },
    second: StepRank { age_ms: 6_000, ..FRESH },
}; "of late steps the one of more value for its work comes first")]
#[test_case(Case {
    first: StepRank { ahead: true, ..FRESH },
    second: StepRank { age_ms: 60_000, standing: true, ..FRESH },
}; "a short step within the allowance precedes a standing one")]
#[test_case(Case {
    first: StepRank { standing: true, overdue: true, ..FRESH },
    second: StepRank { ahead: true, ..FRESH },
}; "an overdue standing step precedes a short one")]
#[test_case(Case {
    first: StepRank {
        standing: true,
        overdue: true,
        share: ShareRank { beyond_rate: true, level: 0 },
        ..FRESH
    },
    second: FRESH,
}; "an overdue standing step precedes the shares")]
#[test_case(Case {
    first: StepRank { ahead: true, ..FRESH },
    second: StepRank { age_ms: 2_500, ahead: true, ..FRESH },
}; "ahead of standing steps too one in time precedes a late one")]
#[test_case(Case {
    first: StepRank { age_ms: 60_000, standing: true, ..FRESH },
    second: StepRank { age_ms: 2_000, ..FRESH },
}; "a standing step precedes all others of its priority")]
fn precedes(case: Case) {
    assert_eq!(case.first.compare(&case.second), Ordering::Less);
    assert_eq!(case.second.compare(&case.first), Ordering::Greater);
}

#[test]
fn critical_paths_follow_the_longest_chain() {
    let step = |estimate_ms, after: &[u32]| StepSpec {
        count: 1,
        estimate_ms,
        after: after.to_vec(),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        payload: "".into(),
        steps: vec![
            step(100, &[]),
            step(700, &[0]),
            step(200, &[0]),
            step(50, &[1, 2]),
        ],
        repeat: None,
    };
    assert_eq!(critical_paths(&spec), vec![850, 750, 250, 50]);
}

const JOB: Prospect = Prospect {
    time_left: 2_000,
    work: 1_000,
    density: 1.0,
};

struct Load {
    jobs: &'static [Prospect],
    rate_milli: u64,
    deferred: &'static [usize],
}

#[test_case(Load {
    jobs: &[JOB, JOB],
    rate_milli: 1_000,
    deferred: &[],
}; "jobs that can all be in time")]
#[test_case(Load {
    jobs: &[JOB, Prospect { density: 0.5, ..JOB }, JOB],
    rate_milli: 1_000,
    deferred: &[1],
}; "the job of least value yields")]
#[test_case(Load {
    jobs: &[Prospect { time_left: 1_000, ..JOB }, Prospect { work: 1_500, density: 0.7, ..JOB }],
    rate_milli: 1_000,
    deferred: &[1],
}; "a later job that no longer fits yields")]
#[test_case(Load {
    jobs: &[Prospect { work: u64::MAX, density: 0.0, ..JOB }, JOB],
    rate_milli: 1_000,
    deferred: &[0],
}; "a job beyond all measure")]
#[test_case(Load {
    jobs: &[JOB, Prospect { time_left: 0, work: 0, ..JOB }],
    rate_milli: 0,
    deferred: &[0],
}; "no CPU at all")]
fn jobs_that_cannot_be_in_time_together_are_deferred(load: Load) {
    assert_eq!(deferred(load.jobs, load.rate_milli), load.deferred);
}

const TASK: Amount = Amount {
    cpu_milli: 4_000,
    memory_mb: 8_000,
    gpus: 0,
};

struct Room {
    free: (u64, u64),
    task: (u64, u64),
    destroyed: u64,
}

#[test_case(Room { free: (12_000, 90_000), task: (7_000, 1_000), destroyed: 1 }; "one of two")]
#[test_case(Room { free: (9_000, 90_000), task: (5_000, 1_000), destroyed: 1 }; "the only one")]
#[test_case(Room { free: (4_000, 90_000), task: (4_000, 1_000), destroyed: 0 }; "room too small for any")]
#[test_case(Room { free: (50_000, 10_000), task: (5_000, 1_000), destroyed: 1 }; "memory counts")]
#[test_case(Room { free: (0, 0), task: (u64::MAX, u64::MAX), destroyed: 0 }; "nothing left")]
fn a_task_destroys_pieces(room: Room) {
    let mut demand = Demand::default();
    demand.add(10, TASK, 500, Monotonic(1_000));
    let pieces = demand.pieces(Monotonic(1_000));
    // A piece is a quarter larger than the mean.
    let of = |(cpu_milli, memory_mb)| Amount {
        cpu_milli,
        memory_mb,
        gpus: 0,
    };
    assert_eq!(pieces.size, of((5_000, 10_000)));
    assert_eq!(
        pieces.destroyed(of(room.free), of(room.task)),
        room.destroyed
    );
}

#[test]
fn without_demand_nothing_is_scarce() {
    let pieces = Demand::default().pieces(Monotonic(1_000));
    assert_eq!(pieces, Pieces::default());
    assert!(!pieces.are_scarce(0));
    let mut zero = Demand::default();
    zero.add(3, Amount::default(), 0, Monotonic(1_000));
    assert!(!zero.pieces(Monotonic(1_000)).are_scarce(0));
}

#[test]
fn an_allowance_counts_what_is_in_use() {
    let mut allowance = Allowance::new(80_000, 4_000);
    assert!(allowance.take(5_000));
    assert!(!allowance.take(2_000));
    assert!(allowance.take(1_000));
    assert!(!Allowance::new(80_000, u64::MAX).take(1));
}
