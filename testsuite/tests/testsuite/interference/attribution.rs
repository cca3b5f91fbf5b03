//! Slowdown is attributed to the profile that causes it.

use test_case::test_case;
use verbenahitch::domain::Profile;

use super::simulation::{Simulation, batch_with_pressure};

const TOLERANCE: f64 = 0.08;

#[track_caller]
fn assert_close(found: f64, expected: f64) {
    assert!(
        (found - expected).abs() < TOLERANCE,
        "found {found}, expected {expected}"
    );
}

/// Starts each combination of zero to two tasks of both profiles on some worker.
fn add_mixes(simulation: &mut Simulation, profile: &Profile) {
    for at in 0..simulation.workers.len() {
        for _ in 0..at % 3 {
            simulation.put(at, "noisy", profile);
        }
        for _ in 0..at / 3 % 3 {
            simulation.put(at, "quiet", profile);
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
fn slowdown_is_attributed_to_each_source_by_its_true_effect(case: Case) {
    let mut simulation = Simulation::new(18, &[("noisy", case.noisy), ("quiet", case.quiet)]);
    add_mixes(&mut simulation, &batch_with_pressure(case.declared));
    for _ in 0..120 {
        simulation.report();
    }
    simulation.placer.mitigate(simulation.now());
    assert_close(simulation.estimated("noisy").slowdown, 1.0 + case.noisy);
    assert_close(simulation.estimated("quiet").slowdown, 1.0 + case.quiet);
}

#[test]
fn the_declared_pressure_is_the_estimate_until_measurements_differ() {
    let mut simulation = Simulation::new(4, &[("noisy", 0.3)]);
    for at in 0..4 {
        simulation.put(at, "noisy", &batch_with_pressure(0.3));
    }
    simulation.run(1);
    assert_close(simulation.estimated("noisy").slowdown, 1.3);
}

#[test]
fn estimates_follow_a_change_of_the_true_slowdowns() {
    let mut simulation = Simulation::new(18, &[("noisy", 0.3), ("quiet", 0.0)]);
    add_mixes(&mut simulation, &batch_with_pressure(0.2));
    simulation.run(300);
    assert_close(simulation.estimated("noisy").slowdown, 1.3);
    simulation.slopes = vec![("noisy", 0.0), ("quiet", 0.3)];
    simulation.run(900);
    assert_close(simulation.estimated("noisy").slowdown, 1.0);
    assert_close(simulation.estimated("quiet").slowdown, 1.3);
}

#[test]
fn pairs_are_sorted_by_descending_slowdown() {
    let mut simulation = Simulation::new(18, &[("noisy", 0.3), ("quiet", 0.0)]);
    add_mixes(&mut simulation, &batch_with_pressure(0.1));
    simulation.run(60);
    let pairs = simulation.placer.pressures();
    assert_eq!(pairs[0].source, "noisy");
    assert!(pairs.is_sorted_by(|a, b| a.slowdown >= b.slowdown));
}
