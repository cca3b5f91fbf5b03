//! A quarantined worker gets one probe task at a time.

use test_case::test_case;
use verbenahitch::domain::{Class, Monotonic, Profile, Resources};
use verbenahitch::placement::{Choice, Placer, Reason, WorkerState};

use super::fixture::{Tasks, batch, placed, service};

fn is_probe(choice: &Choice) -> bool {
    matches!(
        choice,
        Choice::Place {
            reason: Reason::Probe,
            ..
        }
    )
}

#[test]
fn one_probe_at_a_time_at_doubling_intervals() {
    let mut placer = Placer::new(1);
    let mut tasks = Tasks::default();
    let worker = placer.add_worker(Resources::new(16, 65_536), "a", WorkerState::Quarantined);
    let mut starts = Vec::new();
    for second in 0..100 {
        let now = Monotonic(1_000 * second);
        let request = tasks.request("work", &batch());
        let choice = placer.choose(&request, now);
        if is_probe(&choice) {
            let resident = tasks.resident(&request, now);
            placer.commit(worker, resident).expect("the task fits");
            let other = tasks.request("work", &batch());
            assert_eq!(placer.choose(&other, now), Choice::Wait(Reason::NoRoom));
            placer.release(worker, request.task);
            starts.push(second);
        }
    }
    assert_eq!(starts, [0, 10, 30, 70]);
}

#[test]
fn a_restored_worker_takes_tasks_again() {
    let mut placer = Placer::new(1);
    let mut tasks = Tasks::default();
    let worker = placer.add_worker(Resources::new(16, 65_536), "a", WorkerState::Quarantined);
    let request = tasks.request("work", &service());
    assert_eq!(placed(&placer.choose(&request, Monotonic(0))), None);
    placer.set_state(worker, WorkerState::Open);
    assert_eq!(placed(&placer.choose(&request, Monotonic(0))), Some(worker));
}

#[test_case(Profile { class: Class::LatencyCritical, ..batch() }; "latency critical")]
#[test_case(Profile { idempotent: false, ..batch() }; "not idempotent")]
#[test_case(Profile { urgent: true, ..batch() }; "urgent")]
fn not_used_as_probe(profile: Profile) {
    let mut placer = Placer::new(1);
    placer.add_worker(Resources::new(16, 65_536), "a", WorkerState::Quarantined);
    let request = Tasks::default().request("work", &profile);
    assert_eq!(placed(&placer.choose(&request, Monotonic(0))), None);
}
