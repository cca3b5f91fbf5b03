//! Lives that end long after a run has lapsed there or before it has begun, waits for workers that
//! never return, and mixes of silences without any crash.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobState};
use verbenahitch::domain::Millis;

use super::world::{AWAY_MS, Deadly, NEVER_BACK, UNLISTED_MS, World, job, standing, step};

fn most_crashes(world: &World, id: JobId) -> u32 {
    let record = world.records.get(&id);
    let tasks = record.iter().flat_map(|write| &write.record.tasks);
    tasks.map(|task| task.crashes).max().unwrap_or(0)
}

/// Runs until a job has `count` starts; returns the worker of the last.
fn await_starts(world: &mut World, id: JobId, count: usize) -> String {
    let end = world.now + 60_000;
    while world.starts_of(id).len() < count {
        assert!(world.now < end, "no start {count}: {:?}", world.state(id));
        world.run(5);
    }
    world.starts_of(id)[count - 1].worker.clone()
}

#[derive(Clone, Copy)]
enum Step {
    Unlist,
    /// The next incarnation begins behind the cut.
    Restart,
    /// Another worker takes the address.
    Replace,
    /// The cut ends.
    Answer,
    List,
}

/// What happens to a worker and when, from the begin of its silence.
type Plan = &'static [(Millis, Step)];

const RESTARTED: Plan = &[
    (UNLISTED_MS, Step::Unlist),
    (20_000, Step::Restart),
    (21_000, Step::Answer),
    (21_300, Step::List),
];

const REPLACED: Plan = &[
    (UNLISTED_MS, Step::Unlist),
    (20_000, Step::Replace),
    (21_000, Step::Answer),
];

const LISTED_ALL_THE_TIME: Plan = &[
    (20_000, Step::Restart),
    (21_000, Step::Answer),
    (21_300, Step::List),
];

fn carry_out(world: &mut World, name: &str, step: Step) {
    let now = world.now;
    match step {
        Step::Unlist => world.unlist_worker(name),
        Step::Restart => world.workers.get_mut(name).unwrap().restart(now, 500),
        Step::Replace => world.replace_worker(name),
        Step::Answer => world.set_cut(name, false),
        Step::List => {
            world.workers.get_mut(name).unwrap().unlisted = false;
            world.list_workers();
        }
    }
}

/// Lets each worker that starts the job fall silent after `young_ms`, by a plan; returns the most
/// crashes counted.
fn play_plans(world: &mut World, id: JobId, rounds: usize, young_ms: Millis, plan: Plan) -> u32 {
    let mut due: Vec<(Millis, String, Step)> = Vec::new();
    let (mut handled, mut most) = (0, 0);
    let end = world.now + 240_000;
    while world.now < end && (handled < rounds || !due.is_empty()) {
        world.run(5);
        let now = world.now;
        let start = world.starts_of(id).get(handled).copied().cloned();
        if let Some(start) = start.filter(|start| handled < rounds && now >= start.at + young_ms) {
            handled += 1;
            world.set_cut(&start.worker, true);
            let steps = plan.iter();
            due.extend(steps.map(|(ms, step)| (now + ms, start.worker.clone(), *step)));
        }
        for (_, name, step) in due.extract_if(.., |due| due.0 <= now).collect::<Vec<_>>() {
            carry_out(world, &name, step);
        }
        most = most.max(most_crashes(world, id));
        if world.state(id) == Some(JobState::Failed) {
            break;
        }
    }
    most
}

/// The run has lapsed on a worker that lived for 15 s more: nothing has crashed under it.
#[test_case(RESTARTED; "restarted")]
#[test_case(REPLACED; "replaced")]
#[test_case(LISTED_ALL_THE_TIME; "listed all the time")]
fn a_worker_that_ends_long_after_a_run_lapsed_there_has_not_crashed_under_it(plan: Plan) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    let most = play_plans(&mut world, id, 6, 200, plan);
    world.run(5_000);
    assert_eq!(
        (world.state(id), most),
        (Some(JobState::Running), 0),
        "after {} starts",
        world.starts_of(id).len()
    );
}

/// Each worker restarts before the start arrives, runs the task, and is cut off with it until its
/// leases have lapsed: it answers as the incarnation on which the run began.
#[test]
fn a_run_that_began_on_the_next_incarnation_has_not_crashed_with_the_one_before() {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    let mut due: Vec<(Millis, String, Step)> = Vec::new();
    let (mut handled, mut most, mut restarted) = (0, 0, 0);
    let end = world.now + 120_000;
    while world.now < end && (handled < 6 || !due.is_empty()) {
        world.run(5);
        let now = world.now;
        if let Some(name) = world.recorded_worker(id)
            && world.starts_of(id).len() == handled
            && restarted == handled
            && handled < 6
        {
            restarted += 1;
            world.workers.get_mut(&name).unwrap().restart(now, 0);
        }
        let start = world.starts_of(id).get(handled).copied().cloned();
        if let Some(start) = start.filter(|_| handled < 6) {
            handled += 1;
            world.set_cut(&start.worker, true);
            let steps = [
                (UNLISTED_MS, Step::Unlist),
                (8_000, Step::Answer),
                (8_300, Step::List),
            ];
            due.extend(steps.map(|(ms, step)| (now + ms, start.worker.clone(), step)));
        }
        for (_, name, step) in due.extract_if(.., |due| due.0 <= now).collect::<Vec<_>>() {
            carry_out(&mut world, &name, step);
        }
        most = most.max(most_crashes(&world, id));
        if world.state(id) == Some(JobState::Failed) {
            break;
        }
    }
    assert_eq!(
        (world.state(id), most),
        (Some(JobState::Running), 0),
        "after {handled} starts"
    );
}

/// All workers of the pool are lost at once for 40 s, and one of another pool 32 s after that.
#[test_case(false; "no other loss")]
#[test_case(true; "another loss later")]
fn a_crash_in_a_common_loss_is_explained_however_long_that_lasts(is_later: bool) {
    let mut world = World::new(16);
    world.add_worker("x00", 16);
    world.workers.get_mut("x00").unwrap().info.pool = "other".to_owned();
    world.list_workers();
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    await_starts(&mut world, id, 1);
    world.run(300);
    for number in 0..16 {
        let how = Deadly {
            delay_ms: None,
            down_ms: 40_000,
            is_renamed: false,
        };
        world.crash_worker(&format!("w{number:02}"), how);
    }
    world.run(32_000);
    if is_later {
        let how = Deadly {
            delay_ms: None,
            down_ms: 500,
            is_renamed: false,
        };
        world.crash_worker("x00", how);
    }
    let (mut crashes, mut unexplained) = (0, 0);
    for _ in 0..2_400 {
        world.run(5);
        let task = &world.records[&id].record.tasks[0];
        crashes = crashes.max(task.crashes);
        unexplained = unexplained.max(task.unexplained);
    }
    assert_eq!((crashes, unexplained), (1, 0));
}

/// Three workers are lost for good one after the other, each soon after the start of a lasting task.
#[test_case(0; "one owner")]
#[test_case(9_000; "owners in turn")]
#[test_case(5_000; "owners in quick turn")]
fn a_lasting_task_is_not_away_for_long_after_workers_were_lost_for_good(term_ms: Millis) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    for count in 1..=3 {
        let name = await_starts(&mut world, id, count);
        world.run(200);
        world.crash_worker(&name, NEVER_BACK);
        world.run(UNLISTED_MS);
        world.unlist_worker(&name);
    }
    let lost_at = world.now - UNLISTED_MS;
    let mut term_end = world.now + term_ms;
    while world.starts_of(id).len() == 3 && world.now < lost_at + 120_000 {
        world.run(5);
        if term_ms > 0 && world.now >= term_end {
            world.take_over();
            term_end = world.now + term_ms;
        }
    }
    let away = world.now - lost_at;
    assert!(away <= AWAY_MS, "away for {away} ms");
}

/// The worker had said that it drains and was gone when the owner changed; its address is taken.
#[test]
fn a_drained_worker_has_not_crashed_for_the_next_owner() {
    let mut world = World::new(6);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    let name = await_starts(&mut world, id, 1);
    world.run(5_000);
    world.drain_worker(&name);
    world.run(2_000);
    world.replace_worker(&name);
    world.take_over();
    let mut most = 0;
    for _ in 0..2_000 {
        world.run(5);
        most = most.max(most_crashes(&world, id));
    }
    assert_eq!(most, 0);
}

/// The next workers come under other names and at other addresses.
#[test_case(1, 120_000; "one task")]
#[test_case(32, 60_000; "many tasks")]
fn a_deadly_job_whose_workers_return_elsewhere_starts_rarely(count: u32, length_ms: Millis) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(count, 2, 60_000)]));
    let (mut handled, mut successors) = (0, 0);
    let mut due: Vec<(Millis, String, bool)> = Vec::new();
    let end = world.now + length_ms;
    while world.now < end {
        world.run(5);
        let now = world.now;
        let starts: Vec<_> = world.starts_of(id).into_iter().cloned().collect();
        for start in &starts[handled..] {
            if now < start.at + 300 {
                break;
            }
            handled += 1;
            let is_up = world.workers[&start.worker].down_until <= now;
            if is_up {
                world.crash_worker(&start.worker, NEVER_BACK);
                due.push((now + UNLISTED_MS, start.worker.clone(), false));
                due.push((now + 5_000, String::new(), true));
            }
        }
        for (_, name, is_new) in due.extract_if(.., |due| due.0 <= now).collect::<Vec<_>>() {
            if is_new {
                world.add_worker(&format!("n{successors:03}"), 16);
                successors += 1;
            } else {
                world.unlist_worker(&name);
            }
        }
    }
    let overspent = world.overspent().len();
    let crashed = world.crashes.past.len();
    assert!(
        overspent == 0 && crashed <= 20,
        "{overspent} tasks overspent, {} starts, {crashed} workers crashed, {:?}",
        starts_count(&world, id),
        world.state(id)
    );
}

fn starts_count(world: &World, id: JobId) -> usize {
    world.starts_of(id).len()
}

/// Workers that are back only after the waits have begun.
#[test_case(30_000, 0; "30 s")]
#[test_case(60_000, 0; "60 s")]
#[test_case(30_000, 7_000; "30 s, owners in turn")]
#[test_case(60_000, 7_000; "60 s, owners in turn")]
fn a_deadly_task_is_given_up_whose_workers_are_away_for_long(down_ms: Millis, term_ms: Millis) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(4, 2, 1_000)]));
    let how = Deadly {
        delay_ms: Some(300),
        down_ms,
        is_renamed: false,
    };
    world.crashes.deadly.insert(id, how);
    let end = world.now + 300_000;
    while world.now < end {
        world.run(if term_ms > 0 { term_ms } else { 10_000 });
        if term_ms > 0 {
            world.take_over();
        }
    }
    assert!(
        world.overspent().is_empty(),
        "{:?}, {} starts",
        world.overspent(),
        starts_count(&world, id)
    );
    assert_eq!(world.state(id), Some(JobState::Failed));
}

/// Cuts, pauses, entries that come and go, late orders, lost answers and changes of the owner; no
/// worker crashes.
#[test_case(0; "incarnations known")]
#[test_case(1; "some incarnations unknown")]
fn no_crash_is_counted_where_there_is_none(unknown: usize) {
    let seeds: u64 = std::env::var("SILENCE_SEEDS").map_or(40, |seeds| seeds.parse().unwrap());
    let mut failed = Vec::new();
    for seed in 0..seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(10);
        if unknown > 0 {
            for worker in world.workers.values_mut().step_by(2) {
                worker.life.number = 0;
                worker.info.incarnation = 0;
            }
            world.list_workers();
        }
        world.run(1_500);
        for number in 1..=4 {
            world.submit(
                number,
                "push",
                job(vec![standing(2, 1, "s"), step(3, 1, 4_000)]),
            );
        }
        for _ in 0..120 {
            let names: Vec<String> = world.workers.keys().cloned().collect();
            let recent = world
                .starts
                .iter()
                .rev()
                .take(3)
                .map(|start| start.worker.clone());
            let recent: Vec<String> = recent.collect();
            let name = if !recent.is_empty() && rng.random_range(0..3) > 0 {
                recent[rng.random_range(0..recent.len())].clone()
            } else {
                names[rng.random_range(0..names.len())].clone()
            };
            match rng.random_range(0..17) {
                0..=2 => world.set_cut(&name, true),
                3 => world.workers.get_mut(&name).unwrap().silent = true,
                4 => world.unlist_worker(&name),
                5..=6 => {
                    world.workers.get_mut(&name).unwrap().unlisted = false;
                    world.list_workers();
                }
                7..=8 => {
                    for name in &names {
                        if rng.random_range(0..2) == 0 {
                            world.set_cut(name, false);
                            world.workers.get_mut(name).unwrap().silent = false;
                        }
                    }
                }
                9 => {
                    let worker = world.workers.get_mut(&name).unwrap();
                    worker.order_delay = match worker.order_delay {
                        None => Some(rng.random_range(200..4_000)),
                        Some(_) => None,
                    };
                }
                10 => {
                    let worker = world.workers.get_mut(&name).unwrap();
                    worker.drops_start_answers = !worker.drops_start_answers;
                }
                11 => match rng.random_range(0..4) {
                    0 => world.take_over(),
                    1 => world.hand_over(),
                    2 => world.fail_over(rng.random_range(200..3_000)),
                    _ => world.pause_owner(rng.random_range(200..2_500)),
                },
                13 => {
                    world.store_up = !world.store_up;
                    world.commit_ms = [5, 5, 300, 1_500][rng.random_range(0..4)];
                }
                14 => {
                    let worker = world.workers.get_mut(&name).unwrap();
                    worker.has_odd_rows = !worker.has_odd_rows;
                }
                15 => {
                    // The record of an earlier version.
                    for write in world.records.values_mut() {
                        write.record.homes.clear();
                    }
                    world.take_over();
                }
                12 => {
                    // Another writer's address in the entry.
                    let worker = world.workers.get_mut(&name).unwrap();
                    let wrong = names[rng.random_range(0..names.len())].clone();
                    worker.info.address = if rng.random_range(0..2) == 0 {
                        format!("{wrong}:1")
                    } else {
                        worker.address.clone()
                    };
                    world.list_workers();
                }
                _ => {
                    let draining = !world.workers[&name].info.draining;
                    world.workers.get_mut(&name).unwrap().info.draining = draining;
                    world.list_workers();
                }
            }
            let pause = [5, 50, 200, 700, 1_500][rng.random_range(0..5)];
            let mut most = Some(0);
            for _ in 0..pause / 5 {
                world.run(5);
                most = most.max((1..=4).map(|id| most_crashes(&world, JobId(id))).max());
            }
            if most > Some(0) {
                failed.push(format!("seed {seed} at {}: {most:?}", world.now));
                break;
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Workers are lost for good with several young tasks of a step on each.
#[test_case(1; "one worker")]
#[test_case(2; "two in turn")]
fn lasting_tasks_of_vanished_workers_are_not_away_for_long(losses: usize) {
    let mut world = World::new(1);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(8, 1, "s")]));
    await_starts(&mut world, id, 8);
    for number in 1..16 {
        world.add_worker(&format!("w{number:02}"), 16);
    }
    let (mut lost, mut last_loss) = (0, 0);
    let mut unlists: Vec<(Millis, String)> = Vec::new();
    let mut away = [0; 8];
    let mut longest = 0;
    for _ in 0..12_000 {
        world.run(5);
        let now = world.now;
        let starts = world.starts_of(id).into_iter().cloned().collect::<Vec<_>>();
        let young = starts.iter().filter(|start| {
            world.workers[&start.worker].down_until <= now
                && world.workers[&start.worker].life.runs.len() > 1
                && now >= start.at + 200
                && start.at > last_loss
        });
        let name = young.map(|start| start.worker.clone()).next();
        if let Some(name) = name.filter(|_| lost < losses) {
            lost += 1;
            last_loss = now;
            world.crash_worker(&name, NEVER_BACK);
            unlists.push((now + UNLISTED_MS, name));
        }
        for (_, name) in unlists
            .extract_if(.., |due| due.0 <= now)
            .collect::<Vec<_>>()
        {
            world.unlist_worker(&name);
        }
        for (index, away) in (0u32..).zip(&mut away) {
            let runs = world.workers.values().flat_map(|worker| &worker.life.runs);
            let is_away = !runs.into_iter().any(|run| run.task.index == index);
            *away = if is_away { *away + 5 } else { 0 };
            longest = longest.max(*away);
        }
    }
    assert!(
        lost == losses && longest <= AWAY_MS,
        "{lost} lost, away for {longest} ms"
    );
}

/// Three workers are cut off one after the other for 25 s, each soon after the start of a lasting task.
#[test_case(true; "not listed")]
#[test_case(false; "listed")]
fn a_lasting_task_is_not_away_for_long_after_workers_were_cut_off(is_unlisted: bool) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    let mut cuts: Vec<(Millis, String)> = Vec::new();
    let (mut away, mut longest) = (0, 0);
    let end = world.now + 60_000;
    while world.now < end {
        world.run(5);
        let now = world.now;
        let start = world.starts_of(id).get(cuts.len()).copied().cloned();
        if let Some(start) = start.filter(|start| cuts.len() < 3 && now >= start.at + 200) {
            world.set_cut(&start.worker, true);
            cuts.push((now, start.worker));
        }
        for (at, name) in &cuts {
            if is_unlisted && now == at + UNLISTED_MS {
                world.unlist_worker(name);
            }
            if now == at + 25_000 {
                world.set_cut(name, false);
                world.workers.get_mut(name).unwrap().unlisted = false;
                world.list_workers();
            }
        }
        let is_away = world.workers_of(id).is_empty();
        away = if is_away { away + 5 } else { 0 };
        longest = longest.max(away);
    }
    assert!(
        longest <= AWAY_MS,
        "away for {longest} ms after {} starts",
        starts_count(&world, id)
    );
}

/// The next incarnation says that it drains before it answers: the one before had not.
#[test]
fn a_crash_is_counted_although_the_next_incarnation_drains() {
    let mut world = World::new(6);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    let name = await_starts(&mut world, id, 1);
    world.run(300);
    let how = Deadly {
        delay_ms: None,
        down_ms: 2_000,
        is_renamed: false,
    };
    world.crash_worker(&name, how);
    world.run(1_950);
    world.workers.get_mut(&name).unwrap().info.draining = true;
    world.list_workers();
    let mut most = 0;
    for _ in 0..600 {
        world.run(5);
        most = most.max(most_crashes(&world, id));
    }
    assert_eq!((most, starts_count(&world, id)), (1, 2));
}

/// An earlier owner goes on without the store and reaches some workers only.
#[test]
fn no_crash_is_counted_beside_two_owners() {
    let mut failed = Vec::new();
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(10);
        world.run(1_500);
        for number in 1..=4 {
            world.submit(
                number,
                "push",
                job(vec![standing(2, 1, "s"), step(3, 1, 4_000)]),
            );
            world.run(rng.random_range(5..400));
        }
        let names: Vec<String> = world.workers.keys().cloned().collect();
        let zone = rng.random_range(1..9);
        let zone: Vec<&str> = names[..zone].iter().map(String::as_str).collect();
        let silent = rng.random_range(0..3);
        for name in &names[..silent] {
            world.unlist_worker(name);
        }
        world.split_owner(&zone);
        let mut most = Some(0);
        for tick in 0..6_000 {
            world.run(5);
            if tick == 3_000 {
                for name in &names {
                    world.set_cut(name, false);
                }
            }
            most = most.max((1..=4).map(|id| most_crashes(&world, JobId(id))).max());
        }
        if most > Some(0) {
            failed.push(format!("seed {seed}: {most:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
