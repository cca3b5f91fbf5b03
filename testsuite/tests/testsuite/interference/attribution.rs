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

/// Gives every worker one of the nine combinations of zero to two `noisy` and zero to two `quiet`
/// tasks.
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
    noisy_slope: f64,
    quiet_slope: f64,
    declared_pressure: f64,
}

#[test_case(Case { noisy_slope: 0.3, quiet_slope: 0.0, declared_pressure: 0.2 }; "only one slows")]
#[test_case(Case { noisy_slope: 0.3, quiet_slope: 0.0, declared_pressure: 0.0 }; "declared harmless")]
#[test_case(Case { noisy_slope: 0.1, quiet_slope: 0.1, declared_pressure: 1.0 }; "declared harmful")]
#[test_case(Case { noisy_slope: 0.2, quiet_slope: 0.05, declared_pressure: 0.2 }; "both slow unequally")]
fn slowdown_is_attributed_to_each_source_by_its_true_effect(case: Case) {
    let mut simulation = Simulation::new(
        18,
        &[("noisy", case.noisy_slope), ("quiet", case.quiet_slope)],
    );
    add_mixes(
        &mut simulation,
        &batch_with_pressure(case.declared_pressure),
    );
    for _ in 0..120 {
        simulation.report();
    }
    // Updates the estimates.
    simulation.placer.mitigate(simulation.now());
    assert_close(
        simulation.estimated("noisy").slowdown,
        1.0 + case.noisy_slope,
    );
    assert_close(
        simulation.estimated("quiet").slowdown,
        1.0 + case.quiet_slope,
    );
}

#[test]
fn the_declared_pressure_is_the_estimate_while_measurements_agree() {
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
