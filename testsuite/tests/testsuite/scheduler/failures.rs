//! Tests of a shard with one failure each.

use test_case::test_case;
use verbenahitch::domain::{JobSpec, Millis, TaskOutcome};
use verbenahitch::event::Kind;
use verbenahitch::port::{EndKind, HostState};

use super::common::{
    RUN_MS, TIMEOUT_MS, assert_guarantees, finish_job, id, log_count, outcome_count, submit_job,
    world,
};
use super::declared::spec;
use super::fake_worker::FAILING_PAYLOAD;
use super::history::ObservedEvent;
use super::world::{MessageFaults, OUTAGE_MS, TASK_LEASE_MS, World};

const TASKS: u32 = 6;

struct Fault {
    profile: &'static str,
    inject: fn(&mut World),
    /// Tasks whose outcome stays unknown.
    unknown: u32,
    /// Whether at least one task has to run again.
    reruns: bool,
}

fn kill_owner(world: &mut World) {
    world.kill(0);
}

fn pause_owner(world: &mut World) {
    world.pause(0);
    world.run_for(8_000);
    world.resume(0);
}

fn release(world: &mut World) {
    world.release(0);
}

fn cut_owner_from_store(world: &mut World) {
    world.owners[0].store_unreachable = true;
    world.run_for(8_000);
    world.owners[0].store_unreachable = false;
}

fn stop_store(world: &mut World) {
    world.store.down = true;
    world.run_for(8_000);
    let now = world.now;
    world.store.recover(now, 3_000);
}

fn lose_commit_answers(world: &mut World) {
    world.message_faults.unanswered = 0.7;
}

fn repeat_and_delay_messages(world: &mut World) {
    world.message_faults = MessageFaults {
        repeated: 0.5,
        late: 0.3,
        ..MessageFaults::default()
    };
}

fn isolate_worker_briefly(world: &mut World) {
    world.isolate_worker(&world.busiest());
    world.run_for(1_000);
    world.partitions.clear();
}

fn isolate_worker_past_lease(world: &mut World) {
    world.isolate_worker(&world.busiest());
    world.run_for(3 * TASK_LEASE_MS);
    world.partitions.clear();
}

fn crash_worker(world: &mut World) {
    world.crash_worker(&world.busiest());
}

fn announce_leaving(world: &mut World) {
    let busiest = world.busiest();
    let host = &mut world
        .workers
        .get_mut(&busiest)
        .expect("a known worker")
        .host;
    host.state = HostState::Leaving;
    world.send_hosts();
}

fn kill_owner_and_crash_worker(world: &mut World) {
    world.kill(0);
    world.crash_worker(&world.busiest());
}

#[test_case(Fault { profile: "recalculation", inject: kill_owner, unknown: 0, reruns: false }; "owner killed")]
#[test_case(Fault { profile: "settlement", inject: kill_owner, unknown: 0, reruns: false }; "owner killed, not idempotent")]
#[test_case(Fault { profile: "settlement", inject: pause_owner, unknown: 0, reruns: false }; "paused owner resumes past its lease")]
#[test_case(Fault { profile: "settlement", inject: release, unknown: 0, reruns: false }; "planned release")]
#[test_case(Fault { profile: "settlement", inject: cut_owner_from_store, unknown: 0, reruns: false }; "owner cut off from the store")]
#[test_case(Fault { profile: "settlement", inject: stop_store, unknown: 0, reruns: false }; "store down")]
#[test_case(Fault { profile: "settlement", inject: lose_commit_answers, unknown: 0, reruns: false }; "commit answers lost")]
#[test_case(Fault { profile: "settlement", inject: repeat_and_delay_messages, unknown: 0, reruns: false }; "messages repeated and delayed")]
#[test_case(Fault { profile: "settlement", inject: isolate_worker_briefly, unknown: 0, reruns: false }; "worker briefly unreachable")]
#[test_case(Fault { profile: "recalculation", inject: isolate_worker_past_lease, unknown: 0, reruns: true }; "worker unreachable past its lease")]
#[test_case(Fault { profile: "settlement", inject: isolate_worker_past_lease, unknown: 4, reruns: false }; "worker unreachable past its lease, not idempotent")]
#[test_case(Fault { profile: "recalculation", inject: crash_worker, unknown: 0, reruns: true }; "worker crashed")]
#[test_case(Fault { profile: "settlement", inject: crash_worker, unknown: 4, reruns: false }; "worker crashed, not idempotent")]
#[test_case(Fault { profile: "settlement", inject: announce_leaving, unknown: 0, reruns: true }; "worker leaving")]
#[test_case(Fault { profile: "recalculation", inject: kill_owner_and_crash_worker, unknown: 0, reruns: true }; "owner killed and worker crashed")]
#[test_case(Fault { profile: "settlement", inject: kill_owner_and_crash_worker, unknown: 4, reruns: false }; "owner killed and worker crashed, not idempotent")]
fn tasks_end_exactly_once(case: Fault) {
    let mut world = world();
    submit_job(&mut world, case.profile, spec(case.profile, TASKS, RUN_MS));
    let started = |world: &World| world.history.start_count() == usize::try_from(TASKS).unwrap();
    assert!(world.run_while(TIMEOUT_MS, |world| !started(world)));
    (case.inject)(&mut world);
    finish_job(&mut world, case.profile);
    assert_guarantees(&world);
    let unknown = outcome_count(&world, case.profile, TaskOutcome::Unknown);
    assert_eq!(unknown, case.unknown);
    assert_eq!(
        outcome_count(&world, case.profile, TaskOutcome::Done),
        TASKS - unknown
    );
    assert_eq!(!started(&world), case.reruns);
}

#[test]
fn a_task_starts_only_after_its_mark_is_stored() {
    let mut world = world();
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", 12, RUN_MS),
    );
    world.store.down = true;
    let marked = world.store.jobs[&id("recalculation")].marked.len();
    assert!((1..12).contains(&marked), "{marked}");
    world.run_for(RUN_MS);
    assert_eq!(
        world.history.start_count(),
        usize::try_from(marked).unwrap()
    );
    let now = world.now;
    world.store.recover(now, 3_000);
    finish_job(&mut world, "recalculation");
    assert_guarantees(&world);
}

/// The owner reaches only w0, and the next owner everything but w0.
fn partition_network(world: &mut World) {
    world.owners[0].store_unreachable = true;
    for (owner, worker) in [(0, "w1"), (0, "w2"), (1, "w0")] {
        world.partitions.insert((owner, worker.to_owned()));
    }
}

/// Calls to w0 arrive after its leases have lapsed, and its answers after the calls timed out.
fn delay_calls_past_lease(world: &mut World) {
    world.delays.insert("w0".to_owned(), 2 * TASK_LEASE_MS);
}

/// The owner releases the shard, and the next owner's first call to w0 arrives late.
fn release_and_delay(world: &mut World) {
    world.release(0);
    world
        .delays
        .insert("w0".to_owned(), TASK_LEASE_MS / 2 + 1_000);
}

#[test_case(partition_network, 3_000, 10_000; "owner renews leases until its authority ends")]
#[test_case(partition_network, 3_000, 60_000; "owner stops renewing when its authority ends")]
#[test_case(delay_calls_past_lease, 0, 10_000; "starts arrive after their lease")]
#[test_case(delay_calls_past_lease, 3_000, 60_000; "renewals arrive after their lease")]
#[test_case(release_and_delay, 3_000, 60_000; "first call of the next owner arrives late")]
fn a_task_runs_in_one_place_at_a_time(inject: fn(&mut World), after: Millis, run_ms: Millis) {
    let mut world = world();
    if after == 0 {
        inject(&mut world);
    }
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", TASKS, run_ms),
    );
    if after > 0 {
        world.run_for(after);
        inject(&mut world);
    }
    world.run_for(OUTAGE_MS + 4 * TASK_LEASE_MS);
    world.owners[0].store_unreachable = false;
    world.partitions.clear();
    world.delays.clear();
    world.run_for(4 * TASK_LEASE_MS);
    finish_job(&mut world, "recalculation");
    assert_guarantees(&world);
}

#[test]
fn a_run_that_continues_past_its_lease_is_stopped() {
    let mut world = world();
    for worker in world.workers.values_mut() {
        worker.ignores_leases = true;
    }
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", TASKS, 600_000),
    );
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 6));
    world.isolate_worker(&world.busiest());
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 10));
    world.partitions.clear();
    world.run_for(1_000);
    let stopped = world.history.observations.iter().filter(|observation| {
        matches!(&observation.event, ObservedEvent::Ended { kind, .. }
            if *kind == Some(EndKind::Stopped))
    });
    assert_eq!(stopped.count(), 4);
}

#[test]
fn a_planned_release_leaves_no_outcome_unknown() {
    let mut world = world();
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", 10, 4 * RUN_MS),
    );
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 10));
    submit_job(&mut world, "settlement", spec("settlement", 8, RUN_MS));
    world.run_for(500);
    assert!(
        world.store.jobs[&id("settlement")].marked.len() > 2,
        "no tasks were marked ahead"
    );
    world.release(0);
    finish_job(&mut world, "settlement");
    assert_eq!(outcome_count(&world, "settlement", TaskOutcome::Done), 8);
    assert_guarantees(&world);
}

#[test]
fn marked_tasks_start_during_a_store_outage() {
    let mut world = world();
    submit_job(
        &mut world,
        "recalculation",
        spec("recalculation", 24, RUN_MS),
    );
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 12));
    world.run_for(200);
    world.store.down = true;
    world.run_for(2 * RUN_MS);
    assert!(
        world.history.start_count() > 12,
        "{}",
        world.history.start_count()
    );
    let now = world.now;
    world.store.recover(now, 3_000);
    finish_job(&mut world, "recalculation");
    assert_guarantees(&world);
}

#[test]
fn a_failing_worker_is_quarantined_but_not_for_a_failing_job() {
    let mut world = world();
    let bad = JobSpec {
        payload: FAILING_PAYLOAD.to_owned(),
        ..spec("recalculation", 6, RUN_MS)
    };
    for number in 0..4 {
        submit_job(&mut world, &format!("bad-{number}"), bad.clone());
    }
    for number in 0..4 {
        finish_job(&mut world, &format!("bad-{number}"));
    }
    assert_eq!(log_count(&world, Kind::WorkerQuarantined), 0);
    world.workers.get_mut("w0").expect("a known worker").fails = true;
    for number in 0..8 {
        submit_job(
            &mut world,
            &format!("good-{number}"),
            spec("recalculation", 4, RUN_MS),
        );
    }
    for number in 0..8 {
        let key = format!("good-{number}");
        finish_job(&mut world, &key);
        assert_eq!(outcome_count(&world, &key, TaskOutcome::Done), 4);
    }
    assert_eq!(log_count(&world, Kind::WorkerQuarantined), 1);
}

#[test]
fn urgent_tasks_start_in_time_and_evicted_tasks_resume() {
    const URGENT_MS: Millis = 4_900;
    let mut world = world();
    submit_job(
        &mut world,
        "overnight",
        spec("recalculation", 12, 4 * RUN_MS),
    );
    assert!(world.run_while(TIMEOUT_MS, |world| world.history.start_count() < 12));
    world.run_for(1_000);
    for number in 0..4 {
        world.submit(
            0,
            &id(&format!("urgent-{number}")),
            spec("urgent", 1, 1_000),
        );
    }
    let urgent = |world: &World| {
        let starts = world.history.observations.iter().filter(|observation| {
            matches!(&observation.event, ObservedEvent::Started { task, .. }
                if task.job.as_str().contains("urgent"))
        });
        starts.count()
    };
    assert!(
        world.run_while(URGENT_MS, |world| urgent(world) < 4),
        "{}",
        urgent(&world)
    );
    finish_job(&mut world, "overnight");
    assert_eq!(outcome_count(&world, "overnight", TaskOutcome::Done), 12);
    assert!(log_count(&world, Kind::Evicted) <= 8);
    assert_guarantees(&world);
}
