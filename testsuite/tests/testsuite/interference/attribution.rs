//! Slowdown is attributed to the pair that causes it.

use test_case::test_case;
use verbenahitch::domain::Profile;

use super::field::{Field, declared};

const CLOSE: f64 = 0.08;

#[track_caller]
fn assert_close(found: f64, wanted: f64) {
    assert!(
        (found - wanted).abs() < CLOSE,
        "{found} instead of {wanted}"
    );
}

/// Puts every mix of the two profiles on some worker.
fn mixed(field: &mut Field, profile: &Profile) {
    for at in 0..field.workers.len() {
        for _ in 0..at % 3 {
            field.put(at, "noisy", profile);
        }
        for _ in 0..at / 3 % 3 {
            field.put(at, "quiet", profile);
        }
    }
}

struct Case {
    noisy: f64,
    quiet: f64,
    declared: f64,
}

#[test_case(Case { noisy: 0.3, quiet: 0.0, declared: 0.2 }; "one of two")]
#[test_case(Case { noisy: 0.3, quiet: 0.0, declared: 0.0 }; "declared harmless")]
#[test_case(Case { noisy: 0.1, quiet: 0.1, declared: 1.0 }; "declared harmful")]
#[test_case(Case { noisy: 0.2, quiet: 0.05, declared: 0.2 }; "unequal")]
fn several_sources_on_a_worker_share_the_blame_as_due(case: Case) {
    let mut field = Field::new(18, &[("noisy", case.noisy), ("quiet", case.quiet)]);
    mixed(&mut field, &declared(case.declared));
    for _ in 0..120 {
        field.report();
    }
    field.placer.relieve(field.now());
    assert_close(field.believed("noisy").slowdown, 1.0 + case.noisy);
    assert_close(field.believed("quiet").slowdown, 1.0 + case.quiet);
}

#[test]
fn the_declared_pressure_stands_until_something_else_was_measured() {
    let mut field = Field::new(4, &[("noisy", 0.3)]);
    for at in 0..4 {
        field.put(at, "noisy", &declared(0.3));
    }
    field.run(1);
    assert_close(field.believed("noisy").slowdown, 1.3);
}

#[test]
fn estimates_follow_when_the_truth_shifts() {
    let mut field = Field::new(18, &[("noisy", 0.3), ("quiet", 0.0)]);
    mixed(&mut field, &declared(0.2));
    field.run(300);
    assert_close(field.believed("noisy").slowdown, 1.3);
    field.truth = vec![("noisy", 0.0), ("quiet", 0.3)];
    field.run(900);
    assert_close(field.believed("noisy").slowdown, 1.0);
    assert_close(field.believed("quiet").slowdown, 1.3);
}

#[test]
fn the_strongest_pair_comes_first() {
    let mut field = Field::new(18, &[("noisy", 0.3), ("quiet", 0.0)]);
    mixed(&mut field, &declared(0.1));
    field.run(60);
    let pairs = field.placer.pressures();
    assert_eq!(pairs[0].source, "noisy");
    assert!(pairs.is_sorted_by(|a, b| a.slowdown >= b.slowdown));
}
