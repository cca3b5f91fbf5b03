//! The choice of a worker for a task.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::domain::{Monotonic, Profile, Resources, WorkerKey};
use verbenahitch::placement::{Choice, Placer, Reason, WorkerState};

use super::fixture::{Tasks, batch, declarations, placed, service, workers};

const NOW: Monotonic = Monotonic(1_000);

#[test]
fn the_tightest_worker_that_fits_is_chosen() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 3, Resources::new(16, 65_536));
    let mut large = batch();
    large.resources = Resources::new(12, 1_024);
    tasks.put(&mut placer, all[1], "large", &large);
    let request = tasks.request("work", &batch());
    assert_eq!(placed(&placer.choose(&request, NOW)), Some(all[1]));
}

#[test]
fn tasks_of_one_job_spread_over_racks() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 9, Resources::new(16, 65_536));
    let job = tasks.job();
    let mut racks = Vec::new();
    for index in 0..6 {
        let request = tasks.request_of(job, index, "service", &service());
        let worker = placed(&placer.choose(&request, NOW)).expect("a worker has room");
        let resident = tasks.resident(&request, NOW);
        placer.commit(worker, resident).expect("the task fits");
        racks.push(
            all.iter()
                .position(|key| *key == worker)
                .expect("the worker was added")
                / 3,
        );
    }
    let in_rack = |rack| racks.iter().filter(|at| **at == rack).count();
    assert_eq!([in_rack(0), in_rack(1), in_rack(2)], [2, 2, 2]);
}

/// A profile that may not be throttled.
fn unthrottleable(pressure: f64) -> Profile {
    Profile {
        pressure,
        min_share: 1.0,
        ..batch()
    }
}

/// A shard with one open worker that runs a service, and four tasks of `heavy` on another
/// worker that is closed.
fn one_service(tasks: &mut Tasks, heavy: &Profile) -> (Placer, WorkerKey) {
    let mut placer = Placer::new(3);
    let all = workers(&mut placer, 2, Resources::new(16, 65_536));
    tasks.put(&mut placer, all[0], "service", &service());
    for _ in 0..4 {
        tasks.put(&mut placer, all[1], "heavy", heavy);
    }
    placer.set_state(all[1], WorkerState::Closed);
    (placer, all[0])
}

#[test]
fn batch_prefers_a_worker_without_a_service() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 2, Resources::new(16, 65_536));
    tasks.put(&mut placer, all[0], "service", &service());
    let request = tasks.request("heavy", &batch());
    assert_eq!(placed(&placer.choose(&request, NOW)), Some(all[1]));
}

#[test]
fn batch_waits_if_it_would_slow_a_service_too_much() {
    let mut tasks = Tasks::default();
    let heavy = unthrottleable(0.6);
    let (placer, _) = one_service(&mut tasks, &heavy);
    let request = tasks.request("heavy", &heavy);
    assert_eq!(
        placer.choose(&request, NOW),
        Choice::Wait(Reason::TooMuchPressure)
    );
}

struct Admission {
    pressure: f64,
    min_share: f64,
    admitted: bool,
}

#[test_case(Admission { pressure: 0.6, min_share: 0.25, admitted: true }; "tolerable at half its share")]
#[test_case(Admission { pressure: 0.8, min_share: 0.5, admitted: true }; "tolerable at its minimum share")]
#[test_case(Admission { pressure: 0.8, min_share: 0.8, admitted: false }; "minimum share too high")]
#[test_case(Admission { pressure: 0.6, min_share: 1.0, admitted: false }; "not throttleable")]
fn batch_is_placed_beside_a_service_if_half_its_share_is_tolerable(case: Admission) {
    let mut tasks = Tasks::default();
    let heavy = Profile {
        pressure: case.pressure,
        min_share: case.min_share,
        ..batch()
    };
    let (placer, worker) = one_service(&mut tasks, &heavy);
    let request = tasks.request("heavy", &heavy);
    let expected = case.admitted.then_some(worker);
    assert_eq!(placed(&placer.choose(&request, NOW)), expected);
}

#[test]
fn trial_tasks_run_beside_a_service_before_their_pressure_is_measured() {
    let mut tasks = Tasks::default();
    let heavy = Profile {
        pressure: 0.6,
        ..batch()
    };
    let (mut placer, worker) = one_service(&mut tasks, &heavy);
    let other = Profile {
        pressure: 0.6,
        ..batch()
    };
    let mut tried = 0;
    for _ in 0..6 {
        let request = tasks.request("other", &other);
        if let Choice::Place { worker: chosen, .. } = placer.choose(&request, NOW) {
            assert_eq!(chosen, worker);
            let resident = tasks.resident(&request, NOW);
            placer.commit(chosen, resident).expect("the task fits");
            tried += 1;
        }
    }
    assert_eq!(tried, 1);
}

#[test]
fn overdue_batch_is_placed_regardless_of_its_pressure() {
    let mut tasks = Tasks::default();
    let heavy = unthrottleable(1.0);
    let (placer, worker) = one_service(&mut tasks, &heavy);
    let mut request = tasks.request("heavy", &heavy);
    assert_eq!(
        placer.choose(&request, NOW),
        Choice::Wait(Reason::TooMuchPressure)
    );
    request.waited_ms = 2 * heavy.deadline_ms;
    assert_eq!(placed(&placer.choose(&request, NOW)), Some(worker));
}

#[test]
fn higher_worth_is_placed_where_lower_worth_can_be_throttled() {
    let mut tasks = Tasks::default();
    let cheap = Profile {
        worth: 1,
        pressure: 0.4,
        ..batch()
    };
    let (mut placer, worker) = one_service(&mut tasks, &cheap);
    tasks.put(&mut placer, worker, "heavy", &cheap);
    let request_of = |tasks: &mut Tasks, placer: &mut Placer, worth: u32| {
        let profile = Profile {
            worth,
            ..unthrottleable(0.3)
        };
        let request = tasks.request(&format!("worth-{worth}"), &profile);
        let spare = placer.add_worker(Resources::new(16, 65_536), "spare", WorkerState::Closed);
        for _ in 0..4 {
            tasks.put(placer, spare, &request.name, &profile);
        }
        request
    };
    let equal = request_of(&mut tasks, &mut placer, 1);
    assert_eq!(
        placer.choose(&equal, NOW),
        Choice::Wait(Reason::TooMuchPressure)
    );
    let valuable = request_of(&mut tasks, &mut placer, 100);
    assert_eq!(placed(&placer.choose(&valuable, NOW)), Some(worker));
}

#[test]
fn a_worker_to_avoid_is_chosen_only_if_no_other_has_room() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 2, Resources::new(16, 65_536));
    let mut request = tasks.request("work", &batch());
    request.avoid = Some(all[0]);
    assert_eq!(placed(&placer.choose(&request, NOW)), Some(all[1]));
    placer.remove_worker(all[1]);
    assert_eq!(placed(&placer.choose(&request, NOW)), Some(all[0]));
}

#[test]
fn a_team_waits_once_the_shards_part_of_its_quota_is_used() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 4, Resources::new(16, 65_536));
    let declared = declarations("night", Resources::new(8, 65_536), &[("work", &batch())]);
    placer.set_declarations(Arc::new(declared), 0.5);
    let runs: Vec<_> = (0..4)
        .map(|at| tasks.put(&mut placer, all[at], "work", &batch()))
        .collect();
    let request = tasks.request("work", &batch());
    assert_eq!(placer.choose(&request, NOW), Choice::Wait(Reason::Quota));
    placer.release(all[0], runs[0].task);
    assert!(placed(&placer.choose(&request, NOW)).is_some());
}

#[test]
fn a_task_waits_for_room_in_a_full_shard() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(1, 1_024));
    tasks.put(&mut placer, all[0], "work", &batch());
    let request = tasks.request("work", &batch());
    assert_eq!(placer.choose(&request, NOW), Choice::Wait(Reason::NoRoom));
}

#[test]
fn the_only_worker_with_enough_memory_is_found_among_many() {
    let mut placer = Placer::new(3);
    let mut tasks = Tasks::default();
    workers(&mut placer, 500, Resources::new(16, 1_024));
    let large = workers(&mut placer, 1, Resources::new(16, 65_536));
    let mut profile = batch();
    profile.resources = Resources::new(1, 2_048);
    let request = tasks.request("work", &profile);
    assert_eq!(placed(&placer.choose(&request, NOW)), Some(large[0]));
}
