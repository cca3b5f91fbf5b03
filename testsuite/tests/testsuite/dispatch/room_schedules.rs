//! Random schedules of changes of workers' rooms beside other troubles.

use proptest::prelude::*;
use verbenahitch::dispatch::{Amount, JobId};
use verbenahitch::domain::Millis;

use super::world::{FakeWorker, World, filler, job, standing, step};

const WORKERS: usize = 3;

/// Memory of a whole worker in MB.
const MEMORY_MB: u64 = 64_000;

#[derive(Clone, Debug)]
enum Event {
    Submit {
        count: u32,
        cores: u64,
        millis: Millis,
    },
    Fill {
        count: u32,
        cores: u64,
    },
    Serve {
        count: u32,
        cores: u64,
    },
    Cancel {
        id: u64,
    },
    Resize {
        worker: usize,
        cores: u64,
        memory_mb: u64,
    },
    TakeOver,
    HandOver,
    Commit {
        millis: Millis,
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
    Restart {
        worker: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let submit = (1..8_u32, 1..8_u64, 100..1_500_u64);
    let size = (0..WORKERS, 1..17_u64, 1..700_u64);
    prop_oneof![
        6 => submit.prop_map(|(count, cores, millis)| Event::Submit { count, cores, millis }),
        1 => (1..4_u32, 1..4_u64).prop_map(|(count, cores)| Event::Fill { count, cores }),
        1 => (1..4_u32, 1..4_u64).prop_map(|(count, cores)| Event::Serve { count, cores }),
        1 => (0..40_u64).prop_map(|id| Event::Cancel { id }),
        6 => size.prop_map(|(worker, cores, memory_mb)| Event::Resize { worker, cores, memory_mb }),
        1 => Just(Event::TakeOver),
        1 => Just(Event::HandOver),
        2 => (5..1_500_u64).prop_map(|millis| Event::Commit { millis }),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, lasts)| Event::Silence { worker, lasts }),
        2 => (0..WORKERS, any::<bool>()).prop_map(|(worker, lasts)| Event::LoseAnswers { worker, lasts }),
        2 => (0..WORKERS, proptest::option::of(50..1_500_u64)).prop_map(|(worker, millis)| Event::Delay { worker, millis }),
        1 => (0..WORKERS).prop_map(|worker| Event::Restart { worker }),
    ]
}

fn name(worker: usize) -> String {
    format!("w{worker:02}")
}

fn worker(world: &mut World, number: usize) -> &mut FakeWorker {
    world.workers.get_mut(&name(number)).unwrap()
}

fn apply(world: &mut World, event: Event, id: u64) {
    let now = world.now;
    match event {
        Event::Silence { worker: at, lasts } => worker(world, at).silent = lasts,
        Event::LoseAnswers { worker: at, lasts } => worker(world, at).drops_start_answers = lasts,
        Event::Delay { worker: at, millis } => worker(world, at).order_delay = millis,
        Event::Restart { worker: at } => worker(world, at).restart(now, 300),
        Event::Submit {
            count,
            cores,
            millis,
        } => {
            world.submit(id, "batch", job(vec![step(count, cores, millis)]));
        }
        Event::Fill { count, cores } => {
            world.submit(id, "batch", job(vec![filler(count, cores, 800, "fill")]));
        }
        Event::Serve { count, cores } => {
            world.submit(id, "push", job(vec![standing(count, cores, "serve")]));
        }
        Event::Cancel { id } => world.cancel(JobId(id)),
        Event::Resize {
            worker,
            cores,
            memory_mb,
        } => {
            let room = Amount {
                cpu_milli: cores * 1_000,
                memory_mb,
                gpus: 0,
            };
            world.resize_worker(&name(worker), room);
        }
        Event::TakeOver => world.take_over(),
        Event::HandOver => world.hand_over(),
        Event::Commit { millis } => world.commit_ms = millis,
    }
}

/// Number of schedules; `ROOM_SCHEDULES` sets another one.
fn schedules() -> u32 {
    let set = std::env::var("ROOM_SCHEDULES").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: schedules(), ..ProptestConfig::default() })]

    /// No start brings a worker over a room that it has named since the order, and once all is
    /// well again and standing tasks leave their room every job is finished.
    #[test]
    fn schedules_keep_rooms_and_starve_nobody(
        events in proptest::collection::vec((event(), 20..500_u64), 8..40),
    ) {
        let mut world = World::new(WORKERS);
        world.run(1_000);
        for (id, (event, pause)) in (0_u64..).zip(events) {
            apply(&mut world, event, id);
            world.run(pause);
        }
        world.commit_ms = 5;
        for number in 0..WORKERS {
            let worker = worker(&mut world, number);
            (worker.silent, worker.drops_start_answers, worker.order_delay) = (false, false, None);
            let room = Amount { cpu_milli: 16_000, memory_mb: MEMORY_MB, gpus: 0 };
            world.resize_worker(&name(number), room);
        }
        world.cancel_standing();
        for _ in 0..60 {
            if world.waiting_jobs().is_empty() {
                break;
            }
            world.run(1_000);
        }
        prop_assert!(world.rooms_exceeded().is_empty(), "{:#?}", world.rooms_exceeded());
        prop_assert!(world.waiting_jobs().is_empty(), "{:?}", world.waiting_jobs());
    }
}
