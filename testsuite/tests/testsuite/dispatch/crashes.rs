//! Tasks that crash the workers that start them, and sound ones beside them.

use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobSpec, JobState};
use verbenahitch::domain::Millis;

use super::world::{BOUNDS, Deadly, World, filler, job, standing, step};

/// Crash before the start is answered, with the worker back before its leases have lapsed.
const AT_ONCE: Deadly = Deadly {
    delay_ms: None,
    down_ms: 2_000,
    is_renamed: false,
};

const SOON: Deadly = Deadly {
    delay_ms: Some(300),
    ..AT_ONCE
};

const UNNOTICED: Deadly = Deadly {
    down_ms: 20,
    ..AT_ONCE
};

const RENAMED: Deadly = Deadly {
    is_renamed: true,
    ..SOON
};

/// Back only after the leases have lapsed.
const LONG_AWAY: Deadly = Deadly {
    down_ms: 9_000,
    ..SOON
};

/// Likewise, and another worker takes the address.
const LONG_AWAY_RENAMED: Deadly = Deadly {
    is_renamed: true,
    ..LONG_AWAY
};

fn tasks(count: u32) -> JobSpec {
    job(vec![step(count, 2, 1_000)])
}

fn copies() -> JobSpec {
    let mut copied = step(4, 2, 1_000);
    copied.speculative = true;
    job(vec![copied])
}

/// A job whose tasks crash their workers, and what happens beside.
struct Case {
    deadly: Deadly,
    spec: fn() -> JobSpec,
    arrange: fn(&mut World),
    /// Time after which the owner is replaced, again and again; zero for never.
    term_ms: Millis,
}

impl Case {
    fn new(deadly: Deadly) -> Self {
        Self {
            deadly,
            spec: || tasks(4),
            arrange: |_| {},
            term_ms: 0,
        }
    }

    fn of(self, spec: fn() -> JobSpec) -> Self {
        Self { spec, ..self }
    }

    fn beside(self, arrange: fn(&mut World)) -> Self {
        Self { arrange, ..self }
    }

    fn with_terms(self, term_ms: Millis) -> Self {
        Self { term_ms, ..self }
    }

    fn play(&self, world: &mut World, millis: Millis) {
        let end = world.now + millis;
        while world.now < end {
            match self.term_ms {
                0 => world.run(millis),
                term_ms => {
                    world.run(term_ms);
                    world.take_over();
                }
            }
        }
    }
}

fn answers_lost(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.drops_start_answers = true;
    }
}

fn late_orders(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(1_200);
    }
}

/// It would be started for as long as the day lasts.
#[test_case(Case::new(AT_ONCE); "start without an answer")]
#[test_case(Case::new(SOON); "after the answer")]
#[test_case(Case::new(UNNOTICED); "back before a poll fails")]
#[test_case(Case::new(RENAMED); "back under a new name")]
#[test_case(Case::new(LONG_AWAY); "away past the leases")]
#[test_case(Case::new(LONG_AWAY_RENAMED); "back under a new name past the leases")]
#[test_case(Case::new(SOON).of(|| job(vec![standing(3, 2, "s")])); "standing")]
#[test_case(Case::new(SOON).of(|| job(vec![filler(3, 2, 1_000, "f")])); "fillers")]
#[test_case(Case::new(SOON).of(copies); "copies")]
#[test_case(Case::new(SOON).with_terms(4_000); "changes of owner")]
#[test_case(Case::new(AT_ONCE).with_terms(2_500); "more changes of owner")]
#[test_case(Case::new(LONG_AWAY).with_terms(6_000); "away past the leases, with changes of owner")]
#[test_case(Case::new(LONG_AWAY_RENAMED).with_terms(6_000); "back under a new name past the leases, with changes of owner")]
#[test_case(Case::new(SOON).beside(answers_lost); "answers lost")]
#[test_case(Case::new(SOON).beside(late_orders); "late orders")]
fn a_task_that_crashes_its_workers_is_given_up(case: Case) {
    let mut world = World::new(8);
    world.run(1_500);
    (case.arrange)(&mut world);
    let id = world.submit(1, "push", (case.spec)());
    world.crashes.deadly.insert(id, case.deadly);
    case.play(&mut world, 90_000);
    assert!(world.overspent().is_empty(), "{:?}", world.overspent());
    assert_eq!(world.state(id), Some(JobState::Failed));
    assert!(world.workers_of(id).is_empty());
    world.ledger.assert_once();
}

/// Every worker that a deadly task crashes takes sound tasks along.
#[test]
fn sound_jobs_beside_a_deadly_one_complete() {
    let mut world = World::new(6);
    world.run(1_500);
    let deadly = world.submit(1, "push", tasks(6));
    world.crashes.deadly.insert(deadly, SOON);
    for number in 2..12 {
        world.submit(number, "push", tasks(6));
    }
    world.run(40_000);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    for number in 2..12 {
        let state = world.state(JobId(number));
        assert_eq!(state, Some(JobState::Completed), "job {number}");
    }
}

/// A task that is suspected takes nothing else along at its next start.
#[test]
fn suspects_start_where_they_run_alone() {
    let mut world = World::new(8);
    world.run(1_500);
    let deadly = world.submit(1, "push", tasks(2));
    world.crashes.deadly.insert(deadly, SOON);
    for number in 2..40 {
        world.submit(number, "push", tasks(2));
        world.run(400);
    }
    for crash in &world.crashes.past[1..] {
        let is_known = |task| {
            let earlier = world.crashes.past.iter().filter(|past| past.at < crash.at);
            earlier.clone().any(|past| past.tasks.contains(task))
        };
        if crash
            .tasks
            .iter()
            .any(|task| task.job == deadly && is_known(task))
        {
            assert_eq!(crash.tasks.len(), 1, "{crash:?}");
        }
    }
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// Standing tasks serve users; there is room for the suspect elsewhere.
#[test]
fn suspects_are_kept_from_workers_with_standing_tasks() {
    let mut world = World::new(8);
    world.run(1_500);
    let served = world.submit(2, "push", job(vec![standing(3, 8, "s")]));
    world.run(6_000);
    let deadly = world.submit(1, "push", tasks(1));
    world.crashes.deadly.insert(deadly, SOON);
    world.run(20_000);
    let hits = world.crashes.past.iter().skip(1);
    let hits = hits.filter(|crash| crash.tasks.iter().any(|task| task.job == served));
    assert_eq!(hits.count(), 0);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// All workers serve standing tasks but the one that restarts again and again, soon after each
/// start on it. It has to be the one that is blamed.
#[test]
fn a_worker_that_restarts_again_and_again_fails_no_standing_job() {
    let mut world = World::new(4);
    world.run(1_500);
    let served = world.submit(1, "push", job(vec![standing(8, 4, "s")]));
    world.run(100);
    let name = world.starts_of(served)[0].worker.clone();
    let mut restarted = 0;
    for _ in 0..150 {
        world.run(100);
        let starts = world.starts_of(served);
        let latest = starts.iter().rfind(|start| start.worker == name);
        let at = latest.map_or(0, |start| start.at);
        if at > restarted {
            restarted = world.now;
            let worker = world.workers.get_mut(&name).unwrap();
            worker.restart(restarted, 500);
        }
    }
    assert_eq!(world.state(served), Some(JobState::Running));
}

/// All tasks of the job are deadly; two workers of 16 may be risked at once.
#[test]
fn a_job_with_deadly_tasks_risks_few_workers_at_once() {
    let mut world = World::new(16);
    world.run(1_500);
    let deadly = world.submit(1, "push", tasks(32));
    world.crashes.deadly.insert(deadly, SOON);
    world.run(40_000);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    // The first start on each worker, and two further ones of each task on trial.
    assert!(
        world.crashes.past.len() <= 20,
        "{}",
        world.crashes.past.len()
    );
}

/// Crashes a long task's worker `crashes` times soon after its start, each time with changes of the
/// owner before the successor has heard the worker.
#[test_case(1, JobState::Running; "one")]
#[test_case(2, JobState::Running; "two")]
#[test_case(3, JobState::Running; "three")]
#[test_case(4, JobState::Running; "four")]
#[test_case(5, JobState::Failed; "five")]
fn a_crash_is_counted_once_across_owners(crashes: usize, state: JobState) {
    let mut world = World::new(6);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    for counted in 0..crashes {
        let (begun, end) = (world.starts_of(id).len(), world.now + 60_000);
        while world.starts_of(id).len() == begun {
            assert!(world.now < end, "no start: {:?}", world.state(id));
            world.run(5);
        }
        let record = &world.records[&id].record;
        assert_eq!(record.tasks[0].crashes as usize, counted);
        world.run(400);
        let worker = world.starts_of(id).last().unwrap().worker.clone();
        world.crash_worker(&worker, AT_ONCE);
        // Down for 2 s: the second of the new owners hears the next incarnation.
        for _ in 0..2 {
            world.run(900);
            world.take_over();
        }
    }
    world.run(5_000);
    assert_eq!(world.state(id), Some(state));
    world.ledger.assert_once();
}

/// The owner is replaced after the leases have lapsed, and the worker is back before the next run
/// has settled.
#[test]
fn a_crash_past_the_leases_is_counted_by_the_next_owner() {
    let mut world = World::new(6);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    while world.starts_of(id).is_empty() {
        world.run(5);
    }
    world.run(300);
    let worker = world.starts_of(id)[0].worker.clone();
    let down_ms = BOUNDS.lease_ms + 600;
    world.crash_worker(&worker, Deadly { down_ms, ..SOON });
    while world.starts_of(id).len() == 1 {
        world.run(5);
    }
    world.take_over();
    let mut most = 0;
    for _ in 0..1_500 {
        world.run(5);
        most = most.max(world.records[&id].record.tasks[0].crashes);
    }
    assert_eq!(most, 1);
    assert_eq!(world.starts_of(id).len(), 2);
    world.ledger.assert_once();
}

/// The leases lapse, but the worker goes on: it has crashed under nothing.
#[test]
fn silence_behind_a_cut_is_no_crash() {
    let mut world = World::new(8);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    for _ in 0..5 {
        while world.workers_of(id).is_empty() {
            world.run(5);
        }
        let worker = world.starts_of(id).last().unwrap().worker.clone();
        world.set_cut(&worker, true);
        world.run(9_000);
        world.set_cut(&worker, false);
        world.run(100);
    }
    assert_eq!(world.starts_of(id).len(), 6);
    assert_eq!(world.state(id), Some(JobState::Running));
}

/// Moments at which workers crash by themselves.
struct Losses {
    /// Number of workers that crash at once.
    rack: usize,
    every_ms: Millis,
}

/// Workers crash all the time and no task is at fault.
#[test_case(Losses { rack: 1, every_ms: 1_000 }; "flapping")]
#[test_case(Losses { rack: 4, every_ms: 3_000 }; "racks")]
#[test_case(Losses { rack: 12, every_ms: 5_000 }; "all")]
fn no_sound_job_fails_while_workers_are_lost(losses: Losses) {
    let mut world = World::new(12);
    world.run(1_500);
    world.submit(1, "push", job(vec![standing(8, 2, "s")]));
    let (mut number, mut next) = (2, 0);
    for round in 0..400 {
        world.submit(number, "push", tasks(3));
        number += 1;
        world.run(100);
        if round * 100 % losses.every_ms == 0 {
            for _ in 0..losses.rack {
                let name = format!("w{:02}", next % 12);
                next += 1;
                world.crash_worker(&name, AT_ONCE);
            }
        }
    }
    world.run(15_000);
    for id in 2..number {
        assert_eq!(
            world.state(JobId(id)),
            Some(JobState::Completed),
            "job {id}"
        );
    }
    assert_eq!(world.state(JobId(1)), Some(JobState::Running));
    assert_eq!(world.workers_of(JobId(1)).len().min(1), 1);
    world.ledger.assert_once();
}

/// The standing tasks of lost workers are suspects, and still have to run again soon.
#[test]
fn standing_suspects_are_back_within_seconds() {
    let mut world = World::new(12);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(24, 4, "s")]));
    world.run(500);
    for number in 0..4 {
        world.crash_worker(&format!("w{number:02}"), AT_ONCE);
    }
    world.run(6_000);
    let running: usize = world
        .workers
        .values()
        .map(|worker| worker.life.runs.len())
        .sum();
    assert_eq!(running, 24);
    assert_eq!(world.state(id), Some(JobState::Running));
}

/// Suspects that share a trial would be more tasks of a step on one worker than it allows.
#[test]
fn suspects_keep_to_the_spread_of_their_step() {
    let mut world = World::new(24);
    world.run(1_500);
    let mut spread = standing(24, 1, "s");
    spread.spread = 1;
    let id = world.submit(1, "push", job(vec![spread]));
    world.run(300);
    for number in 0..20 {
        world.crash_worker(&format!("w{number:02}"), AT_ONCE);
    }
    for _ in 0..1_000 {
        world.run(10);
        for worker in world.workers.values() {
            let count = worker.life.runs.iter().filter(|run| run.task.job == id);
            assert!(count.count() <= 1, "{}: {}", world.now, worker.info.name);
        }
    }
}

/// The first start got no answer, which must not make the run a suspect for good.
#[test]
fn a_run_that_has_worked_for_seconds_is_no_suspect() {
    let mut world = World::new(6);
    answers_lost(&mut world);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    world.run(4_000);
    let worker = world.starts_of(id).last().unwrap().worker.clone();
    world.crash_worker(&worker, AT_ONCE);
    for _ in 0..400 {
        world.run(10);
        assert_eq!(world.records[&id].record.tasks[0].crashes, 0);
    }
    assert_eq!(world.starts_of(id).len(), 2);
}

/// A new owner finds all workers that are down at once, whenever each of them crashed.
#[test]
fn a_new_owner_takes_no_crashes_for_a_common_loss() {
    let mut world = World::new(16);
    world.run(1_500);
    for number in 1..9 {
        let id = world.submit(number, "push", tasks(1));
        world.crashes.deadly.insert(id, SOON);
    }
    for _ in 0..8 {
        let known = world.crashes.past.len();
        for _ in 0..1_000 {
            if world.crashes.past.len() == known {
                world.run(5);
            }
        }
        world.run(700);
        world.take_over();
    }
    world.run(20_000);
    assert!(world.overspent().is_empty(), "{:?}", world.overspent());
    for number in 1..9 {
        assert_eq!(world.state(JobId(number)), Some(JobState::Failed));
    }
}
