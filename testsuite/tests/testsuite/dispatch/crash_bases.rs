//! What a crash of a worker may be taken as evidence of, and by which base rate.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use verbenahitch::dispatch::{EndCause, JobId, JobState, StepSpec, TaskRecord};
use verbenahitch::domain::Millis;

use super::world::{AWAY_MS, Deadly, Storm, World, job, standing, step};

/// Back at the same address, soon.
const SOON_BACK: Deadly = Deadly {
    delay_ms: None,
    down_ms: 240,
    is_renamed: false,
};

const RENAMED: Deadly = Deadly {
    is_renamed: true,
    ..SOON_BACK
};

/// Time within which jobs are well after the last loss, in milliseconds.
const CALM_MS: Millis = 30_000;

fn assert_none_failed(world: &World) {
    let failed = world.wrongly_failed();
    assert!(failed.is_empty(), "{failed:#?}");
    world.ledger.assert_once();
}

/// Crashes a part of the workers again and again.
fn storm(world: &mut World, storm: &Storm, rng: &mut ChaCha8Rng) {
    let end = world.now + storm.length_ms;
    while world.now < end {
        world.lose_part(storm, rng);
        world.run(storm.every_ms);
    }
}

/// Losses of workers with young runs of its own job are left out, which are nearly all.
#[test_case(96, 1, 260, 7, SOON_BACK; "two tasks on each worker")]
#[test_case(96, 1, 260, 7, RENAMED; "two tasks on each worker, new names")]
#[test_case(96, 1, 1_000, 3, SOON_BACK; "a third of the workers each second")]
fn no_wide_job_is_failed_in_a_storm(
    count: u32,
    cores: u64,
    every_ms: Millis,
    divisor: usize,
    how: Deadly,
) {
    let mut failed = Vec::new();
    for seed in 0..2 {
        let mut world = World::new(48);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        world.run(1_500);
        world.submit(1, "push", job(vec![standing(count, cores, "s")]));
        world.submit(2, "batch", job(vec![step(count, cores, 3_000)]));
        world.run(300);
        let losses = Storm {
            divisor,
            every_ms,
            length_ms: 15_000,
            how,
            by_rack: false,
        };
        storm(&mut world, &losses, &mut rng);
        world.run(CALM_MS);
        for line in world.wrongly_failed() {
            failed.push(format!("seed {seed}: {line}"));
        }
        for line in world.sound_idle() {
            failed.push(format!("seed {seed}: {line}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// All workers of a small pool are lost by turns, which is a small part of the whole fleet.
#[test_case(300; "each worker every 2.4 s")]
#[test_case(200; "each worker every 1.6 s")]
fn no_job_of_a_small_pool_is_failed_in_a_storm_of_that_pool(every_ms: Millis) {
    let mut world = World::new(0);
    for number in 0..8 {
        world.add_worker(&format!("s{number:02}"), 16);
    }
    for number in 0..320 {
        world.add_worker(&format!("w{number:03}"), 16);
    }
    for (name, worker) in &mut world.workers {
        if name.starts_with('w') {
            worker.info.pool = "other".to_owned();
        }
    }
    world.list_workers();
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(2, 2, "s")]));
    let end = world.now + 25_000;
    let mut number = 0;
    while world.now < end {
        world.crash_worker(&format!("s{:02}", number % 8), SOON_BACK);
        number += 3;
        world.run(every_ms);
    }
    world.run(CALM_MS);
    assert_none_failed(&world);
    assert_eq!(world.state(id), Some(JobState::Running));
}

/// Each worker is cut off soon after the start, stays listed and goes on: none has crashed.
#[test]
fn no_task_waits_for_ever_for_workers_behind_a_cut() {
    let mut world = World::new(10);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    for begun in 0..5 {
        let end = world.now + 40_000;
        while world.starts_of(id).len() == begun && world.now < end {
            world.run(5);
        }
        assert_eq!(world.starts_of(id).len(), begun + 1);
        let worker = world.starts_of(id)[begun].worker.clone();
        world.set_cut(&worker, true);
    }
    world.run(60_000);
    assert_eq!(world.starts_of(id).len(), 6, "{}", world.now);
}

/// The owner changes while the worker of a recorded run is down: no start was ordered.
#[test_case(RENAMED, 1_000; "replaced")]
#[test_case(SOON_BACK, 1_000; "restarted")]
#[test_case(RENAMED, 9_000; "replaced past the leases")]
#[test_case(SOON_BACK, 9_000; "restarted past the leases")]
fn no_job_is_failed_by_inherited_runs_that_never_began(how: Deadly, down_ms: Millis) {
    let mut world = World::new(8);
    world.run(1_500);
    world.commit_ms = 300;
    let how = Deadly { down_ms, ..how };
    let fresh = |world: &World| {
        let name = world.recorded_worker(JobId(1))?;
        let worker = &world.workers[&name];
        (!worker.replaced && worker.down_until <= world.now).then_some(name)
    };
    let id = world.submit(1, "push", job(vec![step(1, 2, 1_000)]));
    for _ in 0..6 {
        let end = world.now + 40_000;
        while fresh(&world).is_none() && world.now < end {
            world.run(5);
        }
        let Some(name) = fresh(&world) else {
            break;
        };
        world.run(200);
        world.crash_worker(&name, how);
        world.run(150);
        world.take_over();
    }
    assert!(world.starts_of(id).is_empty(), "{:?}", world.starts_of(id));
    world.commit_ms = 5;
    world.run(CALM_MS);
    assert_eq!(world.state(id), Some(JobState::Completed));
}

/// A worker is lost soon after a lasting job has begun, and the one on which its tasks are tried
/// together after it. Nothing else is lost.
#[test_case(8; "eight tasks")]
#[test_case(16; "sixteen tasks")]
fn lasting_tasks_are_back_in_time_after_two_losses_in_a_calm_fleet(count: u32) {
    let mut world = World::new(1);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(count, 1, "s")]));
    while world.starts_of(id).len() < count as usize {
        world.run(5);
    }
    for number in 1..10 {
        world.add_worker(&format!("w{number:02}"), 16);
    }
    world.run(200);
    world.crash_worker(
        "w00",
        Deadly {
            down_ms: 3_000,
            ..SOON_BACK
        },
    );
    let held = |world: &World| {
        let mut most = ("".to_owned(), 0);
        for worker in world.workers.values() {
            if worker.life.runs.len() > most.1 {
                most = (worker.info.name.clone(), worker.life.runs.len());
            }
        }
        most
    };
    let end = world.now + 20_000;
    while held(&world).1 < 7 && world.now < end {
        world.run(5);
    }
    let (name, lost) = held(&world);
    world.run(50);
    world.crash_worker(
        &name,
        Deadly {
            down_ms: 3_000,
            ..SOON_BACK
        },
    );
    let at = world.now;
    let running = |world: &World| -> usize {
        let workers = world.workers.values();
        workers.map(|worker| worker.life.runs.len()).sum()
    };
    while running(&world) < count as usize && world.now < at + 60_000 {
        world.run(5);
    }
    let took = world.now - at;
    assert!(
        took <= AWAY_MS,
        "{took} ms until all run, {lost} were lost last"
    );
}

fn delay_orders(world: &mut World, late_ms: Millis) {
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(late_ms);
    }
}

fn deadly(delay_ms: Millis, down_ms: Millis) -> Deadly {
    Deadly {
        delay_ms: Some(delay_ms),
        down_ms,
        is_renamed: false,
    }
}

/// Its time on one incarnation of a worker says nothing of that on the next.
#[test_case(300, 20, 1_200; "late by 1.2 s")]
#[test_case(400, 20, 2_500; "late by 2.5 s")]
#[test_case(300, 240, 1_200; "down longer")]
fn a_deadly_task_is_given_up_beside_late_orders(
    delay_ms: Millis,
    down_ms: Millis,
    late_ms: Millis,
) {
    let mut world = World::new(8);
    world.run(1_500);
    delay_orders(&mut world, late_ms);
    let id = world.submit(1, "push", job(vec![step(4, 2, 1_000)]));
    world.crashes.deadly.insert(id, deadly(delay_ms, down_ms));
    world.run(90_000);
    assert!(world.overspent().is_empty(), "{:?}", world.overspent());
    assert_eq!(world.state(id), Some(JobState::Failed));
}

/// It reads lists long after they were written: a run that they show may have crashed its worker.
#[test_case(10, 600; "mostly paused")]
#[test_case(15, 900; "pauses of 0.9 s")]
#[test_case(50, 600; "pauses now and then")]
fn a_deadly_task_is_given_up_by_a_starved_owner(up_ms: Millis, pause_ms: Millis) {
    let mut world = World::new(8);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(2, 2, 3_000)]));
    world.crashes.deadly.insert(id, deadly(300, 240));
    let end = world.now + 120_000;
    while world.now < end {
        world.run(up_ms);
        world.pause_owner(pause_ms);
    }
    assert!(world.overspent().is_empty(), "{:?}", world.overspent());
    assert_eq!(world.state(id), Some(JobState::Failed));
}

/// Jobs whose tasks fail wherever they start are no evidence of their workers: of most of these
/// no lasting task may be kept for 3 s.
#[test_case(2; "two jobs")]
#[test_case(60; "a job each half second")]
fn jobs_that_fail_everywhere_do_not_stop_a_lasting_one(jobs: u64) {
    let mut world = World::new(8);
    world.run(1_500);
    let mut faulty: Vec<JobId> = Vec::new();
    let mut served = None;
    let mut away = 0;
    for tick in 0..4_000 {
        if tick % 100 == 0 && (faulty.len() as u64) < jobs {
            let id = world.submit(
                faulty.len() as u64 + 2,
                "push",
                job(vec![step(8, 1, 60_000)]),
            );
            faulty.push(id);
        }
        if tick == 150 {
            served = Some(world.submit(1, "push", job(vec![standing(1, 2, "s")])));
        }
        world.run(5);
        for worker in world.workers.values_mut() {
            let due = worker.life.runs.iter().filter(|run| run.worked_ms > 300.0);
            let due: Vec<_> = due.map(|run| run.task).collect();
            for task in due.into_iter().filter(|task| faulty.contains(&task.job)) {
                worker.end(task, EndCause::Failed);
            }
        }
        away += u64::from(served.is_some_and(|id| world.workers_of(id).is_empty())) * 5;
    }
    assert!(away < 3_000, "away for {away} ms");
}

/// All workers have had their upkeep, and said that they drain until after it: an entry of an
/// earlier incarnation tells nothing of the present one.
#[test_case(true; "entries behind the lists")]
#[test_case(false; "entries before the lists")]
fn a_deadly_task_is_given_up_after_an_upkeep_of_all_workers(is_behind: bool) {
    let mut world = World::new(12);
    world.run(1_500);
    let names: Vec<String> = world.workers.keys().cloned().collect();
    for name in &names {
        world.drain_worker(name);
        world.run(500);
        let now = world.now;
        let worker = world.workers.get_mut(name).unwrap();
        worker.restart(now, 300);
        worker.info.draining = is_behind;
        world.run(2_000);
        // The registry is read again before the worker has changed its entry.
        if is_behind {
            world.drain_worker(name);
        }
        world.run(200);
        world.workers.get_mut(name).unwrap().info.draining = false;
        world.list_workers();
        world.run(200);
    }
    let id = world.submit(1, "push", job(vec![step(2, 2, 1_000)]));
    world.crashes.deadly.insert(id, deadly(300, 2_000));
    world.run(90_000);
    assert!(
        world.overspent().is_empty(),
        "{} starts",
        world.starts_of(id).len()
    );
    assert_eq!(world.state(id), Some(JobState::Failed));
}

/// Late starts of a run are carried out by incarnation after incarnation, each of which lists it.
#[test_case(1_200; "late by 1.2 s")]
#[test_case(2_000; "late by 2 s")]
fn a_deadly_run_that_each_incarnation_lists_is_given_up(late_ms: Millis) {
    let mut world = World::new(8);
    world.run(1_500);
    delay_orders(&mut world, late_ms);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    world.crashes.deadly.insert(id, deadly(300, 20));
    world.run(30_000);
    let runs = world.starts_of(id).iter().map(|start| start.run).max();
    assert!(
        runs <= Some(5),
        "{runs:?}, {} crashes",
        world.crashes.past.len()
    );
    assert_eq!(world.state(id), Some(JobState::Failed));
}

/// A list had shown the run once, right after its start, as the worker listed other ends.
#[test_case(|| vec![standing(1, 2, "s")]; "standing")]
#[test_case(|| vec![step(1, 2, 60_000)]; "batch")]
fn a_crash_under_a_run_that_was_listed_once_is_counted_by_the_next_owner(
    steps: fn() -> Vec<StepSpec>,
) {
    let mut world = World::new(1);
    world.run(1_500);
    let mut steps = steps();
    steps.push(step(4, 1, 50));
    let id = world.submit(1, "push", job(steps));
    while world.starts_of(id).len() < 5 {
        world.run(5);
    }
    world.run(300);
    world.crash_worker("w00", deadly(0, 2_000));
    world.run(500);
    world.take_over();
    let mut most = 0;
    for _ in 0..1_000 {
        world.run(5);
        most = most.max(world.records[&id].record.tasks[0].crashes);
    }
    assert_eq!(most, 1);
}

/// The store takes few writes a second: which standing runs have settled costs one at the most, of
/// all the job's runs together, and none under the next owner.
#[test]
fn a_standing_job_whose_runs_settle_is_written_once() {
    let mut world = World::new(8);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(16, 4, "s")]));
    let are_all = |world: &World, is_so: fn(&TaskRecord) -> bool| {
        let write = world.records.get(&id);
        write.is_some_and(|write| {
            let tasks = &write.record.tasks;
            tasks.len() == 16 && tasks.iter().all(is_so)
        })
    };
    let end = world.now + 10_000;
    while !are_all(&world, |task| !task.bounded.is_empty()) {
        assert!(world.now < end, "{:?}", world.records.get(&id));
        world.run(5);
    }
    let bounded = world.records[&id].version;
    world.run(8_000);
    assert!(are_all(&world, |task| !task.settled.is_empty()));
    let settled = world.records[&id].clone();
    let writes = settled.version - bounded;
    assert!(writes <= 1, "{writes} changes");
    world.take_over();
    world.run(8_000);
    assert_eq!(world.records[&id], settled);
}

/// The owner is replaced right after the start of a suspect and the crash of its worker, which it has
/// not noticed.
#[test]
fn a_crash_under_a_suspect_is_counted_though_its_owner_was_lost_at_once() {
    let mut world = World::new(6);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    for begun in 0..2 {
        let end = world.now + 20_000;
        while world.starts_of(id).len() == begun && world.now < end {
            world.run(5);
        }
        world.run(30);
        let worker = world.starts_of(id)[begun].worker.clone();
        world.crash_worker(&worker, deadly(0, 1_000));
        if begun == 0 {
            world.run(300);
        }
    }
    world.take_over();
    let mut most = 0;
    for _ in 0..1_000 {
        world.run(5);
        most = most.max(world.records[&id].record.tasks[0].crashes);
    }
    assert_eq!(most, 2);
}
