//! The order in which waiting steps are placed.

use std::cmp::Ordering;

use test_case::test_case;
use verbenahitch::dispatch::wait::{Standing, chains};
use verbenahitch::dispatch::{JobSpec, StepSpec};

struct Case {
    first: Standing,
    second: Standing,
}

const FRESH: Standing = Standing {
    priority: 2,
    age_ms: 0,
    left_ms: 1_000,
    objective_ms: 3_000,
    lasting: false,
};

#[test_case(Case {
    first: Standing { priority: 0, age_ms: 9_000, ..FRESH },
    second: FRESH,
}; "priority goes before what can be earned")]
#[test_case(Case {
    first: FRESH,
    second: Standing { age_ms: 2_500, ..FRESH },
}; "what can be in time goes before what is late")]
#[test_case(Case {
    first: Standing { age_ms: 1_500, ..FRESH },
    second: FRESH,
}; "the least slack goes first")]
#[test_case(Case {
    first: Standing { age_ms: 4_000, ..FRESH },
    second: Standing { age_ms: 8_500, ..FRESH },
}; "what is late goes before what earns nothing")]
#[test_case(Case {
    first: Standing { age_ms: 9_500, ..FRESH },
    second: Standing { age_ms: 4_000, ..FRESH },
}; "what has waited very long goes before what is late")]
#[test_case(Case {
    first: Standing { age_ms: 60_000, lasting: true, ..FRESH },
    second: Standing { age_ms: 2_000, ..FRESH },
}; "a lasting task that is away goes before all of its priority")]
fn goes_before(case: Case) {
    assert_eq!(case.first.compare(&case.second), Ordering::Less);
    assert_eq!(case.second.compare(&case.first), Ordering::Greater);
}

#[test]
fn chains_follow_the_longest_way() {
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
    assert_eq!(chains(&spec), vec![850, 750, 250, 50]);
}
