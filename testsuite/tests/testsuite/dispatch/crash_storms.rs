//! Sound tasks under which workers crash, one by one or in storms.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobSpec, JobState};
use verbenahitch::domain::Millis;

use super::world::{Deadly, FakeWorker, Storm, World, filler, job, standing, step};

/// Back at the same address under a new name, soon.
const RENAMED: Deadly = Deadly {
    delay_ms: None,
    down_ms: 240,
    is_renamed: true,
};

const RESTARTED: Deadly = Deadly {
    is_renamed: false,
    ..RENAMED
};

/// Time within which jobs are well after the last loss, in milliseconds.
const CALM_MS: Millis = 15_000;

/// Runs the world until `is_met`, for 30 s at most.
fn run_until(world: &mut World, is_met: impl Fn(&World) -> bool) -> bool {
    let end = world.now + 30_000;
    while !is_met(world) {
        if world.now >= end {
            return false;
        }
        world.run(5);
    }
    true
}

fn assert_well(world: &World) {
    let failed = world.wrongly_failed();
    assert!(failed.is_empty(), "{failed:#?}");
    let idle = world.sound_idle();
    assert!(idle.is_empty(), "{idle:#?}");
    world.ledger.assert_once();
}

/// How far a start has come when its worker crashes.
#[derive(Clone, Copy)]
enum Stage {
    /// Its assignment is being recorded.
    Recording,
    /// The worker has refused it as too late.
    Refused,
}

impl Stage {
    /// Runs the world to the stage in the next start of a job; returns the worker.
    fn reach(self, world: &mut World, id: JobId) -> Option<String> {
        match self {
            Self::Recording => {
                run_until(world, |world| world.recorded_worker(id).is_some()).then_some(())?;
                let name = world.recorded_worker(id);
                world.run(50);
                name
            }
            Self::Refused => {
                let count = |world: &World| world.start_orders.values().flatten().count();
                let before = count(world);
                run_until(world, |world| count(world) > before).then_some(())?;
                let last = |orders: &Vec<Millis>| orders.last().copied();
                let latest = world.start_orders.iter().max_by_key(|(_, at)| last(at));
                latest.map(|(name, _)| name.clone())
            }
        }
    }

    fn arrange(self, world: &mut World, is_on: bool) {
        match self {
            Self::Recording => world.commit_ms = if is_on { 1_000 } else { 5 },
            Self::Refused => {
                for worker in world.workers.values_mut() {
                    worker.refuses_starts = is_on;
                }
            }
        }
    }
}

fn batch() -> JobSpec {
    job(vec![step(1, 2, 1_000)])
}

fn served() -> JobSpec {
    job(vec![standing(1, 2, "s")])
}

/// No worker has begun a run of the job, so none has crashed because of it.
#[test_case(Stage::Recording, RENAMED, batch; "replaced while the run is recorded")]
#[test_case(Stage::Recording, RENAMED, served; "standing, replaced while the run is recorded")]
#[test_case(Stage::Recording, RESTARTED, batch; "restarted while the run is recorded")]
#[test_case(Stage::Refused, RENAMED, batch; "replaced when the second attempt is not sent")]
#[test_case(Stage::Refused, Deadly { down_ms: 0, ..RENAMED }, batch; "replaced at once after a refusal")]
#[test_case(Stage::Refused, RESTARTED, batch; "restarted after a refusal")]
fn no_job_is_failed_by_crashes_of_workers_that_never_began_its_runs(
    stage: Stage,
    how: Deadly,
    spec: fn() -> JobSpec,
) {
    let mut world = World::new(8);
    world.run(1_500);
    stage.arrange(&mut world, true);
    let id = world.submit(1, "push", spec());
    for _ in 0..6 {
        let Some(name) = stage.reach(&mut world, id) else {
            break;
        };
        world.crash_worker(&name, how);
        world.run(500);
    }
    assert_eq!(world.crashes.past.len(), 6, "{:?}", world.state(id));
    assert!(world.starts_of(id).is_empty());
    stage.arrange(&mut world, false);
    world.run(CALM_MS);
    assert_well(&world);
}

/// Crashes the worker that has just started the first task of a job, `times` times.
fn hit_first_task(world: &mut World, id: JobId, times: usize, how: Deadly, term_ms: Millis) {
    let begun = |world: &World| {
        let starts = world.starts_of(id).into_iter();
        starts.filter(|start| start.task.index == 0).count()
    };
    for time in 0..times {
        run_until(world, |world| begun(world) > time);
        world.run(100);
        let starts = world.starts_of(id);
        let Some(start) = starts.iter().rfind(|start| start.task.index == 0) else {
            return;
        };
        let name = start.worker.clone();
        if world.workers[&name].tasks().contains(&start.task) {
            world.crash_worker(&name, how);
        }
        if term_ms > 0 {
            world.run(term_ms);
            world.take_over();
        }
    }
}

const DOWN: Deadly = Deadly {
    down_ms: 2_000,
    ..RESTARTED
};

fn lasting() -> JobSpec {
    job(vec![standing(4, 2, "s")])
}

fn finite() -> JobSpec {
    job(vec![step(4, 2, 3_000)])
}

fn fillers() -> JobSpec {
    job(vec![filler(4, 2, 3_000, "f")])
}

/// The users' rule counts only ends `failed`, and a lasting task has no limit at all.
#[test_case(lasting, DOWN, 0; "standing")]
#[test_case(lasting, Deadly { is_renamed: true, ..DOWN }, 0; "standing under new names")]
#[test_case(lasting, Deadly { down_ms: 9_000, ..DOWN }, 0; "standing away past the leases")]
#[test_case(lasting, DOWN, 700; "standing with changes of owner")]
#[test_case(finite, DOWN, 0; "batch")]
#[test_case(finite, Deadly { is_renamed: true, ..DOWN }, 0; "batch under new names")]
#[test_case(finite, Deadly { down_ms: 9_000, ..DOWN }, 0; "batch away past the leases")]
#[test_case(finite, DOWN, 700; "batch with changes of owner")]
#[test_case(fillers, DOWN, 0; "fillers")]
fn no_sound_job_is_failed_by_three_crashes_in_a_calm_fleet(
    spec: fn() -> JobSpec,
    how: Deadly,
    term_ms: Millis,
) {
    let mut world = World::new(8);
    world.run(1_500);
    let id = world.submit(1, "push", spec());
    hit_first_task(&mut world, id, 3, how, term_ms);
    world.run(CALM_MS);
    assert_eq!(world.crashes.past.len(), 3);
    assert_well(&world);
}

/// What a storm meets.
#[derive(Default)]
struct Setting {
    is_renamed: bool,
    commit_ms: Millis,
    order_delay: Option<Millis>,
    drops_answers: bool,
    /// Time after which the owner is replaced, again and again; zero for never.
    term_ms: Millis,
}

const STORM: Storm = Storm {
    divisor: 7,
    every_ms: 260,
    length_ms: 10_000,
    how: RESTARTED,
    by_rack: false,
};

/// A storm of crashes beside a slow store, as on the day of issue 42.
#[test_case(Setting::default(); "own names")]
#[test_case(Setting { is_renamed: true, ..Setting::default() }; "new names")]
#[test_case(Setting { commit_ms: 600, ..Setting::default() }; "own names and a slow store")]
#[test_case(Setting { is_renamed: true, commit_ms: 600, ..Setting::default() }; "new names and a slow store")]
#[test_case(Setting { order_delay: Some(400), ..Setting::default() }; "late orders")]
#[test_case(Setting { drops_answers: true, ..Setting::default() }; "lost answers")]
#[test_case(Setting { is_renamed: true, drops_answers: true, ..Setting::default() }; "new names and lost answers")]
#[test_case(Setting { term_ms: 2_500, ..Setting::default() }; "changes of owner")]
#[test_case(Setting { is_renamed: true, commit_ms: 300, term_ms: 3_500, ..Setting::default() }; "new names, a slow store and changes of owner")]
fn no_sound_job_is_failed_in_a_storm(setting: Setting) {
    let mut world = World::new(48);
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    let mut storm = STORM;
    storm.how.is_renamed = setting.is_renamed;
    world.run(1_500);
    for id in 1..5 {
        world.submit(id, "push", lasting());
    }
    world.run(1_000);
    let trouble = |world: &mut World, is_on: bool| {
        let of = |worker: &mut FakeWorker| {
            worker.order_delay = setting.order_delay.filter(|_| is_on);
            worker.drops_start_answers = setting.drops_answers && is_on;
        };
        world.workers.values_mut().for_each(of);
        world.commit_ms = if is_on { setting.commit_ms.max(5) } else { 5 };
    };
    trouble(&mut world, true);
    let (begin, mut owner_at) = (world.now, world.now);
    let mut id = 5;
    while world.now < begin + storm.length_ms {
        world.submit(id, "batch", job(vec![step(3, 2, 800)]));
        id += 1;
        world.lose_part(&storm, &mut rng);
        world.run(storm.every_ms);
        if setting.term_ms > 0 && world.now >= owner_at + setting.term_ms {
            world.take_over();
            owner_at = world.now;
        }
    }
    trouble(&mut world, false);
    world.run(CALM_MS);
    assert_well(&world);
}

/// The start got no answer, the leases lapsed, and the next lives crash while they close it.
#[test]
fn a_run_counts_once_however_often_its_worker_restarts() {
    let mut world = World::new(1);
    world.run(1_500);
    for worker in world.workers.values_mut() {
        worker.order_delay = Some(20_000);
    }
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    run_until(&mut world, |world| !world.start_orders.is_empty());
    let name = world.start_orders.keys().next().unwrap().clone();
    for worker in world.workers.values_mut() {
        worker.order_delay = None;
    }
    world.workers.get_mut(&name).unwrap().silent = true;
    world.run(9_000);
    world.workers.get_mut(&name).unwrap().silent = false;
    let mut most = 0;
    for _ in 0..4 {
        world.crash_worker(&name, RESTARTED);
        // Until the next incarnation has closed the start, and no list has come since.
        let end = world.now + 2_000;
        while world.workers[&name].life.closed.is_empty() && world.now < end {
            world.run(5);
            most = most.max(world.records[&id].record.tasks[0].crashes);
        }
    }
    for _ in 0..600 {
        world.run(5);
        most = most.max(world.records[&id].record.tasks[0].crashes);
    }
    assert_eq!(world.crashes.past.len(), 4);
    assert!(most <= 1, "{most} crashes counted under the only run");
    assert_eq!(world.state(id), Some(JobState::Running));
    world.ledger.assert_once();
}
