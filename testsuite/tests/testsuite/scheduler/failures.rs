//! One failure at a time.

use test_case::test_case;
use verbenahitch::config::ZoneState;
use verbenahitch::domain::{JobId, JobSpec, Millis, TaskOutcome};
use verbenahitch::event::Kind;
use verbenahitch::port::{EndKind, HostState};
use verbenahitch::scheduler::{Answer, Request, SubmitError};

use super::fake_worker::FAILING_PAYLOAD;
use super::history::Seen;
use super::world::{CAPACITY, OUTAGE_MS, PERMIT_MS, RENEW_MS, TASK_LEASE_MS, Weather, World, spec};

const SEED: u64 = 7;
const TASKS: u32 = 6;
/// Longer than a lease lasts without renewal.
const RUN_MS: Millis = 6_000;
/// Long enough for every lease to lapse and every task to run twice more.
const LIMIT_MS: Millis = OUTAGE_MS + 2 * TASK_LEASE_MS + 60_000;

fn id(key: &str) -> JobId {
    JobId::new("market", key)
}

/// World with three workers whose shard is owned and settled.
fn world() -> World {
    let mut world = World::new(SEED, 3);
    assert!(world.run_while(LIMIT_MS, |world| !world.owners[0].shard.is_settled()));
    world
}

fn accept(world: &mut World, key: &str, spec: JobSpec) {
    let owner = world.owner().expect("the shard is owned");
    world.submit(owner, &id(key), spec);
    assert!(world.run_while(LIMIT_MS, |world| !world.accepted.contains(&id(key))));
}

fn finish(world: &mut World, key: &str) {
    let finished = |world: &World| {
        let job = world.store.jobs.get(&id(key));
        job.is_some_and(|job| job.is_finished())
    };
    assert!(
        world.run_while(LIMIT_MS, |world| !finished(world)),
        "{key} never finished"
    );
}

fn count(world: &World, key: &str, outcome: TaskOutcome) -> u32 {
    world.store.jobs[&id(key)].ended.count(outcome)
}

fn assert_promises(world: &World) {
    let found = world
        .history
        .violations(|task| task.job == id("settlement"), CAPACITY, PERMIT_MS);
    assert!(found.is_empty(), "{found:#?}");
}

fn logged(world: &World, kind: Kind) -> usize {
    world
        .entries
        .iter()
        .filter(|entry| entry.kind() == kind)
        .count()
}

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

/// How soon after a zone was taken out nothing more may start.
struct Leaving {
    strike: fn(&mut World),
    allowed_ms: Millis,
}

fn cut_owner(world: &mut World) {
    world.owners[0].cut = true;
}

fn cut_owner_with_slow_calls(world: &mut World) {
    // Just after a renewal, so that the permit lasts as long as it may.
    let renewed = world.now.next_multiple_of(RENEW_MS) + 5;
    world.run_until(renewed);
    world.owners[0].cut = true;
    for name in ["w0", "w1", "w2"] {
        world.slow.insert(name.to_owned(), 250);
    }
}

fn freeze_owner(world: &mut World) {
    world.freeze(0);
}

#[test_case(Leaving { strike: |_| {}, allowed_ms: PERMIT_MS / 2 }; "owner hears of it")]
#[test_case(Leaving { strike: cut_owner, allowed_ms: PERMIT_MS }; "owner is cut from the store")]
#[test_case(Leaving { strike: freeze_owner, allowed_ms: PERMIT_MS }; "owner is paused")]
#[test_case(Leaving { strike: cut_owner_with_slow_calls, allowed_ms: PERMIT_MS }; "owner is cut off and calls are slow")]
fn nothing_starts_in_a_zone_taken_out(case: Leaving) {
    // One of the run times frees room just before the permit lapses, others after.
    for run_ms in (600..2_400).step_by(60) {
        let mut world = world();
        accept(
            &mut world,
            "recalculation",
            spec("recalculation", 40, run_ms),
        );
        assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 12));
        // Time for the next tasks to be marked, which then wait for room.
        world.run_for(200);
        (case.strike)(&mut world);
        world.set_zone(ZoneState::Out);
        world.run_for(2 * PERMIT_MS);
        if world.owners[0].frozen {
            world.wake(0);
        }
        world.run_for(PERMIT_MS);
        let found = world
            .history
            .violations(|_| false, CAPACITY, case.allowed_ms);
        assert!(found.is_empty(), "run time {run_ms}: {found:#?}");
    }
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
fn an_outage_refuses_new_jobs_and_loses_none() {
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
    finish(&mut world, "first");
    assert!(matches!(world.answers[&first], Answer::Accepted(_)));
    assert!(!world.store.jobs.contains_key(&id("second")));
}

struct Refusal {
    spec: JobSpec,
    reason: &'static str,
}

#[test_case(Refusal { spec: spec("nobody", 1, 10), reason: "profile \"nobody\" is not declared" }; "unknown profile")]
#[test_case(Refusal { spec: spec("recalculation", 0, 10), reason: "found 0 tasks" }; "no tasks")]
#[test_case(Refusal { spec: spec("recalculation", u32::MAX, 10), reason: "found 4294967295 tasks" }; "too many tasks")]
#[test_case(Refusal { spec: spec("recalculation", 1, 0), reason: "run time of 0 ms" }; "no run time")]
#[test_case(Refusal { spec: spec("recalculation", 1, 1 << 53), reason: "run time of 9007199254740992 ms" }; "absurd run time")]
#[test_case(Refusal { spec: spec("giant", 1, 10), reason: "can never run" }; "larger than every worker")]
#[test_case(Refusal { spec: JobSpec { payload: "x".repeat(20_000), ..spec("recalculation", 1, 10) }, reason: "payload of 20000 bytes" }; "payload too long")]
fn refusals_name_the_reason(case: Refusal) {
    let mut world = world();
    let request = world.submit(0, &id("refused"), case.spec);
    let refusal = world.refusal(request).expect("a refusal").to_string();
    assert!(refusal.contains(case.reason), "{refusal}");
    world.run_for(1_000);
    assert!(world.store.jobs.is_empty());
}

#[test]
fn a_repeated_submission_is_the_same_job() {
    let mut world = world();
    accept(&mut world, "once", spec("recalculation", 2, RUN_MS));
    let again = world.submit(0, &id("once"), spec("recalculation", 2, RUN_MS));
    let other = world.submit(0, &id("once"), spec("recalculation", 3, RUN_MS));
    assert!(matches!(world.answers[&again], Answer::Accepted(_)));
    assert!(matches!(
        world.refusal(other),
        Some(SubmitError::Mismatch { .. })
    ));
    finish(&mut world, "once");
    assert_eq!(world.history.starts(), 2);
}

#[test]
fn cancelling_stops_what_runs_and_drops_what_waits() {
    let mut world = world();
    accept(&mut world, "long", spec("recalculation", 40, 60_000));
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 12));
    world.ask(0, Request::Cancel(id("long")));
    finish(&mut world, "long");
    assert_eq!(count(&world, "long", TaskOutcome::Cancelled), 40);
    assert_eq!(world.history.starts(), 12);
    world.run_for(1_000);
    assert_eq!(world.owners[0].shard.status().running, 0);
}

#[test]
fn many_submissions_share_few_commits() {
    let mut world = world();
    let before = world.store.batches;
    for number in 0..200 {
        world.submit(
            0,
            &id(&number.to_string()),
            spec("recalculation", 1, 60_000),
        );
    }
    assert!(world.run_while(LIMIT_MS, |world| world.accepted.len() < 200));
    let batches = world.store.batches - before;
    assert!(
        batches <= 8,
        "{batches} batches for 200 jobs of at most 63 a batch"
    );
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

#[test]
fn a_zone_taken_out_hands_its_jobs_over_with_their_checkpoints() {
    let mut world = world();
    accept(&mut world, "moved", spec("settlement", 3, 20_000));
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 3));
    world.run_for(2_000);
    world.set_zone(ZoneState::Out);
    let moved = |world: &World| world.store.moved.contains_key(&id("moved"));
    assert!(world.run_while(LIMIT_MS, |world| !moved(world)));
    let (shard, record) = &world.store.moved[&id("moved")];
    assert_eq!(shard.to_string(), "west-0");
    assert!(record.marked.is_empty());
    assert_eq!(record.checkpoints.len(), 3);
    assert!(
        record
            .checkpoints
            .values()
            .all(|checkpoint| checkpoint.progress_ms >= 2_000)
    );
    assert_promises(&world);
}

#[test]
fn an_adopted_job_goes_on_from_its_checkpoints() {
    let mut world = world();
    accept(&mut world, "moved", spec("settlement", 3, 20_000));
    assert!(world.run_while(LIMIT_MS, |world| world.history.starts() < 3));
    world.set_zone(ZoneState::Out);
    assert!(world.run_while(LIMIT_MS, |world| world.store.moved.is_empty()));
    world.set_zone(ZoneState::In);
    world.run_for(2_000);
    let (_, record) = world
        .store
        .moved
        .remove(&id("moved"))
        .expect("the job was moved");
    for _ in 0..2 {
        world.ask(0, Request::Adopt(Box::new(record.clone())));
    }
    finish(&mut world, "moved");
    assert_eq!(count(&world, "moved", TaskOutcome::Done), 3);
    let resumed = world.history.facts.iter().filter(
        |fact| matches!(&fact.seen, Seen::Started { checkpoint_ms, .. } if *checkpoint_ms > 0),
    );
    assert_eq!(resumed.count(), 3);
}
