//! Actions against interference: throttling before eviction, only on tasks that cause
//! the slowdown, and without oscillation.

use verbenahitch::domain::{Eviction, Profile};
use verbenahitch::interference::Mitigation;

use super::simulation::{Simulation, batch_with_pressure};

fn evictions(mitigations: &[Mitigation]) -> usize {
    let evicts = |mitigation: &&Mitigation| matches!(mitigation, Mitigation::Evict { .. });
    mitigations.iter().filter(evicts).count()
}

fn unthrottleable() -> Profile {
    Profile {
        min_share: 1.0,
        ..batch_with_pressure(0.2)
    }
}

/// A simulation whose worker 0 runs `count` noisy tasks and a quiet one, worker 1 a quiet
/// one, and the others none.
fn with_noisy_tasks(count: usize, slope: f64, profile: &Profile) -> Simulation {
    let mut simulation = Simulation::new(6, &[("noisy", slope), ("quiet", 0.0)]);
    for _ in 0..count {
        simulation.put(0, "noisy", profile);
    }
    simulation.put(0, "quiet", &batch_with_pressure(0.2));
    simulation.put(1, "quiet", &batch_with_pressure(0.2));
    simulation
}

#[test]
fn no_action_while_the_slowdown_is_tolerated() {
    let mut simulation = with_noisy_tasks(2, 0.1, &batch_with_pressure(0.2));
    assert_eq!(simulation.run(120), []);
}

#[test]
fn throttling_suffices_without_evictions() {
    let mut simulation = with_noisy_tasks(4, 0.3, &batch_with_pressure(0.2));
    assert!(simulation.slowdown(0) > 2.0);
    let mitigations = simulation.run(60);
    assert!(!mitigations.is_empty());
    assert_eq!(evictions(&mitigations), 0);
    assert!(simulation.slowdown(0) <= 1.5, "{}", simulation.slowdown(0));
}

#[test]
fn tasks_that_may_not_be_throttled_are_evicted() {
    let mut simulation = with_noisy_tasks(4, 0.3, &unthrottleable());
    let mitigations = simulation.run(60);
    assert!(evictions(&mitigations) >= 2);
    assert!(simulation.slowdown(0) <= 1.5, "{}", simulation.slowdown(0));
}

#[test]
fn a_task_without_budget_is_not_evicted() {
    let eviction = Eviction {
        hourly_budget: 0,
        ..Eviction::default()
    };
    let mut simulation = with_noisy_tasks(
        4,
        0.3,
        &Profile {
            eviction,
            ..unthrottleable()
        },
    );
    assert_eq!(evictions(&simulation.run(60)), 0);
}

#[test]
fn a_task_that_slows_nothing_keeps_its_share() {
    let mut simulation = with_noisy_tasks(4, 0.3, &batch_with_pressure(0.2));
    for at in 2..6 {
        for _ in 0..3 {
            simulation.put(at, "quiet", &batch_with_pressure(0.2));
        }
    }
    simulation.run(20);
    simulation.placer.mitigate(simulation.now());
    let harmless = simulation.put(0, "quiet", &batch_with_pressure(0.2));
    let mitigations = simulation.run(60);
    let touches = |mitigation: &Mitigation| match mitigation {
        Mitigation::Throttle { task, .. } | Mitigation::Evict { task, .. } => {
            *task == harmless.task
        }
    };
    assert!(!mitigations.iter().any(touches));
}

#[test]
fn the_task_of_least_worth_is_evicted_first() {
    let mut simulation = Simulation::new(6, &[("noisy", 0.3), ("cheap", 0.3)]);
    let costly = simulation.put(
        0,
        "noisy",
        &Profile {
            worth: 100,
            ..unthrottleable()
        },
    );
    simulation.put(
        0,
        "noisy",
        &Profile {
            worth: 100,
            ..unthrottleable()
        },
    );
    simulation.put(
        0,
        "cheap",
        &Profile {
            worth: 1,
            ..unthrottleable()
        },
    );
    let mitigations = simulation.run(60);
    let first = mitigations.iter().find_map(|mitigation| match mitigation {
        Mitigation::Evict { task, .. } => Some(*task),
        Mitigation::Throttle { .. } => None,
    });
    assert!(first.is_some_and(|task| task != costly.task));
    assert!(
        simulation
            .placer
            .residents(simulation.workers[0])
            .any(|run| run.task == costly.task)
    );
    assert!(
        !simulation
            .placer
            .residents(simulation.workers[0])
            .any(|run| &*run.name == "cheap")
    );
}

#[test]
fn shares_are_restored_after_the_slowdown_ends() {
    let mut simulation = with_noisy_tasks(4, 0.3, &batch_with_pressure(0.2));
    simulation.run(60);
    simulation.slopes = vec![("noisy", 0.0)];
    assert!(!simulation.is_unthrottled());
    simulation.run(1_200);
    assert!(simulation.is_unthrottled());
}

#[test]
fn periodic_slowdown_does_not_make_shares_oscillate() {
    let mut simulation = with_noisy_tasks(4, 0.3, &batch_with_pressure(0.2));
    let mut changes = Vec::new();
    for _ in 0..20 {
        simulation.slopes = vec![("noisy", 0.3)];
        changes.push(simulation.run(30).len());
        simulation.slopes = vec![("noisy", 0.0)];
        changes.push(simulation.run(30).len());
    }
    let early: usize = changes[..8].iter().sum();
    let late: usize = changes[32..].iter().sum();
    assert!(late <= early, "{changes:?}");
    assert!(late <= 16, "{changes:?}");
}
