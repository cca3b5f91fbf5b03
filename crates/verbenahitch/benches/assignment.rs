//! Cost of an assignment over a backlog of steps that find no place:
//! `cargo bench -p verbenahitch --bench assignment`.
//!
//! The backlog and the fleet are those of the largest deployment that the system is designed for.
//! Assignments follow each other at the interval of their retries; times are means over
//! these, polls of the workers included.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahitch::dispatch::{
    Amount, Bounds, Dispatcher, JobId, JobRecord, JobSpec, Now, Order, Poll, Pressure,
    PressureRecord, Queue, Report, StepSpec, WorkerInfo,
};
use verbenahitch::domain::{Millis, Monotonic};

const WORKERS: u64 = 540;
const BACKLOG: u64 = 3_000;

/// Time between two assignments without a change, in milliseconds.
const INTERVAL_MS: Millis = 100;

/// Step of a job, by its number.
type Spec = fn(u64) -> StepSpec;

/// Backlogs of fillers too large for the workers' idle CPU, or without a worker.
const CASES: [(&str, Spec); 4] = [
    ("one shape", |_| step(4_000, 1_000)),
    ("shapes, the least first", |at| step(1_000 + at, 1_000)),
    ("shapes, the greatest first", |at| {
        step(4_000 - at, 300 + at)
    }),
    ("labels that no worker has", |at| StepSpec {
        label: format!("lost-{at}"),
        ..step(100, 300 + at)
    }),
];

fn step(cpu_milli: u64, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        count: 20,
        amount: Amount {
            cpu_milli,
            memory_mb: 100,
            gpus: 0,
        },
        estimate_ms,
        filler: true,
        image: "report".to_owned(),
        ..StepSpec::default()
    }
}

fn queue() -> Queue {
    Queue {
        name: "batch".to_owned(),
        pool: "pool".to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target_ms: 1_000,
    }
}

/// Dispatcher with workers that answer and have little idle CPU.
struct Owner {
    dispatcher: Dispatcher,
    now: Millis,
    polls: VecDeque<(Millis, Poll)>,
}

impl Owner {
    fn new(spec: Spec) -> Self {
        let mut owner = Self::with_workers();
        for number in 0..BACKLOG {
            owner.submit(number, vec![spec(number)]);
        }
        // All workers have answered, and all jobs are late, after this.
        for _ in 0..300 {
            owner.pass();
        }
        owner
    }

    fn with_workers() -> Self {
        let bounds = Bounds {
            lease_ms: 5_000,
            lease_max_ms: 6_000,
            quorum_ms: 1_500,
            relist_ms: 2_500,
            cap_overshoot: 0.1,
            record_max: 1 << 20,
        };
        let mut owner = Self {
            dispatcher: Dispatcher::new(bounds, Monotonic(0)),
            now: 0,
            polls: VecDeque::new(),
        };
        owner.dispatcher.declare(&[queue()], &[], &[]);
        for number in 0..WORKERS {
            let info = WorkerInfo {
                name: format!("worker-{number}"),
                pool: "pool".to_owned(),
                address: format!("worker-{number}:1"),
                zone: "zone".to_owned(),
                capacity: Amount {
                    cpu_milli: 500,
                    memory_mb: 64_000,
                    gpus: 0,
                },
                incarnation: 1,
                ..WorkerInfo::default()
            };
            owner.dispatcher.upsert_worker(info, Monotonic(0));
        }
        owner
    }

    fn submit(&mut self, number: u64, steps: Vec<StepSpec>) {
        let record = JobRecord {
            queue: queue(),
            spec: JobSpec {
                payload: "input".into(),
                steps,
                repeat: None,
            },
            account: None,
            accepted_ms: 0,
        };
        let now = self.clock();
        self.dispatcher.submit(JobId(number), record, now);
    }

    fn clock(&self) -> Now {
        Now {
            at: Monotonic(self.now),
            wall_ms: self.now,
        }
    }

    /// Time that one pass takes.
    fn pass(&mut self) -> Duration {
        self.now += INTERVAL_MS;
        let now = self.clock();
        let is_due = |(due, _): &(Millis, Poll)| *due <= now.at.0;
        while self.polls.front().is_some_and(is_due) {
            let Some((_, poll)) = self.polls.pop_front() else {
                break;
            };
            let report = Report {
                incarnation: 1,
                clock_ms: now.wall_ms,
                running: Vec::new(),
                ended: Vec::new(),
                unread: None,
            };
            let worker = poll.worker;
            self.dispatcher.on_poll_answer(worker, Ok(report), now.at);
        }
        self.dispatcher.confirm_ownership(now.at);
        let began = Instant::now();
        let orders = self.dispatcher.pass(now);
        let took = began.elapsed();
        for order in orders {
            if let Order::Poll(poll) = order {
                self.polls.push_back((self.now + poll.wait_ms, poll));
            }
        }
        took
    }
}

fn assignments(c: &mut Criterion) {
    let mut group = c.benchmark_group("assignment");
    group.sample_size(10);
    for (name, spec) in CASES {
        let mut owner = Owner::new(spec);
        let passes: Vec<Duration> = (0..100).map(|_| owner.pass()).collect();
        println!("{name}: longest of 100 passes {:?}", passes.iter().max());
        group.bench_function(name, |b| {
            b.iter_custom(|count| (0..count).map(|_| owner.pass()).sum());
        });
    }
    group.finish();
}

/// Numbers of steps that no worker can run, in jobs of up to [`JOB_STEPS`].
const HOPELESS: [u64; 3] = [1_000, 10_000, 60_000];
const JOB_STEPS: u64 = 1_000;

/// Label of a step, by its number.
type Label = fn(u64) -> String;

/// Labels of steps that no worker can run.
const LABELS: [(&str, Label); 2] = [
    ("a label of their own", |at| format!("lost-{at}")),
    ("one label", |_| "lost".to_owned()),
];

/// Passes that the growth is measured over. The first ones are left out, in which workers answer.
const FIRST_PASSES: usize = 10;
const PASSES: usize = 5;

/// Prints the time of a pass by the number of steps that no worker can run.
fn hopeless_steps(_: &mut Criterion) {
    for (name, label) in LABELS {
        for steps in HOPELESS {
            let mut owner = Owner::with_workers();
            for job in 0..steps / JOB_STEPS {
                let step = |at| StepSpec {
                    count: 1,
                    label: label(job * JOB_STEPS + at),
                    filler: false,
                    ..step(100, 500)
                };
                owner.submit(job, (0..JOB_STEPS).map(step).collect());
            }
            for _ in 0..FIRST_PASSES {
                owner.pass();
            }
            let mut passes: Vec<Duration> = (0..PASSES).map(|_| owner.pass()).collect();
            passes.sort_unstable();
            let (median, longest) = (passes[PASSES / 2], passes[PASSES - 1]);
            println!("{steps} steps with {name}: median {median:?}, longest {longest:?}");
        }
    }
}

/// Numbers of images that were named so far.
const IMAGES: [usize; 3] = [1_000, 10_000, 100_000];

/// Largest record of learned pressures in bytes.
const RECORD_MAX_BYTES: usize = 65_536;

/// Pressures of as many images on few standing ones, as builds leave them behind.
fn learned(images: usize) -> PressureRecord {
    let image = |kind: &str, at: usize| format!("registry.example/{kind}@sha256:{at:064x}");
    let rows = (0..images).map(|at| Pressure(image("batch", at), image("watch", at % 72), 1.25));
    PressureRecord::from(rows.collect::<Vec<_>>())
}

fn known_images(c: &mut Criterion) {
    let mut group = c.benchmark_group("known images");
    group.sample_size(10);
    for images in IMAGES {
        let mut owner = Owner::new(|at| step(4_000 - at, 300 + at));
        owner.dispatcher.restore_pressures(&learned(images));
        group.bench_function(BenchmarkId::new("assignment", images), |b| {
            b.iter_custom(|count| (0..count).map(|_| owner.pass()).sum());
        });
        group.bench_function(BenchmarkId::new("record", images), |b| {
            b.iter(|| owner.dispatcher.pressure_record(RECORD_MAX_BYTES));
        });
    }
    group.finish();
}

criterion_group!(benches, assignments, known_images, hopeless_steps);
criterion_main!(benches);
