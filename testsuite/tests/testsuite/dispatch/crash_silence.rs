//! Workers that fall silent and live on: cut off from the owner and from the registry at once, or
//! paused. No crash is counted under their runs; beside them, workers that are lost for good.

use test_case::test_case;
use verbenahitch::dispatch::{JobId, JobState};
use verbenahitch::domain::Millis;

use super::world::{Deadly, NEVER_BACK, UNLISTED_MS, World, job, standing, step};

/// Silence of a worker soon after a run has begun there.
struct Silence {
    /// Time from the start of the run to the silence.
    young_ms: Millis,
    /// Length of the silence.
    length_ms: Millis,
    /// Time from its end until the registry has the entry again.
    relisted_ms: Millis,
    /// Time from the begin of the silence until the owner is replaced; none for never.
    owner_ms: Option<Millis>,
    /// Number of workers that fall silent one after the other.
    rounds: usize,
    /// Other workers that fall silent as well.
    others: usize,
}

impl Default for Silence {
    fn default() -> Self {
        Self {
            young_ms: 200,
            length_ms: 7_000,
            relisted_ms: 300,
            owner_ms: None,
            rounds: 6,
            others: 0,
        }
    }
}

/// A worker's silence in progress, by times since the begin of the day.
struct Silent {
    name: String,
    unlisted_at: Millis,
    back_at: Millis,
    relisted_at: Millis,
}

impl Silence {
    /// Silences the worker of each new start; returns the most crashes counted under a task.
    fn play(&self, world: &mut World, id: JobId) -> u32 {
        let mut silent: Vec<Silent> = Vec::new();
        let mut handled = 0;
        let mut most = 0;
        let mut owner_at = None;
        let end = world.now + self.rounds as Millis * 60_000;
        while world.now < end && (handled < self.rounds || !silent.is_empty()) {
            world.run(5);
            let now = world.now;
            assert_ne!(
                world.state(id),
                Some(JobState::Failed),
                "after {handled} runs whose workers fell silent"
            );
            let starts = world.starts_of(id);
            let next = starts.get(handled).copied().cloned();
            if let Some(start) = next.filter(|_| handled < self.rounds)
                && now >= start.at + self.young_ms
            {
                handled += 1;
                owner_at = self.owner_ms.map(|ms| now + ms);
                for name in self.with_others(world, &start.worker) {
                    world.set_cut(&name, true);
                    silent.push(Silent {
                        name,
                        unlisted_at: now + UNLISTED_MS,
                        back_at: now + self.length_ms,
                        relisted_at: now + self.length_ms + self.relisted_ms,
                    });
                }
            }
            for worker in &silent {
                if worker.unlisted_at == now && now < worker.relisted_at {
                    world.unlist_worker(&worker.name);
                }
                if worker.back_at == now {
                    world.set_cut(&worker.name, false);
                }
                if worker.relisted_at == now {
                    world.workers.get_mut(&worker.name).unwrap().unlisted = false;
                    world.list_workers();
                }
            }
            silent.retain(|worker| now < worker.relisted_at);
            if owner_at.take_if(|at| *at <= now).is_some() {
                world.take_over();
            }
            let record = world.records.get(&id);
            let tasks = record.iter().flat_map(|write| &write.record.tasks);
            most = most.max(tasks.map(|task| task.crashes).max().unwrap_or(0));
        }
        assert_eq!(handled, self.rounds, "runs begun until {}", world.now);
        most
    }

    fn with_others(&self, world: &World, name: &str) -> Vec<String> {
        let others = world.workers.values().filter(|worker| !worker.unlisted);
        let others = others.map(|worker| worker.info.name.clone());
        let others = others.filter(|other| *other != name).take(self.others);
        std::iter::once(name.to_owned()).chain(others).collect()
    }
}

/// Lasting jobs were shown as failed whose workers were cut off from the owner and the registry, one
/// after the other, and lived.
#[test_case(Silence::default(); "leases lapse")]
#[test_case(Silence { young_ms: 5, ..Silence::default() }; "right after the start")]
#[test_case(Silence { length_ms: 4_300, ..Silence::default() }; "back as the leases lapse")]
#[test_case(Silence { length_ms: 25_000, ..Silence::default() }; "silent for long")]
#[test_case(Silence { relisted_ms: 2_000, ..Silence::default() }; "answers before it is listed")]
#[test_case(Silence { others: 3, ..Silence::default() }; "with others")]
#[test_case(Silence { owner_ms: Some(2_000), ..Silence::default() }; "owner replaced before the lapse")]
#[test_case(Silence { owner_ms: Some(5_000), ..Silence::default() }; "owner replaced after the lapse")]
#[test_case(Silence { owner_ms: Some(5_000), length_ms: 30_000, ..Silence::default() }; "owner replaced long before the end")]
fn a_worker_that_lives_behind_a_cut_has_not_crashed(silence: Silence) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    assert_eq!(silence.play(&mut world, id), 0, "crashes counted");
    world.run(60_000);
    assert_eq!(world.state(id), Some(JobState::Running));
    assert!(!world.workers_of(id).is_empty());
    world.ledger.assert_once();
}

/// Nothing tells these from workers behind a cut: their tasks wait longer after each loss.
#[test_case(false; "one owner")]
#[test_case(true; "owners in turn")]
fn a_deadly_task_whose_workers_never_return_starts_ever_more_rarely(takes_over: bool) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    let mut handled = 0;
    let mut lost: Vec<(Millis, String)> = Vec::new();
    let end = world.now + 90_000;
    while world.now < end {
        world.run(5);
        let now = world.now;
        let start = world.starts_of(id).get(handled).copied().cloned();
        if let Some(start) = start.filter(|start| now >= start.at + 300) {
            handled += 1;
            world.crash_worker(&start.worker, NEVER_BACK);
            lost.push((now + UNLISTED_MS, start.worker));
        }
        if let Some((_, name)) = lost.pop_if(|(at, _)| *at <= now) {
            world.unlist_worker(&name);
            if takes_over {
                world.take_over();
            }
        }
    }
    assert!(world.overspent().is_empty(), "{handled} starts");
}

/// A worker that is lost for good takes nothing else along at the next start of its task.
#[test]
fn a_task_of_a_worker_that_vanished_starts_apart_from_others() {
    let mut world = World::new(8);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![step(1, 2, 60_000)]));
    while world.starts_of(id).is_empty() {
        world.run(5);
    }
    world.run(300);
    let name = world.starts_of(id)[0].worker.clone();
    world.crash_worker(&name, NEVER_BACK);
    world.unlist_worker(&name);
    while world.starts_of(id).len() == 1 {
        world.submit(world.now, "push", job(vec![step(1, 1, 100)]));
        world.run(50);
    }
    let worker = world.starts_of(id)[1].worker.clone();
    let at = world.now;
    for _ in 0..10 {
        world.submit(world.now, "push", job(vec![step(8, 1, 100)]));
        world.run(50);
    }
    let beside = world.starts.iter().filter(|start| start.at >= at);
    let beside = beside.filter(|start| start.worker == worker && start.task.job != id);
    assert_eq!(beside.count(), 0);
}

/// The registry drops the entry after the leases have lapsed; the next owner knows the worker by
/// name alone.
#[test]
fn a_worker_of_an_earlier_owner_that_is_not_listed_has_not_crashed() {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    for begun in 1..=6 {
        let end = world.now + 60_000;
        while world.starts_of(id).len() < begun && world.now < end {
            world.run(5);
        }
        let name = world.starts_of(id)[begun - 1].worker.clone();
        world.set_cut(&name, true);
        world.unlist_worker(&name);
        world.run(5_000);
        world.take_over();
        world.run(20_000);
        assert_eq!(world.records[&id].record.tasks[0].crashes, 0, "{begun}");
    }
    assert_eq!(world.state(id), Some(JobState::Running));
}

/// The owner is replaced soon after the crash, and the address cannot be reached before the leases
/// of the earlier owner have lapsed.
#[test_case(|_| {}; "one change of owner")]
#[test_case(World::take_over; "two changes of owner")]
fn a_crash_behind_a_cut_is_counted_by_the_next_owner(change: fn(&mut World)) {
    let mut world = World::new(16);
    world.run(1_500);
    let id = world.submit(1, "push", job(vec![standing(1, 2, "s")]));
    while world.starts_of(id).is_empty() {
        world.run(5);
    }
    let name = world.starts_of(id)[0].worker.clone();
    world.set_cut(&name, true);
    let how = Deadly {
        is_renamed: true,
        down_ms: 3_000,
        ..NEVER_BACK
    };
    world.crash_worker(&name, how);
    world.run(400);
    world.take_over();
    world.run(2_000);
    change(&mut world);
    while world.starts_of(id).len() == 1 {
        world.run(5);
    }
    world.set_cut(&name, false);
    let mut most = 0;
    for _ in 0..400 {
        world.run(5);
        most = most.max(world.records[&id].record.tasks[0].crashes);
    }
    assert_eq!(most, 1);
}
