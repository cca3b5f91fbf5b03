//! Which worker is chosen.

use std::sync::Arc;

use verbenahitch::domain::{Monotonic, Resources};
use verbenahitch::placement::{Choice, Placer, Reason};

use super::fixture::{Tasks, batch, declarations, placed, service, workers};

const NOW: Monotonic = Monotonic(1_000);

#[test]
fn the_tightest_worker_that_fits_is_taken() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 3, Resources::new(16, 65_536));
    let mut large = batch();
    large.resources = Resources::new(12, 1_024);
    tasks.put(&mut placer, all[1], "large", &large);
    let ask = tasks.ask("work", &batch());
    assert_eq!(placed(&placer.choose(&ask, NOW)), Some(all[1]));
}

#[test]
fn tasks_of_one_job_spread_over_racks() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 9, Resources::new(16, 65_536));
    let job = tasks.job();
    let mut racks = Vec::new();
    for index in 0..6 {
        let ask = tasks.ask_of(job, index, "service", &service());
        let worker = placed(&placer.choose(&ask, NOW)).expect("room is plenty");
        let resident = tasks.resident(&ask, NOW);
        placer.occupy(worker, resident).expect("it fits");
        racks.push(all.iter().position(|key| *key == worker).expect("known") / 3);
    }
    let in_rack = |rack| racks.iter().filter(|at| **at == rack).count();
    assert_eq!([in_rack(0), in_rack(1), in_rack(2)], [2, 2, 2]);
}

#[test]
fn batch_keeps_away_from_a_service_that_it_would_slow_too_much() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 2, Resources::new(16, 65_536));
    tasks.put(&mut placer, all[0], "service", &service());
    let mut heavy = batch();
    heavy.pressure = 0.6;
    let ask = tasks.ask("heavy", &heavy);
    assert_eq!(placed(&placer.choose(&ask, NOW)), Some(all[1]));
    placer.remove_worker(all[1]);
    assert_eq!(
        placer.choose(&ask, NOW),
        Choice::Wait(Reason::TooMuchPressure)
    );
}

#[test]
fn batch_that_waited_past_its_deadline_is_placed_in_spite_of_its_pressure() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(16, 65_536));
    tasks.put(&mut placer, all[0], "service", &service());
    let mut heavy = batch();
    heavy.pressure = 1.0;
    let mut ask = tasks.ask("heavy", &heavy);
    assert_eq!(
        placer.choose(&ask, NOW),
        Choice::Wait(Reason::TooMuchPressure)
    );
    ask.waited_ms = heavy.deadline_ms;
    assert_eq!(placed(&placer.choose(&ask, NOW)), Some(all[0]));
}

#[test]
fn a_worker_to_avoid_is_taken_only_if_no_other_can() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 2, Resources::new(16, 65_536));
    let mut ask = tasks.ask("work", &batch());
    ask.avoid = Some(all[0]);
    assert_eq!(placed(&placer.choose(&ask, NOW)), Some(all[1]));
    placer.remove_worker(all[1]);
    assert_eq!(placed(&placer.choose(&ask, NOW)), Some(all[0]));
}

#[test]
fn a_team_waits_once_this_shards_part_of_its_quota_is_used() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 4, Resources::new(16, 65_536));
    let declared = declarations("night", Resources::new(8, 65_536), &[("work", &batch())]);
    placer.declare(Arc::new(declared), 0.5);
    let runs: Vec<_> = (0..4)
        .map(|at| tasks.put(&mut placer, all[at], "work", &batch()))
        .collect();
    let ask = tasks.ask("work", &batch());
    assert_eq!(placer.choose(&ask, NOW), Choice::Wait(Reason::Quota));
    placer.vacate(all[0], runs[0].task);
    assert!(placed(&placer.choose(&ask, NOW)).is_some());
}

#[test]
fn a_full_shard_says_so() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(1, 1_024));
    tasks.put(&mut placer, all[0], "work", &batch());
    let ask = tasks.ask("work", &batch());
    assert_eq!(placer.choose(&ask, NOW), Choice::Wait(Reason::NoRoom));
}

#[test]
fn the_only_worker_with_the_memory_is_found_among_many() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    workers(&mut placer, 500, Resources::new(16, 1_024));
    let large = workers(&mut placer, 1, Resources::new(16, 65_536));
    let mut profile = batch();
    profile.resources = Resources::new(1, 2_048);
    let ask = tasks.ask("work", &profile);
    assert_eq!(placed(&placer.choose(&ask, NOW)), Some(large[0]));
}
