//! Cost of the decision on a new job, with the largest digest:
//! `cargo bench -p verbenahitch --bench admission`. An entry host decides on each job that
//! it receives; the goal is 50 microseconds.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use verbenahitch::dispatch::{
    Amount, Digest, JobRecord, JobSpec, PoolLimit, Queue, QueueForecast, StepSpec,
};
use verbenahitch::domain::Monotonic;
use verbenahitch::entry::admission::{KnownDigest, decide};

const ROWS: usize = 16;
const STEPS: u32 = 5;

fn record() -> JobRecord {
    let step = |number: u32| StepSpec {
        count: 20,
        amount: Amount {
            cpu_milli: 1_800,
            memory_mb: 3_200,
            gpus: 0,
        },
        estimate_ms: 1_700,
        after: (0..number).collect(),
        filler: true,
        ..StepSpec::default()
    };
    JobRecord {
        queue: Queue {
            name: format!("queue-{}", ROWS - 1),
            pool: format!("pool-{}", ROWS - 1),
            priority: 2,
            attempts: 2,
            stretch: 2.0,
            target_ms: 1_000,
        },
        spec: JobSpec {
            payload: "input".into(),
            steps: (0..STEPS).map(step).collect(),
            repeat: None,
        },
        account: None,
        accepted_ms: 0,
    }
}

fn known() -> KnownDigest {
    let queue = |number: usize| QueueForecast {
        queue: format!("queue-{number}"),
        wait_ms: 60_000,
        error_ms: 2_000,
        rate_milli: 1_500_000,
        ratio_milli: 1_000,
    };
    let pool = |number: usize| PoolLimit {
        pool: format!("pool-{number}"),
        largest: Amount {
            cpu_milli: 16_000,
            memory_mb: 64_000,
            gpus: 0,
        },
    };
    KnownDigest {
        digest: Digest {
            queues: (0..ROWS).map(queue).collect(),
            pools: (0..ROWS).map(pool).collect(),
        },
        fence: 1,
        measured_at: Monotonic(1_000),
    }
}

fn decisions(criterion: &mut Criterion) {
    let (record, known) = (record(), known());
    assert!(decide(&record, Some(&known), Some(1), Monotonic(1_500)).is_some());
    criterion.bench_function("admission/refuse", |bencher| {
        bencher.iter(|| {
            decide(
                black_box(&record),
                black_box(Some(&known)),
                Some(1),
                Monotonic(1_500),
            )
        });
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
