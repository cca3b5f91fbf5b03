//! Random sizes of all that callers and workers name, over stores with limits of their own, of
//! which some reject one key for good. Guards against a value that outgrows the store, and against one
//! that stops the rest.

use std::env;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::dispatch::{JobSpec, Pressure, PressureRecord, StepSpec, record_size};
use verbenahitch::entry::IntakeOutcome;

use super::world::{Answer, MemoryKv, Untaken, World, run, step};

/// Number of runs by default; `SIZES` sets another one, `SIZE_SEED` the first seed.
const RUNS: u64 = 6;

const JOBS: u64 = 16;

/// Time between two submissions, so that the learned pressures are written in between.
const PAUSE: Duration = Duration::from_millis(300);

/// Time within which a job completes after the last submission.
const LIMIT: Duration = Duration::from_secs(40);

/// Key of the learned pressures.
const PRESSURES: &str = "learned/headroom";

/// Parts that names are made of.
const PARTS: [&str; 4] = ["r", "\"", "\u{1}", "\u{1F600}"];

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().unwrap())
}

fn image(rng: &mut ChaCha8Rng) -> String {
    let part = PARTS[rng.random_range(0..PARTS.len())];
    let times = [0, 40, 900][rng.random_range(0..3)];
    format!("{}{}", part.repeat(times), rng.random_range(0..200))
}

fn steps(rng: &mut ChaCha8Rng) -> Vec<StepSpec> {
    let count = |rng: &mut ChaCha8Rng| [1, 8, 400][rng.random_range(0..3)];
    let filler = StepSpec {
        filler: true,
        image: image(rng),
        ..step(count(rng).min(8))
    };
    vec![filler, step(count(rng))]
}

fn untaken(rng: &mut ChaCha8Rng) -> Option<Untaken> {
    let prefix = match rng.random_range(0..4) {
        0 => "learned/".to_owned(),
        1 => "quorum/".to_owned(),
        2 => format!("progress/{:016x}", rng.random_range(100..100 + JOBS)),
        _ => return None,
    };
    let answer = [Answer::Rejected, Answer::Refused][rng.random_range(0..2)];
    Some(Untaken { prefix, answer })
}

/// Record of an earlier owner's pressures, of a small store's as large as it takes.
fn learned(rng: &mut ChaCha8Rng, value_max: usize) -> Vec<u8> {
    let mut count = [0, 100, value_max.min(64 * 1_024) / 12][rng.random_range(0..3)];
    loop {
        let rows = (0..count)
            .map(|at| Pressure(format!("f{}", at / 40), format!("s{}", at % 40), 1.25))
            .collect::<Vec<_>>();
        let value = serde_json::to_vec(&PressureRecord::from(rows)).unwrap();
        if value.len() <= value_max {
            return value;
        }
        count -= 16;
    }
}

async fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let kv = MemoryKv::default();
    let value_max = [32, 64, 1_024][rng.random_range(0..3)] * 1_024;
    kv.set_value_max(value_max);
    let learned = learned(&mut rng, value_max);
    kv.put(PRESSURES, &learned);
    let untaken = untaken(&mut rng);
    kv.set_untaken(untaken.clone());
    let length = [1, 24, 150][rng.random_range(0..3)];
    let names = (0..rng.random_range(2..8)).map(|at| format!("{at:0length$}"));
    let world = World::start_named(names, kv).await;
    for id in 1..8 {
        let standing = StepSpec {
            standing: true,
            target_ms: 45,
            image: image(&mut rng),
            ..step(2)
        };
        let outcome = world.submit(id, vec![standing]).await;
        assert_eq!(outcome, IntakeOutcome::Stored, "seed {seed}");
    }
    let mut accepted = Vec::new();
    for id in 100..100 + JOBS {
        let steps = steps(&mut rng);
        let spec = JobSpec {
            payload: "".into(),
            steps: steps.clone(),
            repeat: None,
        };
        let outcome = world.submit(id, steps).await;
        if record_size::fits(&spec, value_max) {
            assert_eq!(outcome, IntakeOutcome::Stored, "seed {seed}");
            accepted.push(id);
        } else {
            assert_eq!(outcome, IntakeOutcome::Unstorable, "seed {seed}");
        }
        tokio::time::sleep(PAUSE).await;
    }
    let is_untaken = |id: u64| {
        let key = format!("progress/{id:016x}");
        untaken.as_ref().is_some_and(|row| row.prefix == key)
    };
    for id in accepted.into_iter().filter(|id| !is_untaken(*id)) {
        assert!(
            world.completes(id, LIMIT).await,
            "seed {seed}: job {id} waits, {untaken:?}"
        );
    }
    if untaken.is_none() {
        let rejected = world.kv.rejected();
        assert_eq!(rejected, 0, "seed {seed}: a value is too large");
        let stored = world.kv.value(PRESSURES).unwrap();
        assert!(stored != learned, "seed {seed}: pressures are not stored");
    }
}

#[test]
fn no_value_outgrows_the_store_or_stops_the_rest() {
    run(async {
        let first = env_number("SIZE_SEED", 1);
        let seeds = first..first + env_number("SIZES", RUNS);
        let plays = seeds.map(|seed| tokio::task::spawn_local(play(seed)));
        for play in plays.collect::<Vec<_>>() {
            play.await.unwrap();
        }
    });
}
