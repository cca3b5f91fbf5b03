//! Urgent tasks evict the least possible worth to make room.

use test_case::test_case;
use verbenahitch::domain::{Class, Eviction, Monotonic, Profile, Resources};
use verbenahitch::placement::{Choice, Placer, Reason};

use super::fixture::{Tasks, batch, placed, workers};

const NOW: Monotonic = Monotonic(500);

fn urgent(cores: u64) -> Profile {
    Profile {
        urgent: true,
        resources: Resources::new(cores, 1_024),
        ..batch()
    }
}

struct Case {
    /// Worth and cores of the tasks of each worker of 4 cores.
    workers: [&'static [(u32, u64)]; 2],
    need: u64,
    /// Expected worker, and worths of its tasks to evict.
    evicted: (usize, &'static [u32]),
}

#[test_case(Case { workers: [&[(5, 4)], &[(3, 4)]], need: 1, evicted: (1, &[3]) }; "the worker with the least worth")]
#[test_case(Case { workers: [&[(9, 2), (1, 2)], &[(4, 4)]], need: 2, evicted: (0, &[1]) }; "the task of least worth on a worker")]
#[test_case(Case { workers: [&[(1, 1), (2, 2), (9, 1)], &[(4, 4)]], need: 2, evicted: (0, &[2]) }; "no task whose eviction is not needed")]
#[test_case(Case { workers: [&[(2, 2), (2, 2)], &[(3, 4)]], need: 4, evicted: (1, &[3]) }; "least sum of several tasks")]
fn evicts_the_least_worth(case: Case) {
    let mut placer = Placer::new(5);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 2, Resources::new(4, 65_536));
    for (at, loads) in case.workers.iter().enumerate() {
        for (worth, cores) in *loads {
            let resources = Resources::new(*cores, 1_024);
            let profile = Profile {
                worth: *worth,
                resources,
                ..batch()
            };
            tasks.put(&mut placer, all[at], &format!("worth-{worth}"), &profile);
        }
    }
    let request = tasks.request("urgent", &urgent(case.need));
    let Choice::Evict { worker, evicted } = placer.choose(&request, NOW) else {
        panic!("expected an eviction");
    };
    let worths: Vec<u32> = placer
        .residents(worker)
        .filter(|resident| evicted.contains(&resident.task))
        .map(|resident| resident.profile.worth)
        .collect();
    assert_eq!(
        (worker, worths.as_slice()),
        (all[case.evicted.0], case.evicted.1)
    );
}

#[test_case(Profile { class: Class::LatencyCritical, ..batch() }; "latency critical")]
#[test_case(Profile { urgent: true, ..batch() }; "urgent itself")]
#[test_case(Profile { eviction: Eviction { allowed: false, ..Eviction::default() }, ..batch() }; "eviction not allowed")]
#[test_case(Profile { eviction: Eviction { hourly_budget: 0, ..Eviction::default() }, ..batch() }; "no budget")]
fn not_evicted(profile: Profile) {
    let mut placer = Placer::new(5);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(1, 65_536));
    tasks.put(&mut placer, all[0], "resident", &profile);
    let request = tasks.request("urgent", &urgent(1));
    assert_eq!(placer.choose(&request, NOW), Choice::Wait(Reason::NoRoom));
}

#[test]
fn work_that_is_not_urgent_evicts_nothing() {
    let mut placer = Placer::new(5);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(1, 65_536));
    tasks.put(
        &mut placer,
        all[0],
        "resident",
        &Profile {
            worth: 1,
            ..batch()
        },
    );
    let request = tasks.request(
        "other",
        &Profile {
            worth: 1_000,
            ..batch()
        },
    );
    assert_eq!(placer.choose(&request, NOW), Choice::Wait(Reason::NoRoom));
}

#[test]
fn room_freed_by_an_eviction_is_reserved_for_its_task() {
    let mut placer = Placer::new(5);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(2, 65_536));
    let runs = [(); 2].map(|()| tasks.put(&mut placer, all[0], "work", &batch()));
    let first = tasks.request("urgent", &urgent(1));
    let Choice::Evict { worker, evicted } = placer.choose(&first, NOW) else {
        panic!("expected an eviction");
    };
    placer.record_evictions(&first, worker, &evicted, NOW);
    assert_eq!(placer.choose(&first, NOW), Choice::Wait(Reason::Promised));
    let second = tasks.request("urgent", &urgent(1));
    let Choice::Evict {
        evicted: others, ..
    } = placer.choose(&second, NOW)
    else {
        panic!("expected an eviction for the second task");
    };
    assert_ne!(evicted, others);
    let run = runs
        .iter()
        .find(|run| evicted.contains(&run.task))
        .expect("the run is one of the runs");
    placer.release(worker, run.task);
    let batch_request = tasks.request("work", &batch());
    assert_eq!(placed(&placer.choose(&batch_request, NOW)), None);
    assert_eq!(placed(&placer.choose(&first, NOW)), Some(worker));
    assert!(placer.mitigate(Monotonic(60_000)).is_empty());
    assert_eq!(
        placed(&placer.choose(&batch_request, Monotonic(60_000))),
        Some(worker)
    );
}

#[test]
fn an_eviction_counts_against_the_budget_for_an_hour() {
    let mut placer = Placer::new(5);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(1, 65_536));
    let eviction = Eviction {
        hourly_budget: 1,
        ..Eviction::default()
    };
    let run = tasks.put(
        &mut placer,
        all[0],
        "work",
        &Profile {
            eviction,
            ..batch()
        },
    );
    let request = tasks.request("urgent", &urgent(1));
    placer.record_evictions(&request, all[0], &[run.task], NOW);
    placer.mitigate(Monotonic(60_000));
    let other = tasks.request("urgent", &urgent(1));
    assert_eq!(
        placer.choose(&other, Monotonic(60_000)),
        Choice::Wait(Reason::NoRoom)
    );
    let later = Monotonic(3_700_000);
    assert!(matches!(placer.choose(&other, later), Choice::Evict { .. }));
}
