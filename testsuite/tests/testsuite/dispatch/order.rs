//! The order in which waiting steps are placed.

use std::cmp::Ordering;

use test_case::test_case;
use verbenahitch::dispatch::step_order::{StepRank, critical_paths};
use verbenahitch::dispatch::{JobSpec, ShareRank, StepSpec};

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
    first: StepRank { age_ms: 9_500, ..FRESH },
    second: StepRank { age_ms: 4_000, ..FRESH },
}; "a starved step precedes a late one")]
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
