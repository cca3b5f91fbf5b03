//! Shares of client accounts when all workers are full.

use std::collections::BTreeMap;

use test_case::test_case;
use verbenahitch::dispatch::{Account, JobId, JobState, ShareRank};
use verbenahitch::domain::Millis;

use super::world::{World, account, cores, filler, job, queue, step};

struct Case {
    used: f64,
    entitled: f64,
    level: u16,
}

#[test_case(Case { used: 0.0, entitled: 0.1, level: 0 }; "nothing used")]
#[test_case(Case { used: -0.3, entitled: 0.1, level: 0 }; "a deficit")]
#[test_case(Case { used: 0.1, entitled: 0.1, level: 0 }; "just the entitlement")]
#[test_case(Case { used: 0.11, entitled: 0.1, level: 1 }; "a little beyond")]
#[test_case(Case { used: 0.25, entitled: 0.1, level: 6 }; "far beyond")]
#[test_case(Case { used: 0.5, entitled: 0.0, level: u16::MAX }; "no weight")]
fn levels(case: Case) {
    assert_eq!(
        ShareRank::new(false, case.used, case.entitled).level,
        case.level
    );
}

/// Accounts without caps, whose rates no test reaches.
fn unlimited(weights: &[f64]) -> Vec<Account> {
    let named = (0..).zip(weights);
    let one =
        |(number, weight): (usize, &f64)| account(&format!("a{number:02}"), *weight, cores(0));
    named.map(one).collect()
}

/// Mean cores of accounts over `millis`.
fn mean_cores(world: &mut World, accounts: &[Account], millis: Millis) -> Vec<f64> {
    let mut sums = vec![0.0; accounts.len()];
    let samples = millis / 50;
    for _ in 0..samples {
        world.run(50);
        for (sum, account) in sums.iter_mut().zip(accounts) {
            #[expect(clippy::cast_precision_loss, reason = "a few cores")]
            let used = world.cores_of(&account.name) as f64;
            *sum += used;
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "a few samples")]
    let count = samples as f64;
    sums.into_iter().map(|sum| sum / count).collect()
}

/// All full with weights 1, 2 and 8: each account gets its part within a twentieth of the
/// room.
#[test_case(false; "steps")]
#[test_case(true; "fillers")]
fn room_is_shared_by_weight(is_filler: bool) {
    let accounts = unlimited(&[10.0, 20.0, 80.0]);
    let mut world = World::new(6);
    world.declare_accounts(accounts.clone());
    // Enough work for each account for the whole time.
    for id in 0..180 {
        let owner = &accounts[[0, 1, 2, 2, 2, 2][id as usize % 6]].name;
        let spec = if is_filler {
            filler(20, 1, 600, "light")
        } else {
            step(20, 1, 600)
        };
        world.submit_for(owner, id, "batch", job(vec![spec]));
    }
    world.run(2_000);
    let means = mean_cores(&mut world, &accounts, 6_000);
    let total: f64 = means.iter().sum();
    for (mean, account) in means.iter().zip(&accounts) {
        let off = mean / total - account.weight / 110.0;
        assert!(
            off.abs() <= 0.05,
            "{} is off by {off}: {means:?}",
            account.name
        );
    }
}

/// An account alone uses all room; another one that comes gets its half as runs end.
#[test]
fn idle_room_is_lent_and_comes_back() {
    let accounts = unlimited(&[10.0, 10.0]);
    let mut world = World::new(4);
    world.declare_accounts(accounts.clone());
    for id in 0..16 {
        world.submit_for("a00", id, "batch", job(vec![step(40, 1, 500)]));
    }
    world.run(1_000);
    assert_eq!(world.cores_of("a00"), 64);
    for id in 100..106 {
        world.submit_for("a01", id, "batch", job(vec![step(40, 1, 500)]));
    }
    world.run(600);
    assert!(
        world.cores_of("a01") >= 64 * 4 / 10,
        "{}",
        world.cores_of("a01")
    );
}

/// What an account sends beyond its rate comes behind the work of others within theirs.
#[test]
fn work_beyond_the_rate_waits_behind_that_within() {
    let accounts = unlimited(&[1.0, 40.0]);
    let mut world = World::new(1);
    world.declare_accounts(accounts);
    let hot: Vec<JobId> = (0..20)
        .map(|id| world.submit_for("a00", id, "batch", job(vec![step(8, 1, 500)])))
        .collect();
    world.run(200);
    let other: Vec<JobId> = (100..110)
        .map(|id| world.submit_for("a01", id, "batch", job(vec![step(8, 1, 500)])))
        .collect();
    world.run(5_000);
    assert!(
        other
            .iter()
            .all(|id| world.state(*id) == Some(JobState::Completed))
    );
    // Three jobs are within the burst of the rate.
    let done = hot.iter().filter(|id| world.finished.contains_key(*id));
    assert!(done.count() < 12);
    world.run(12_000);
    assert_eq!(world.finished.len(), 30);
}

/// Times to completion of the jobs of nineteen quiet accounts, beside one that sends seven
/// times its usual for six seconds or does not.
fn quiet_times(is_hot: bool) -> BTreeMap<JobId, Millis> {
    let weights = [&[8.0][..], &[2.0; 19]].concat();
    let accounts = unlimited(&weights);
    let mut world = World::new(8);
    world.declare_accounts(accounts.clone());
    let mut sent = BTreeMap::new();
    for second in 0..14_u64 {
        let times = if is_hot && (4..10).contains(&second) {
            7
        } else {
            1
        };
        for part in 0..4_u64 {
            for number in 0..times {
                let id = 100_000 + second * 100 + part * 20 + number;
                world.submit_for("a00", id, "batch", job(vec![step(8, 1, 1_000)]));
            }
            for (number, account) in (1_u64..).zip(&accounts[1..]) {
                if number % 4 == part {
                    let id = second * 100 + number;
                    let id =
                        world.submit_for(&account.name, id, "batch", job(vec![step(4, 1, 1_000)]));
                    sent.insert(id, world.now);
                }
            }
            world.run(250);
        }
    }
    world.run(8_000);
    let times = sent.into_iter();
    times
        .map(|(id, at)| (id, world.finished[&id] - at))
        .collect()
}

/// A hot account costs the others nothing that can be measured: all are in time, as without.
#[test]
fn a_hot_account_does_not_delay_nineteen_quiet_ones() {
    let objective = 2 * 1_000 + queue("batch", 2).target_ms;
    for is_hot in [false, true] {
        let times = quiet_times(is_hot);
        let late: Vec<_> = times
            .iter()
            .filter(|(_, took)| **took > objective)
            .collect();
        assert!(late.is_empty(), "hot: {is_hot}, late: {late:?}");
    }
}

/// Jobs that name accounts are served in the same way as others where none are declared.
#[test]
fn nothing_changes_without_declared_accounts() {
    let starts = |is_named: bool| {
        let mut world = World::new(2);
        for id in 0..30 {
            let spec = job(vec![step(4, 1, 300 + id * 10), filler(2, 1, 200, "light")]);
            let queue = if id % 3 == 0 { "push" } else { "batch" };
            if is_named {
                world.submit_for(&format!("a{}", id % 4), id, queue, spec);
            } else {
                world.submit(id, queue, spec);
            }
            world.run(40);
        }
        world.run(8_000);
        assert_eq!(world.finished.len(), 30);
        world.starts
    };
    assert_eq!(starts(false), starts(true));
}
