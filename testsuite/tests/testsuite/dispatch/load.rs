//! The loads that each decision answers, replayed.

use std::time::{Duration, Instant};

use super::world::{World, filler, job, standing, step};

/// Eight standing jobs that fit nowhere must not hold up what stands behind them.
#[test]
fn steps_without_a_place_hold_up_nothing_else() {
    let mut world = World::new(4);
    for number in 0..10 {
        world.submit(number, "push", job(vec![standing(1, 15, "large")]));
    }
    world.run(1_000);
    let small = world.submit(100, "push", job(vec![step(4, 1, 300)]));
    world.run(1_500);
    assert!(world.finished.contains_key(&small));
}

/// Harmful fillers beside many standing tasks: tails are relieved within the bound
/// of three and a half seconds, and the batch work is finished.
#[test]
fn harmful_fillers_are_kept_from_the_images_they_slow() {
    let mut world = World::new(8);
    let pair = ("heavy".to_owned(), "weak".to_owned());
    world.harm.insert(pair, 12.0);
    for number in 0..3 {
        world.submit(number, "push", job(vec![standing(3, 4, "weak")]));
        world.submit(10 + number, "push", job(vec![standing(3, 4, "strong")]));
    }
    world.run(1_500);
    let mut fillers = Vec::new();
    for wave in 0..10 {
        let image = if wave % 2 == 0 { "heavy" } else { "light" };
        fillers.push(world.submit(100 + wave, "batch", job(vec![filler(4, 2, 1_500, image)])));
        world.run(1_000);
    }
    let learning = world.over_ms;
    for wave in 0..10 {
        fillers.push(world.submit(200 + wave, "batch", job(vec![filler(4, 2, 1_500, "heavy")])));
        world.run(1_000);
    }
    let learned = world.over_ms - learning;
    world.run(6_000);
    let done = fillers.iter().filter(|id| world.finished.contains_key(id));
    assert_eq!(done.count(), fillers.len());
    // Nine standing tasks of the image, twenty seconds.
    assert!(learned <= 9 * 20_000 / 100, "{learned} ms over the target");
}

/// What was learned of images is still known after a change of the owner.
#[test]
fn learned_pressures_survive_a_change_of_the_owner() {
    let mut world = World::new(2);
    let pair = ("heavy".to_owned(), "weak".to_owned());
    world.harm.insert(pair, 12.0);
    world.submit(1, "push", job(vec![standing(6, 4, "weak")]));
    world.run(1_000);
    for wave in 0..6 {
        world.submit(100 + wave, "batch", job(vec![filler(2, 2, 1_500, "heavy")]));
        world.run(1_500);
    }
    let learned = world.dispatcher.learned();
    let heavy = learned.iter().find(|pressure| pressure.0 == "heavy");
    assert!(
        heavy.is_some_and(|pressure| pressure.2 > 2.0),
        "{learned:?}"
    );
    world.take_over();
    world.dispatcher.relearn(&learned);
    assert_eq!(world.dispatcher.learned(), learned);
}

/// A tenth of the workers turns six times slower, while their looks are answered.
#[test]
fn tasks_on_slow_workers_are_overtaken() {
    let mut world = World::new(10);
    world.run(500);
    world.workers.get_mut("w03").unwrap().speed = 0.15;
    let mut jobs = Vec::new();
    for number in 0..12 {
        jobs.push((
            world.submit(number, "push", job(vec![step(10, 1, 1_000)])),
            world.now,
        ));
        world.run(300);
    }
    world.run(5_000);
    for (id, since) in jobs {
        let took = world.finished.get(&id).map(|at| at - since);
        assert!(took.is_some_and(|took| took <= 3_500), "{took:?}");
    }
}

/// One worker fails all that it starts, and looks idle for it.
#[test]
fn a_worker_that_fails_everything_gets_little() {
    let mut world = World::new(6);
    world.run(500);
    world.workers.get_mut("w02").unwrap().failing = true;
    for number in 0..40 {
        world.submit(number, "push", job(vec![step(4, 1, 400)]));
        world.run(150);
    }
    world.run(2_000);
    let wasted = world.starts.iter().filter(|start| start.worker == "w02");
    assert!(wasted.count() <= 20, "a sixth would be 27 and more");
    assert_eq!(world.finished.len(), 40);
}

/// Tasks on a worker stand still for good.
#[test]
fn tasks_that_stand_still_start_elsewhere() {
    let mut world = World::new(4);
    world.run(500);
    world.workers.get_mut("w01").unwrap().speed = 0.0;
    let id = world.submit(1, "push", job(vec![step(8, 4, 1_000)]));
    world.run(5_000);
    assert!(world.finished.contains_key(&id));
}

/// A burst of batch work of three times what is idle: the order is kept, and what
/// runs gets its processors whole.
#[test]
fn a_burst_is_worked_off_in_order() {
    let mut world = World::new(4);
    world.run(500);
    let jobs: Vec<_> = (0..12)
        .map(|number| world.submit(number, "batch", job(vec![filler(8, 2, 1_000, "f")])))
        .collect();
    world.run(1_500);
    let early = jobs.iter().filter(|id| world.finished.contains_key(id));
    assert!(early.count() >= 3, "shared out, none would be finished yet");
    world.run(5_000);
    assert_eq!(world.finished.len(), 12);
}

/// Fillers with much memory on every worker, then urgent work that needs memory for
/// the processors that are free.
#[test]
fn fillers_leave_memory_for_the_processors_that_are_free() {
    let mut world = World::new(4);
    world.run(500);
    let mut large = filler(24, 1, 4_000, "f");
    large.amount.memory_mb = 12_000;
    let batch = world.submit(1, "batch", job(vec![large]));
    world.run(1_000);
    let mut urgent = step(8, 4, 500);
    urgent.amount.memory_mb = 8_000;
    let since = world.now;
    let push = world.submit(2, "push", job(vec![urgent]));
    world.run(1_500);
    let took = world.finished.get(&push).map(|at| at - since);
    assert!(took.is_some_and(|took| took <= 1_000), "{took:?}");
    world.run(15_000);
    assert!(world.finished.contains_key(&batch));
}

/// Every processor is committed, fresh urgent work never stops, and a standing task
/// fails that was submitted long ago.
#[test]
fn a_standing_task_that_fails_gets_the_next_place() {
    let mut world = World::new(2);
    let lasting = world.submit(1, "push", job(vec![standing(2, 4, "s")]));
    world.run(5_000);
    let mut count = 0;
    let mut press = |world: &mut World, millis: u64| {
        for _ in 0..millis / 100 {
            count += 1;
            world.submit(100 + count, "push", job(vec![step(2, 4, 600)]));
            world.run(100);
        }
    };
    press(&mut world, 1_000);
    let place = (*world.places(lasting).first().unwrap()).to_owned();
    world.workers.get_mut(&place).unwrap().failing = true;
    press(&mut world, 300);
    world.workers.get_mut(&place).unwrap().failing = false;
    press(&mut world, 2_500);
    let running = world.workers.values().flat_map(|worker| &worker.runs);
    assert_eq!(running.filter(|run| run.task.job == lasting).count(), 2);
}

/// A wide burst on a large fleet: deciding on it takes a small part of the 300 ms
/// that the shortest objective leaves beyond the work, also in an unoptimised build.
#[test]
fn a_burst_on_a_large_fleet_is_placed_quickly() {
    let took = (0..3).map(|_| {
        let mut world = World::new(400);
        world.run(200);
        for number in 0..80 {
            world.submit(number, "push", job(vec![step(20, 2, 1_000)]));
        }
        let now = world.clock();
        let began = Instant::now();
        world.dispatcher.pass(now);
        began.elapsed()
    });
    let least = took.min().expect("it was tried");
    assert!(least <= Duration::from_millis(100), "{least:?}");
}

/// Many short tasks beside a store that takes a tenth of a second for a commit: a
/// worker is looked at once for each end, and not again until that is stored.
#[test]
fn ends_that_wait_for_the_store_cause_no_more_looks() {
    let mut world = World::new(5);
    world.commit_ms = 100;
    world.run(500);
    for number in 0..40 {
        world.submit(number, "push", job(vec![step(5, 1, 300)]));
        world.run(100);
    }
    world.run(2_000);
    assert_eq!(world.finished.len(), 40);
    // One for each end, one to acknowledge it, and one in 700 ms for 6.5 s.
    let most = 2 * 200 + 5 * 10;
    assert!(world.look_count <= most, "{} of {most}", world.look_count);
}
