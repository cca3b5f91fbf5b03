//! Order in which waiting tasks are offered for placement.

use std::sync::Arc;

use verbenahitch::domain::{Monotonic, Profile, Resources};
use verbenahitch::placement::{Offer, Placer, Queue};

use super::fixture::{Tasks, batch, declarations, workers};

/// Profile names of the first `count` offered tasks, which are taken; the others are declined.
fn order(queue: &mut Queue, placer: &mut Placer, now: Monotonic, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    queue.drain(placer, now, |_, ask| {
        let taken = names.len() < count;
        if taken {
            names.push(ask.name.to_string());
        }
        if taken { Offer::Taken } else { Offer::Declined }
    });
    names
}

#[test]
fn urgent_tasks_go_first_then_those_of_higher_worth() {
    let mut tasks = Tasks::default();
    let mut queue = Queue::new();
    let profiles = [
        (
            "low",
            Profile {
                worth: 1,
                ..batch()
            },
        ),
        (
            "high",
            Profile {
                worth: 1_000,
                ..batch()
            },
        ),
        (
            "urgent",
            Profile {
                worth: 1,
                urgent: true,
                ..batch()
            },
        ),
    ];
    for (name, profile) in &profiles {
        queue.push(tasks.ask(name, profile), Monotonic(0));
    }
    let mut placer = Placer::new(1);
    let names = order(&mut queue, &mut placer, Monotonic(0), 9);
    assert_eq!(names, ["urgent", "high", "low"]);
    assert!(queue.is_empty());
}

#[test]
fn a_task_of_low_worth_is_not_starved_by_arrivals_of_high_worth() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = Queue::new();
    queue.push(
        tasks.ask(
            "low",
            &Profile {
                worth: 1,
                ..batch()
            },
        ),
        Monotonic(0),
    );
    let high = Profile {
        worth: 1_000,
        ..batch()
    };
    let reached = (0..10_000u64).find(|minute| {
        let now = Monotonic(60_000 * minute);
        queue.push(tasks.ask("high", &high), now);
        queue.push(tasks.ask("high", &high), now);
        let names = order(&mut queue, &mut placer, now, 1);
        names == ["low"]
    });
    assert!(reached.is_some());
}

#[test]
fn the_team_that_uses_less_of_its_quota_goes_first() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let all = workers(&mut placer, 1, Resources::new(16, 65_536));
    let one = Profile {
        team: "one".to_owned(),
        ..batch()
    };
    let two = Profile {
        team: "two".to_owned(),
        ..batch()
    };
    let mut declared = declarations("one", Resources::new(4, 65_536), &[]);
    let other = declarations("two", Resources::new(4, 65_536), &[]);
    declared.teams.extend(other.teams);
    placer.declare(Arc::new(declared), 1.0);
    tasks.put(&mut placer, all[0], "one", &one);
    let mut queue = Queue::new();
    queue.push(tasks.ask("one", &one), Monotonic(0));
    queue.push(tasks.ask("two", &two), Monotonic(0));
    assert_eq!(
        order(&mut queue, &mut placer, Monotonic(0), 9),
        ["two", "one"]
    );
}

#[test]
fn a_withdrawn_task_is_not_offered_unless_pushed_again() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = Queue::new();
    let asks: Vec<_> = (0..3).map(|_| tasks.ask("work", &batch())).collect();
    for ask in &asks {
        queue.push(ask.clone(), Monotonic(0));
        queue.push(ask.clone(), Monotonic(5));
    }
    assert!(queue.withdraw(asks[1].task));
    assert!(!queue.withdraw(asks[1].task));
    assert_eq!(queue.len(), 2);
    queue.push(asks[1].clone(), Monotonic(0));
    let mut offered = Vec::new();
    queue.drain(&mut placer, Monotonic(9), |_, ask| {
        offered.push(ask.task);
        Offer::Taken
    });
    offered.sort();
    assert_eq!(offered, asks.iter().map(|ask| ask.task).collect::<Vec<_>>());
}

#[test]
fn a_declined_profile_does_not_block_others() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = Queue::new();
    queue.push(
        tasks.ask(
            "large",
            &Profile {
                worth: 1_000,
                ..batch()
            },
        ),
        Monotonic(0),
    );
    queue.push(tasks.ask("small", &batch()), Monotonic(0));
    let mut placed = Vec::new();
    queue.drain(&mut placer, Monotonic(0), |_, ask| {
        if &*ask.name != "small" {
            return Offer::Declined;
        }
        placed.push(ask.task);
        Offer::Taken
    });
    assert_eq!((placed.len(), queue.len()), (1, 1));
}

#[test]
fn the_next_task_of_a_profile_is_offered_after_a_promise() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = Queue::new();
    let asks: Vec<_> = (0..3).map(|_| tasks.ask("urgent", &batch())).collect();
    for ask in &asks {
        queue.push(ask.clone(), Monotonic(0));
    }
    let mut offered = Vec::new();
    queue.drain(&mut placer, Monotonic(0), |_, ask| {
        offered.push(ask.task);
        let last = ask.task == asks[2].task;
        if last { Offer::Taken } else { Offer::Promised }
    });
    assert_eq!(offered, [asks[0].task, asks[1].task, asks[2].task]);
    assert_eq!(queue.len(), 2);
}
