//! Caps of client accounts.

use proptest::prelude::*;
use test_case::test_case;
use verbenahitch::dispatch::{Amount, InUse, JobState, admits};
use verbenahitch::domain::Millis;

use super::world::{World, account, cores, filler, job, standing, step};

struct Case {
    cap: Amount,
    held: Amount,
    late: Amount,
    task: Amount,
    admitted: bool,
}

fn memory(mb: u64) -> Amount {
    Amount {
        memory_mb: mb,
        ..Amount::default()
    }
}

#[test_case(Case { cap: cores(10), held: cores(8), late: cores(0), task: cores(2), admitted: true }; "up to the cap")]
#[test_case(Case { cap: cores(10), held: cores(9), late: cores(0), task: cores(2), admitted: false }; "not into the overshoot")]
#[test_case(Case { cap: cores(10), held: cores(8), late: cores(1), task: cores(2), admitted: true }; "late starts use the overshoot")]
#[test_case(Case { cap: cores(10), held: cores(8), late: cores(2), task: cores(2), admitted: false }; "late starts use no more")]
#[test_case(Case { cap: cores(10), held: cores(4), late: cores(0), task: cores(12), admitted: true }; "a large task while little is held")]
#[test_case(Case { cap: cores(10), held: cores(5), late: cores(0), task: cores(12), admitted: false }; "no large task beside half")]
#[test_case(Case { cap: cores(10), held: cores(4), late: cores(7), task: cores(1), admitted: true }; "late starts do not stop an account")]
#[test_case(Case { cap: cores(10), held: cores(4), late: cores(8), task: cores(1), admitted: false }; "late starts beyond the bound")]
#[test_case(Case { cap: Amount::default(), held: cores(900), late: cores(9), task: cores(9), admitted: true }; "zero is no limit")]
#[test_case(Case { cap: memory(100), held: memory(90), late: cores(0), task: memory(20), admitted: false }; "memory")]
#[test_case(Case { cap: memory(100), held: memory(120), late: cores(0), task: cores(1), admitted: true }; "a task that takes nothing of it")]
fn admission(case: Case) {
    let in_use = InUse {
        held: case.held,
        late: case.late,
    };
    assert_eq!(admits(case.cap, 0.1, in_use, case.task), case.admitted);
}

/// World whose account `a` may use 8 of 64 cores, with more work than that.
fn capped_world() -> World {
    let mut world = World::new(4);
    world.declare_accounts(vec![
        account("a", 1.0, cores(8)),
        account("b", 1.0, cores(0)),
    ]);
    world.submit_for("a", 1, "batch", job(vec![step(20, 2, 1_000)]));
    world
}

fn assert_kept(world: &World) {
    world.ledger.assert_once();
    assert!(
        world.usage.violations.is_empty(),
        "{:#?}",
        world.usage.violations
    );
}

#[test]
fn an_account_runs_up_to_its_cap_and_no_more() {
    let mut world = capped_world();
    let other = world.submit_for("b", 2, "batch", job(vec![step(20, 2, 300)]));
    for _ in 0..10 {
        world.run(100);
        assert!(world.cores_of("a") <= 8);
    }
    assert_eq!(world.state(other), Some(JobState::Completed));
    world.run(5_500);
    assert_eq!(world.finished.len(), 2);
    assert_kept(&world);
}

#[test]
fn fillers_count_in_full() {
    let mut world = World::new(4);
    world.declare_accounts(vec![account("a", 1.0, cores(8))]);
    world.submit_for("a", 1, "batch", job(vec![filler(8, 4, 500, "light")]));
    world.run(400);
    assert_eq!(world.cores_of("a"), 8);
    world.run(4_000);
    assert_eq!(world.finished.len(), 1);
}

/// Small tasks must not keep the cap full for ever while an earlier large one waits.
#[test]
fn small_tasks_do_not_starve_a_large_one() {
    let mut world = World::new(4);
    world.declare_accounts(vec![account("a", 1.0, cores(8))]);
    for id in 0..60 {
        world.submit_for("a", 10 + id, "batch", job(vec![step(1, 2, 500)]));
    }
    world.run(300);
    let large = world.submit_for("a", 1, "push", job(vec![step(1, 7, 300)]));
    world.run(2_000);
    assert_eq!(world.state(large), Some(JobState::Completed));
    assert_kept(&world);
}

/// A cap that falls stops no run, and nothing starts before there is room.
#[test]
fn a_cap_that_falls_stops_no_run() {
    let mut world = capped_world();
    world.run(500);
    assert_eq!(world.cores_of("a"), 8);
    let started = world.starts.len();
    world.declare_accounts(vec![account("a", 1.0, cores(4))]);
    world.run(300);
    assert_eq!((world.cores_of("a"), world.starts.len()), (8, started));
    world.run(1_000);
    assert_eq!(world.cores_of("a"), 4);
    assert_kept(&world);
}

/// Assignments whose record is under way when the cap falls are not ordered.
#[test]
fn recorded_starts_do_not_exceed_a_fallen_cap() {
    let mut world = capped_world();
    world.commit_ms = 300;
    world.run(200);
    world.declare_accounts(vec![account("a", 1.0, cores(4))]);
    world.run(700);
    assert_eq!(world.cores_of("a"), 4);
    assert_kept(&world);
}

/// Several starts without an answer must not wait for each other's room under a fallen cap.
/// Together they exceed it, so the account waits until they can no longer be carried out,
/// 15 s.
#[test]
fn unanswered_starts_do_not_block_each_other_under_a_fallen_cap() {
    let mut world = World::new(1);
    world.declare_accounts(vec![account("a", 1.0, cores(9))]);
    world.run(200);
    world.workers.get_mut("w00").unwrap().silent = true;
    let id = world.submit_for("a", 1, "batch", job(vec![step(3, 3, 100)]));
    world.run(200);
    world.declare_accounts(vec![account("a", 1.0, cores(3))]);
    world.run(200);
    world.workers.get_mut("w00").unwrap().silent = false;
    world.run(20_000);
    assert_eq!(world.state(id), Some(JobState::Completed));
    assert_kept(&world);
}

/// Both owners together keep to the cap: the former one runs on in its zone, and its
/// successor counts what it inherits.
#[test]
fn the_cap_holds_on_both_sides_of_a_change_of_owner() {
    let mut world = capped_world();
    world.submit_for("a", 2, "batch", job(vec![standing(1, 2, "stand")]));
    world.run(600);
    world.split_owner(&["w00"]);
    for _ in 0..100 {
        world.run(100);
        assert!(world.cores_of("a") <= 8);
    }
    assert_kept(&world);
}

/// The owner is killed after the store holds its assignments and before it orders them.
#[test]
fn a_successor_counts_assignments_that_were_never_ordered() {
    let mut world = capped_world();
    world.commit_ms = 50;
    while world.records.is_empty() {
        assert!(world.starts.is_empty());
        world.run(5);
    }
    world.take_over();
    for _ in 0..30 {
        world.run(100);
        assert!(world.cores_of("a") <= 8);
    }
    world.run(4_000);
    assert_eq!(world.finished.len(), 1);
    assert_kept(&world);
}

/// Starts whose answers are lost count while their worker cannot be reached.
#[test]
fn runs_on_a_silent_worker_count() {
    let mut world = capped_world();
    world.run(500);
    for worker in world.workers.values_mut() {
        worker.silent = worker.info.name != "w03";
    }
    for _ in 0..30 {
        world.run(100);
        assert!(world.cores_of("a") <= 8);
    }
    assert_kept(&world);
}

/// An owner that knows no declarations starts nothing for jobs with an account.
#[test]
fn nothing_starts_before_the_declarations_are_known() {
    let mut world = World::new(2);
    world.dispatcher.declare(&[], &[], &[]);
    world.submit_for("a", 1, "batch", job(vec![step(2, 2, 300)]));
    let plain = world.submit(2, "batch", job(vec![step(2, 2, 300)]));
    world.run(1_000);
    assert_eq!(world.cores_of("a"), 0);
    assert_eq!(world.state(plain), Some(JobState::Completed));
    world.declare_accounts(vec![account("a", 1.0, cores(8))]);
    world.run(1_000);
    assert_eq!(world.finished.len(), 2);
}

/// One event of a schedule.
#[derive(Clone, Copy, Debug)]
enum Event {
    Submit {
        account: usize,
        count: u32,
        cores: u64,
        millis: Millis,
    },
    Cap {
        account: usize,
        cores: u64,
    },
    TakeOver,
    Restart {
        worker: usize,
    },
    Silence {
        worker: usize,
        lasts: bool,
    },
    LoseAnswers {
        worker: usize,
        lasts: bool,
    },
    Delay {
        worker: usize,
        millis: Option<Millis>,
    },
}

const ACCOUNTS: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 3;

fn event() -> impl Strategy<Value = Event> {
    let submit = (0..3_usize, 1..8_u32, 1..6_u64, 100..1_500_u64);
    prop_oneof![
        6 => submit.prop_map(|(account, count, cores, millis)| Event::Submit { account, count, cores, millis }),
        2 => (0..3_usize, 3..16_u64).prop_map(|(account, cores)| Event::Cap { account, cores }),
        2 => Just(Event::TakeOver),
        1 => (0..WORKERS).prop_map(|worker| Event::Restart { worker }),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, lasts)| Event::Silence { worker, lasts }),
        2 => (0..WORKERS, any::<bool>()).prop_map(|(worker, lasts)| Event::LoseAnswers { worker, lasts }),
        1 => (0..WORKERS, proptest::option::of(50..1_500_u64)).prop_map(|(worker, millis)| Event::Delay { worker, millis }),
    ]
}

fn apply(world: &mut World, event: Event, id: u64) {
    let name = |worker: usize| format!("w{worker:02}");
    let now = world.now;
    match event {
        Event::Submit {
            account,
            count,
            cores,
            millis,
        } => {
            world.submit_for(
                ACCOUNTS[account],
                id,
                "batch",
                job(vec![step(count, cores, millis)]),
            );
        }
        Event::Cap {
            account,
            cores: count,
        } => {
            let mut accounts = world.usage.accounts.clone();
            accounts[account].cap = cores(count);
            world.declare_accounts(accounts);
        }
        Event::TakeOver => world.take_over(),
        Event::Restart { worker } => {
            world
                .workers
                .get_mut(&name(worker))
                .unwrap()
                .restart(now, 300);
        }
        Event::Silence { worker, lasts } => {
            world.workers.get_mut(&name(worker)).unwrap().silent = lasts;
        }
        Event::LoseAnswers { worker, lasts } => {
            world
                .workers
                .get_mut(&name(worker))
                .unwrap()
                .drops_start_answers = lasts;
        }
        Event::Delay { worker, millis } => {
            world.workers.get_mut(&name(worker)).unwrap().order_delay = millis;
        }
    }
}

/// Number of schedules; `CAP_SCHEDULES` sets another one.
fn schedules() -> u32 {
    let set = std::env::var("CAP_SCHEDULES").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: schedules(), ..ProptestConfig::default() })]

    /// Owners change, answers are lost, orders are late and caps change: no start exceeds
    /// the bound, and once all is well again every job is finished.
    #[test]
    fn schedules_keep_caps_and_starve_nobody(
        events in proptest::collection::vec((event(), 20..700_u64), 4..24),
    ) {
        let mut world = World::new(WORKERS);
        let accounts = ACCOUNTS.map(|name| account(name, 1.0, cores(8)));
        world.declare_accounts(accounts.to_vec());
        for (id, (event, pause)) in (0_u64..).zip(events) {
            apply(&mut world, event, id);
            world.run(pause);
        }
        for worker in world.workers.values_mut() {
            (worker.silent, worker.drops_start_answers, worker.order_delay) = (false, false, None);
        }
        // The leases of lost runs and then the work of one account at its lowest cap.
        for _ in 0..120 {
            if world.finished.len() == world.specs.len() {
                break;
            }
            world.run(1_000);
        }
        prop_assert!(world.usage.violations.is_empty(), "{:#?}", world.usage.violations);
        prop_assert_eq!(world.finished.len(), world.specs.len());
    }
}
