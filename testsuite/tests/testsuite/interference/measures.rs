//! Measures come in order, spare the innocent, and don't swing.

use verbenahitch::domain::{Eviction, Profile};
use verbenahitch::interference::Relief;

use super::field::{Field, declared};

fn evictions(reliefs: &[Relief]) -> usize {
    let evicts = |relief: &&Relief| matches!(relief, Relief::Evict { .. });
    reliefs.iter().filter(evicts).count()
}

fn stubborn() -> Profile {
    Profile {
        min_share: 1.0,
        ..declared(0.2)
    }
}

/// A field whose worker 0 runs `count` noisy tasks, with others to compare.
fn pressed(count: usize, slope: f64, profile: &Profile) -> Field {
    let mut field = Field::new(6, &[("noisy", slope), ("quiet", 0.0)]);
    for _ in 0..count {
        field.put(0, "noisy", profile);
    }
    field.put(0, "quiet", &declared(0.2));
    field.put(1, "quiet", &declared(0.2));
    field
}

#[test]
fn a_service_within_its_limit_is_left_alone() {
    let mut field = pressed(2, 0.1, &declared(0.2));
    assert_eq!(field.run(120), []);
}

#[test]
fn throttling_comes_first_and_is_enough_where_it_helps() {
    let mut field = pressed(4, 0.3, &declared(0.2));
    assert!(field.slowdown(0) > 2.0);
    let reliefs = field.run(60);
    assert!(!reliefs.is_empty());
    assert_eq!(evictions(&reliefs), 0);
    assert!(field.slowdown(0) <= 1.5, "{}", field.slowdown(0));
}

#[test]
fn eviction_follows_where_throttling_may_not() {
    let mut field = pressed(4, 0.3, &stubborn());
    let reliefs = field.run(60);
    assert!(evictions(&reliefs) >= 2);
    assert!(field.slowdown(0) <= 1.5, "{}", field.slowdown(0));
}

#[test]
fn a_task_without_budget_is_not_evicted() {
    let eviction = Eviction {
        hourly_budget: 0,
        ..Eviction::default()
    };
    let mut field = pressed(
        4,
        0.3,
        &Profile {
            eviction,
            ..stubborn()
        },
    );
    assert_eq!(evictions(&field.run(60)), 0);
}

#[test]
fn the_innocent_neighbour_keeps_its_share() {
    let mut field = pressed(4, 0.3, &declared(0.2));
    for at in 2..6 {
        for _ in 0..3 {
            field.put(at, "quiet", &declared(0.2));
        }
    }
    field.run(20);
    field.placer.relieve(field.now());
    let innocent = field.put(0, "quiet", &declared(0.2));
    let reliefs = field.run(60);
    let touches = |relief: &Relief| match relief {
        Relief::Throttle { task, .. } | Relief::Evict { task, .. } => *task == innocent.task,
    };
    assert!(!reliefs.iter().any(touches));
}

#[test]
fn the_least_worth_is_evicted_first() {
    let mut field = Field::new(6, &[("noisy", 0.3), ("cheap", 0.3)]);
    let costly = field.put(
        0,
        "noisy",
        &Profile {
            worth: 100,
            ..stubborn()
        },
    );
    field.put(
        0,
        "noisy",
        &Profile {
            worth: 100,
            ..stubborn()
        },
    );
    field.put(
        0,
        "cheap",
        &Profile {
            worth: 1,
            ..stubborn()
        },
    );
    let reliefs = field.run(60);
    let first = reliefs.iter().find_map(|relief| match relief {
        Relief::Evict { task, .. } => Some(*task),
        Relief::Throttle { .. } => None,
    });
    assert!(first.is_some_and(|task| task != costly.task));
    assert!(
        field
            .placer
            .residents(field.workers[0])
            .any(|run| run.task == costly.task)
    );
    assert!(
        !field
            .placer
            .residents(field.workers[0])
            .any(|run| &*run.name == "cheap")
    );
}

#[test]
fn shares_are_restored_after_a_calm() {
    let mut field = pressed(4, 0.3, &declared(0.2));
    field.run(60);
    field.truth = vec![("noisy", 0.0)];
    assert!(!field.is_unthrottled());
    field.run(1_200);
    assert!(field.is_unthrottled());
}

#[test]
fn waves_of_noise_do_not_make_shares_swing() {
    let mut field = pressed(4, 0.3, &declared(0.2));
    let mut changes = Vec::new();
    for _ in 0..20 {
        field.truth = vec![("noisy", 0.3)];
        changes.push(field.run(30).len());
        field.truth = vec![("noisy", 0.0)];
        changes.push(field.run(30).len());
    }
    let early: usize = changes[..8].iter().sum();
    let late: usize = changes[32..].iter().sum();
    assert!(late <= early, "{changes:?}");
    assert!(late <= 16, "{changes:?}");
}
