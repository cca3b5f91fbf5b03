//! Order in which waiting tasks are offered for placement.

use std::sync::Arc;

use verbenahitch::domain::{Monotonic, Profile, Resources};
use verbenahitch::placement::{OfferResult, Placer, WaitingTasks};

use super::fixture::{Tasks, batch, declarations, workers};

/// Profile names of the first `count` offered tasks, which are placed; the others are declined.
fn order(
    queue: &mut WaitingTasks,
    placer: &mut Placer,
    now: Monotonic,
    count: usize,
) -> Vec<String> {
    let mut names = Vec::new();
    queue.offer_all(placer, now, |_, request| {
        let placed = names.len() < count;
        if placed {
            names.push(request.name.to_string());
        }
        if placed {
            OfferResult::Placed
        } else {
            OfferResult::Declined
        }
    });
    names
}

#[test]
fn urgent_tasks_go_first_then_those_of_higher_worth() {
    let mut tasks = Tasks::default();
    let mut queue = WaitingTasks::new();
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
        queue.push(tasks.request(name, profile), Monotonic(0));
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
    let mut queue = WaitingTasks::new();
    queue.push(
        tasks.request(
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
        queue.push(tasks.request("high", &high), now);
        queue.push(tasks.request("high", &high), now);
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
    placer.set_declarations(Arc::new(declared), 1.0);
    tasks.put(&mut placer, all[0], "one", &one);
    let mut queue = WaitingTasks::new();
    queue.push(tasks.request("one", &one), Monotonic(0));
    queue.push(tasks.request("two", &two), Monotonic(0));
    assert_eq!(
        order(&mut queue, &mut placer, Monotonic(0), 9),
        ["two", "one"]
    );
}

#[test]
fn a_withdrawn_task_is_not_offered_unless_pushed_again() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = WaitingTasks::new();
    let requests: Vec<_> = (0..3).map(|_| tasks.request("work", &batch())).collect();
    for request in &requests {
        queue.push(request.clone(), Monotonic(0));
        queue.push(request.clone(), Monotonic(5));
    }
    assert!(queue.withdraw(requests[1].task));
    assert!(!queue.withdraw(requests[1].task));
    assert_eq!(queue.len(), 2);
    queue.push(requests[1].clone(), Monotonic(0));
    let mut offered = Vec::new();
    queue.offer_all(&mut placer, Monotonic(9), |_, request| {
        offered.push(request.task);
        OfferResult::Placed
    });
    offered.sort();
    assert_eq!(
        offered,
        requests
            .iter()
            .map(|request| request.task)
            .collect::<Vec<_>>()
    );
}

#[test]
fn a_declined_profile_does_not_block_others() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = WaitingTasks::new();
    queue.push(
        tasks.request(
            "large",
            &Profile {
                worth: 1_000,
                ..batch()
            },
        ),
        Monotonic(0),
    );
    queue.push(tasks.request("small", &batch()), Monotonic(0));
    let mut placed = Vec::new();
    queue.offer_all(&mut placer, Monotonic(0), |_, request| {
        if &*request.name != "small" {
            return OfferResult::Declined;
        }
        placed.push(request.task);
        OfferResult::Placed
    });
    assert_eq!((placed.len(), queue.len()), (1, 1));
}

#[test]
fn the_next_task_of_a_profile_is_offered_after_a_reservation() {
    let mut tasks = Tasks::default();
    let mut placer = Placer::new(1);
    let mut queue = WaitingTasks::new();
    let requests: Vec<_> = (0..3).map(|_| tasks.request("urgent", &batch())).collect();
    for request in &requests {
        queue.push(request.clone(), Monotonic(0));
    }
    let mut offered = Vec::new();
    queue.offer_all(&mut placer, Monotonic(0), |_, request| {
        offered.push(request.task);
        let last = request.task == requests[2].task;
        if last {
            OfferResult::Placed
        } else {
            OfferResult::Reserved
        }
    });
    assert_eq!(
        offered,
        [requests[0].task, requests[1].task, requests[2].task]
    );
    assert_eq!(queue.len(), 2);
}
