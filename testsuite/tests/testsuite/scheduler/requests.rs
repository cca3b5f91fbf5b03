//! Answers to callers, and the effects of their requests on jobs.

use test_case::test_case;
use verbenahitch::domain::{JobSpec, TaskOutcome};
use verbenahitch::port::HostState;
use verbenahitch::scheduler::{Answer, Request, SubmitError};

use super::common::{RUN_MS, TIMEOUT_MS, finish_job, id, outcome_count, submit_job, world};
use super::declared::spec;

struct Refusal {
    spec: JobSpec,
    reason: &'static str,
}

#[test]
fn new_jobs_are_refused_during_an_outage_and_pending_ones_are_kept() {
    let mut world = world();
    world.store.down = true;
    let first = world.submit(0, &id("first"), spec("recalculation", 1, RUN_MS));
    world.run_for(1_000);
    let second = world.submit(0, &id("second"), spec("recalculation", 1, RUN_MS));
    world.run_for(1_000);
    assert_eq!(world.answers.get(&first), None);
    assert!(matches!(
        world.refusal(second),
        Some(SubmitError::Unavailable { .. })
    ));
    let now = world.now;
    world.store.recover(now, 3_000);
    finish_job(&mut world, "first");
    assert!(matches!(world.answers[&first], Answer::Accepted(_)));
    assert!(!world.store.jobs.contains_key(&id("second")));
}

#[test_case(Refusal { spec: spec("nobody", 1, 10), reason: "profile \"nobody\" is not declared" }; "unknown profile")]
#[test_case(Refusal { spec: spec("recalculation", 0, 10), reason: "found 0 tasks" }; "no tasks")]
#[test_case(Refusal { spec: spec("recalculation", u32::MAX, 10), reason: "found 4294967295 tasks" }; "too many tasks")]
#[test_case(Refusal { spec: spec("recalculation", 1, 0), reason: "run time of 0 ms" }; "no run time")]
#[test_case(Refusal { spec: spec("recalculation", 1, 1 << 53), reason: "run time of 9007199254740992 ms" }; "run time too long")]
#[test_case(Refusal { spec: spec("giant", 1, 10), reason: "can never run" }; "larger than every worker")]
#[test_case(Refusal { spec: JobSpec { payload: "x".repeat(20_000), ..spec("recalculation", 1, 10) }, reason: "payload of 20000 bytes" }; "payload too long")]
fn a_refusal_states_its_reason(case: Refusal) {
    let mut world = world();
    let request = world.submit(0, &id("refused"), case.spec);
    let refusal = world.refusal(request).expect("a refusal").to_string();
    assert!(refusal.contains(case.reason), "{refusal}");
    world.run_for(1_000);
    assert!(world.store.jobs.is_empty());
}

#[test]
fn a_repeated_submission_returns_the_same_job() {
    let mut world = world();
    submit_job(&mut world, "once", spec("recalculation", 2, RUN_MS));
    let repeated = world.submit(0, &id("once"), spec("recalculation", 2, RUN_MS));
    let changed = world.submit(0, &id("once"), spec("recalculation", 3, RUN_MS));
    assert!(matches!(world.answers[&repeated], Answer::Accepted(_)));
    assert!(matches!(
        world.refusal(changed),
        Some(SubmitError::Mismatch { .. })
    ));
    finish_job(&mut world, "once");
    assert_eq!(world.history.start_count(), 2);
}

#[test]
fn cancelling_a_job_stops_its_running_tasks_and_drops_its_queued_ones() {
    let mut world = world();
    submit_job(&mut world, "long", spec("recalculation", 40, 60_000));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 12));
    world.send_request(0, Request::Cancel(id("long")));
    finish_job(&mut world, "long");
    assert_eq!(outcome_count(&world, "long", TaskOutcome::Cancelled), 40);
    assert_eq!(world.history.start_count(), 12);
    world.run_for(1_000);
    assert_eq!(world.owners[0].shard.status().running, 0);
}

#[test]
fn many_submissions_are_batched_into_few_commits() {
    let mut world = world();
    let before = world.store.batches;
    for number in 0..200 {
        world.submit(
            0,
            &id(&number.to_string()),
            spec("recalculation", 1, 60_000),
        );
    }
    assert!(world.run_while(TIMEOUT_MS, |world| world.accepted.len() < 200));
    let batches = world.store.batches - before;
    assert!(batches <= 8, "{batches} batches for 200 jobs, 30 a batch");
}

#[test]
fn status_shows_the_state_of_each_worker() {
    let mut world = world();
    submit_job(&mut world, "long", spec("recalculation", 2, 60_000));
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 2));
    world.run_for(1_000);
    let busiest = world.busiest();
    let names = ["w0", "w1", "w2"];
    let others: Vec<&str> = names.into_iter().filter(|name| *name != busiest).collect();
    let leaving = world.workers.get_mut(others[0]).expect("a known worker");
    leaving.host.state = HostState::Leaving;
    world.send_hosts();
    world.isolate_worker(others[1]);
    world.run_for(2_000);
    let status = world.owners[0].shard.status();
    let state = |name: &str| {
        let mut workers = status.workers.iter();
        let worker = workers.find(|worker| worker.name == name);
        worker.map(|worker| (worker.state.as_str(), worker.committed_percent))
    };
    assert_eq!(state(&busiest), Some(("open", 50)));
    assert_eq!(state(others[0]), Some(("leaving", 0)));
    assert_eq!(state(others[1]), Some(("not answering", 0)));
    assert_eq!(status.workers.len(), 3);
    assert_eq!(
        (status.running, status.queued, status.permitted),
        (2, 0, true)
    );
}
