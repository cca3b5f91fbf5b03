//! One failure at a time.

use test_case::test_case;
use verbenahitch::domain::{JobSpec, Millis, TaskOutcome};
use verbenahitch::event::Kind;
use verbenahitch::port::{EndKind, HostState};

use super::common::{LIMIT_MS, RUN_MS, accept, assert_promises, count, finish, id, logged, world};
use super::declared::spec;
use super::fake_worker::FAILING_PAYLOAD;
use super::history::Seen;
use super::world::{OUTAGE_MS, TASK_LEASE_MS, Weather, World};

const TASKS: u32 = 6;

struct Fault {
    profile: &'static str,
    strike: fn(&mut World),
    /// Tasks whose outcome stays unknown.
    unknown: u32,
    /// Whether some task has to run again.
    reruns: bool,
}

fn kill_owner(world: &mut World) {
    world.kill(0);
}

fn pause_owner(world: &mut World) {
    world.freeze(0);
    world.run_for(8_000);
    world.wake(0);
}

fn release(world: &mut World) {
    world.release(0);
}

fn cut_owner_from_store(world: &mut World) {
    world.owners[0].cut = true;
    world.run_for(8_000);
    world.owners[0].cut = false;
}

fn store_outage(world: &mut World) {
    world.store.down = true;
    world.run_for(8_000);
    let now = world.now;
    world.store.recover(now, 3_000);
}

fn answers_lost(world: &mut World) {
    world.weather.unanswered = 0.7;
}

fn messages_crossed(world: &mut World) {
    world.weather = Weather {
        repeated: 0.5,
        late: 0.3,
        ..Weather::default()
    };
}

fn cut_worker_briefly(world: &mut World) {
    world.cut_worker("w0");
    world.run_for(1_000);
    world.cuts.clear();
}

fn cut_worker_long(world: &mut World) {
    world.cut_worker("w0");
    world.run_for(3 * TASK_LEASE_MS);
    world.cuts.clear();
}

fn crash_worker(world: &mut World) {
    world.crash_worker("w0");
}

fn worker_leaves(world: &mut World) {
    let host = &mut world.workers.get_mut("w0").expect("a known worker").host;
    host.state = HostState::Leaving;
    world.list_hosts();
}

fn owner_and_worker_die(world: &mut World) {
    world.kill(0);
    world.crash_worker("w0");
}

#[test_case(Fault { profile: "recalculation", strike: kill_owner, unknown: 0, reruns: false }; "owner killed")]
#[test_case(Fault { profile: "settlement", strike: kill_owner, unknown: 0, reruns: false }; "owner killed, not idempotent")]
#[test_case(Fault { profile: "settlement", strike: pause_owner, unknown: 0, reruns: false }; "paused owner wakes past its lease")]
#[test_case(Fault { profile: "settlement", strike: release, unknown: 0, reruns: false }; "planned release")]
#[test_case(Fault { profile: "settlement", strike: cut_owner_from_store, unknown: 0, reruns: false }; "owner cut from the store")]
#[test_case(Fault { profile: "settlement", strike: store_outage, unknown: 0, reruns: false }; "store down")]
#[test_case(Fault { profile: "settlement", strike: answers_lost, unknown: 0, reruns: false }; "commit answers lost")]
#[test_case(Fault { profile: "settlement", strike: messages_crossed, unknown: 0, reruns: false }; "messages repeated and crossed")]
#[test_case(Fault { profile: "settlement", strike: cut_worker_briefly, unknown: 0, reruns: false }; "worker briefly unreachable")]
#[test_case(Fault { profile: "recalculation", strike: cut_worker_long, unknown: 0, reruns: true }; "worker unreachable past its lease")]
#[test_case(Fault { profile: "settlement", strike: cut_worker_long, unknown: 4, reruns: false }; "worker unreachable past its lease, not idempotent")]
#[test_case(Fault { profile: "recalculation", strike: crash_worker, unknown: 0, reruns: true }; "worker crashed")]
#[test_case(Fault { profile: "settlement", strike: crash_worker, unknown: 4, reruns: false }; "worker crashed, not idempotent")]
#[test_case(Fault { profile: "settlement", strike: worker_leaves, unknown: 0, reruns: true }; "worker leaving")]
#[test_case(Fault { profile: "recalculation", strike: owner_and_worker_die, unknown: 0, reruns: true }; "owner and worker die")]
#[test_case(Fault { profile: "settlement", strike: owner_and_worker_die, unknown: 4, reruns: false }; "owner and worker die, not idempotent")]
fn tasks_end_once(case: Fault) {
    let mut world = world();
    accept(&mut world, case.profile, spec(case.profile, TASKS, RUN_MS));
    let started = |world: &World| world.history.starts() == usize::try_from(TASKS).unwrap();
    assert!(world.run_while(LIMIT_MS, |world| !started(world)));
    (case.strike)(&mut world);
    finish(&mut world, case.profile);
    assert_promises(&world);
    let unknown = count(&world, case.profile, TaskOutcome::Unknown);
    assert_eq!(unknown, case.unknown);
    assert_eq!(
        count(&world, case.profile, TaskOutcome::Done),
        TASKS - unknown
    );
    assert_eq!(!started(&world), case.reruns);
}

#[test]
fn nothing_starts_before_the_store_holds_its_mark() {
    let mut world = world();
    accept(
        &mut world,
        "recalculation",
        spec("recalculation", 12, RUN_MS),
    );
    world.store.down = true;
    let marked = world.store.jobs[&id("recalculation")].marked.len();
    assert!((1..12).contains(&marked), "{marked}");
    world.run_for(RUN_MS);
    assert_eq!(world.history.starts(), usize::try_from(marked).unwrap());
    let now = world.now;
    world.store.recover(now, 3_000);
    finish(&mut world, "recalculation");
    assert_promises(&world);
}

/// The owner reaches nothing but w0, and the next one all but w0.
fn split(world: &mut World) {
    world.owners[0].cut = true;
    for (owner, worker) in [(0, "w1"), (0, "w2"), (1, "w0")] {
        world.cuts.insert((owner, worker.to_owned()));
    }
}

/// Calls to w0 arrive after its leases have lapsed, and its answers never.
fn delay_calls(world: &mut World) {
    world.slow.insert("w0".to_owned(), 2 * TASK_LEASE_MS);
}

/// The owner leaves, and the next one's first call to w0 arrives late.
fn release_and_delay(world: &mut World) {
    world.release(0);
    world
        .slow
        .insert("w0".to_owned(), TASK_LEASE_MS / 2 + 1_000);
}

#[test_case(split, 3_000, 10_000; "owner renews leases until its authority ends")]
#[test_case(split, 3_000, 60_000; "owner stops renewing when its authority ends")]
#[test_case(delay_calls, 0, 10_000; "starts arrive after their lease")]
#[test_case(delay_calls, 3_000, 60_000; "renewals arrive after their lease")]
#[test_case(release_and_delay, 3_000, 60_000; "first call of the next owner arrives late")]
fn a_task_runs_in_one_place(strike: fn(&mut World), after: Millis, run_ms: Millis) {
    let mut world = world();
    if after == 0 {
        strike(&mut world);
    }
    accept(
        &mut world,
        "recalculation",
        spec("recalculation", TASKS, run_ms),
    );
    if after > 0 {
        world.run_for(after);
        strike(&mut world);
    }
    world.run_for(OUTAGE_MS + 4 * TASK_LEASE_MS);
    world.owners[0].cut = false;
    world.cuts.clear();
    world.slow.clear();
    world.run_for(4 * TASK_LEASE_MS);
    finish(&mut world, "recalculation");
    assert_promises(&world);
}

#[test]
fn a_run_that_outlived_its_lease_is_stopped() {
    let mut world = world();
    world.workers.get_mut("w0").expect("a known worker").lawless = true;
    accept(
        &mut world,
        "recalculation",
        spec("recalculation", TASKS, 600_000),
    );
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 6));
    world.cut_worker("w0");
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 10));
    world.cuts.clear();
    world.run_for(1_000);
    let stopped = world.history.facts.iter().filter(
        |fact| matches!(&fact.seen, Seen::Ended { kind, .. } if *kind == Some(EndKind::Stopped)),
    );
    assert_eq!(stopped.count(), 4);
}

#[test]
fn a_planned_release_leaves_no_outcome_unknown() {
    let mut world = world();
    accept(
        &mut world,
        "recalculation",
        spec("recalculation", 10, 4 * RUN_MS),
    );
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 10));
    accept(&mut world, "settlement", spec("settlement", 8, RUN_MS));
    world.run_for(500);
    assert!(
        world.store.jobs[&id("settlement")].marked.len() > 2,
        "marked ahead"
    );
    world.release(0);
    finish(&mut world, "settlement");
    assert_eq!(count(&world, "settlement", TaskOutcome::Done), 8);
    assert_promises(&world);
}

#[test]
fn marked_tasks_start_during_an_outage() {
    let mut world = world();
    accept(
        &mut world,
        "recalculation",
        spec("recalculation", 24, RUN_MS),
    );
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 12));
    world.run_for(200);
    world.store.down = true;
    world.run_for(2 * RUN_MS);
    assert!(world.history.starts() > 12, "{}", world.history.starts());
    let now = world.now;
    world.store.recover(now, 3_000);
    finish(&mut world, "recalculation");
    assert_promises(&world);
}

#[test]
fn a_failing_worker_is_quarantined_and_a_failing_job_is_not_its_fault() {
    let mut world = world();
    let bad = JobSpec {
        payload: FAILING_PAYLOAD.to_owned(),
        ..spec("recalculation", 6, RUN_MS)
    };
    for number in 0..4 {
        accept(&mut world, &format!("bad-{number}"), bad.clone());
    }
    for number in 0..4 {
        finish(&mut world, &format!("bad-{number}"));
    }
    assert_eq!(logged(&world, Kind::WorkerQuarantined), 0);
    world.workers.get_mut("w0").expect("a known worker").fails = true;
    for number in 0..8 {
        accept(
            &mut world,
            &format!("good-{number}"),
            spec("recalculation", 4, RUN_MS),
        );
    }
    for number in 0..8 {
        let key = format!("good-{number}");
        finish(&mut world, &key);
        assert_eq!(count(&world, &key, TaskOutcome::Done), 4);
    }
    assert_eq!(logged(&world, Kind::WorkerQuarantined), 1);
}

#[test]
fn urgent_work_starts_in_time_and_what_it_evicts_resumes() {
    const URGENT_MS: Millis = 4_900;
    let mut world = world();
    accept(
        &mut world,
        "overnight",
        spec("recalculation", 12, 4 * RUN_MS),
    );
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 12));
    world.run_for(1_000);
    for number in 0..4 {
        world.submit(
            0,
            &id(&format!("urgent-{number}")),
            spec("urgent", 1, 1_000),
        );
    }
    let urgent = |world: &World| {
        let starts = world.history.facts.iter().filter(|fact| {
            matches!(&fact.seen, Seen::Started { task, .. }
                if task.job.as_str().contains("urgent"))
        });
        starts.count()
    };
    assert!(
        world.run_while(URGENT_MS, |world| urgent(world) < 4),
        "{}",
        urgent(&world)
    );
    finish(&mut world, "overnight");
    assert_eq!(count(&world, "overnight", TaskOutcome::Done), 12);
    assert!(logged(&world, Kind::Evicted) <= 8);
    assert_promises(&world);
}
