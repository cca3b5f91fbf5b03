//! Cost of choosing a worker, and of committing and releasing its resources, at 50, 300 and 1,200 workers:
//! `cargo bench -p verbenahitch --bench placement`.
//!
//! Each shard is filled in the proportions of the size that the system is designed for:
//! 5,200 latency-critical and 6,600 batch tasks on 1,200 workers, which are nearly full.
//! Criterion reports mean times; the benchmark also prints percentiles of single decisions.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hdrhistogram::Histogram;
use slotmap::SlotMap;
use verbenahitch::domain::{
    Class, Eviction, JobKey, Monotonic, Profile, Resources, TaskKey, WorkerKey,
};
use verbenahitch::placement::{Choice, PlacementRequest, Placer, Resident, WorkerState};
use verbenahitch::port::{LatencyReport, TaskUsage, Usage};

const SIZES: [usize; 3] = [50, 300, 1_200];
const BATCH_PROFILES: usize = 24;
/// Latency-critical tasks per ten workers.
const SERVICE_TENTHS: usize = 43;
/// Batch tasks per ten workers.
const BATCH_TENTHS: usize = 55;
const SINGLE_DECISIONS: u64 = 200_000;
const MAX_NANOS: u64 = 10_000_000_000;

/// Change made to the request of an ordinary task.
type Change = fn(PlacementRequest) -> PlacementRequest;

/// Benchmark cases: ordinary tasks, tasks that can only be refused after a scan of all
/// workers, and urgent tasks that need evictions.
const CASES: [(&str, Change); 3] = [
    ("choose", |request| request),
    ("refuse", |request| {
        sized(request, Resources::new(1, 60_000), false)
    }),
    ("evict", |request| {
        sized(request, Resources::new(12, 2_048), true)
    }),
];

fn sized(mut request: PlacementRequest, resources: Resources, urgent: bool) -> PlacementRequest {
    let profile = Arc::make_mut(&mut request.profile);
    profile.resources = resources;
    profile.urgent = urgent;
    request
}

/// A filled shard, with the means to create further requests.
struct Shard {
    placer: Placer,
    workers: Vec<WorkerKey>,
    jobs: SlotMap<JobKey, ()>,
    profiles: Vec<(Arc<str>, Arc<Profile>)>,
    runs: Vec<(WorkerKey, TaskKey)>,
    next: usize,
}

fn batch_profile(at: usize) -> Profile {
    Profile {
        class: Class::Batch,
        team: format!("team-{}", at % 48),
        resources: Resources::new(1 + at as u64 % 3, 2_048),
        worth: 1 + at as u32 * 7 % 100,
        target_ms: 60_000,
        deadline_ms: 3_600_000,
        max_slowdown: 4.0,
        min_share: 0.25,
        eviction: Eviction::default(),
        idempotent: true,
        urgent: false,
        pressure: 0.01 + 0.002 * at as f64,
    }
}

fn service_profile(at: usize) -> Profile {
    Profile {
        class: Class::LatencyCritical,
        resources: Resources::new(2, 4_096),
        target_ms: 50,
        deadline_ms: 500,
        max_slowdown: 1.4,
        ..batch_profile(at)
    }
}

impl Shard {
    fn new(size: usize) -> Self {
        let mut placer = Placer::new(1);
        let capacity = Resources::new(20, 61_440);
        let workers = (0..size).map(|at| {
            let rack = format!("rack-{}", at / 6);
            placer.add_worker(capacity, &rack, WorkerState::Open)
        });
        let workers = workers.collect();
        let named = |at: usize| {
            (
                Arc::from(format!("batch-{at}")),
                Arc::new(batch_profile(at)),
            )
        };
        let mut shard = Self {
            placer,
            workers,
            jobs: SlotMap::with_key(),
            profiles: (0..BATCH_PROFILES).map(named).collect(),
            runs: Vec::new(),
            next: 0,
        };
        shard.fill(size);
        shard
    }

    fn fill(&mut self, size: usize) {
        for at in 0..size * SERVICE_TENTHS / 10 {
            let name: Arc<str> = Arc::from(format!("service-{}", at % 4));
            let request = self.request_for(name, Arc::new(service_profile(at % 4)));
            match self.workers.get(at).copied() {
                Some(worker) => self.commit(worker, &request),
                None => {
                    self.place(&request);
                }
            }
        }
        for _ in 0..size * BATCH_TENTHS / 10 {
            let request = self.request();
            self.place(&request);
        }
        self.report();
    }

    fn request(&mut self) -> PlacementRequest {
        self.next += 1;
        let (name, profile) = self.profiles[self.next % BATCH_PROFILES].clone();
        self.request_for(name, profile)
    }

    fn request_for(&mut self, name: Arc<str>, profile: Arc<Profile>) -> PlacementRequest {
        PlacementRequest {
            task: TaskKey {
                job: self.jobs.insert(()),
                index: 0,
            },
            name,
            profile,
            avoid: None,
            waited_ms: 0,
        }
    }

    fn place(&mut self, request: &PlacementRequest) -> bool {
        let Choice::Place { worker, .. } = self.placer.choose(request, Monotonic(0)) else {
            return false;
        };
        self.commit(worker, request);
        true
    }

    fn commit(&mut self, worker: WorkerKey, request: &PlacementRequest) {
        let resident = Resident {
            task: request.task,
            run: self.runs.len() as u64,
            name: Arc::clone(&request.name),
            profile: Arc::clone(&request.profile),
            resources: request.profile.resources,
            since: Monotonic(0),
        };
        let committed = self.placer.commit(worker, resident);
        committed.expect("the chosen worker has room for the task");
        self.runs.push((worker, request.task));
    }

    /// Reports usage from every worker, so that the scores include interference estimates.
    fn report(&mut self) {
        for second in 1..10 {
            let now = Monotonic(1_000 * second);
            for worker in self.workers.clone() {
                let tasks = self.placer.residents(worker).map(|run| TaskUsage {
                    run: run.run,
                    millicores: 900,
                    memory_mib: 1_500,
                });
                let latency = (0..4).map(|at| LatencyReport {
                    profile: format!("service-{at}"),
                    count: 100,
                    p50_us: 10_000,
                    p99_us: 20_000,
                });
                let usage = Usage {
                    age_ms: 1_000,
                    tasks: tasks.collect(),
                    latency: latency.collect(),
                };
                self.placer.observe(worker, &usage, now);
            }
            self.placer.mitigate(now);
        }
    }

    /// Ends one task and places the next, as in the steady state of a busy shard.
    fn turn_over(&mut self) {
        let at = self.next * 7_919 % self.runs.len();
        let (worker, task) = self.runs.swap_remove(at);
        self.placer.release(worker, task);
        let request = self.request();
        if !self.place(&request) {
            let (name, profile) = self.profiles[0].clone();
            let request = self.request_for(name, profile);
            self.commit(worker, &request);
        }
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement");
    for size in SIZES {
        let mut shard = Shard::new(size);
        println!("{size} workers: {} tasks", shard.runs.len());
        for (name, change) in CASES {
            let requests: Vec<PlacementRequest> =
                (0..1_024).map(|_| change(shard.request())).collect();
            print_percentiles(&shard, &requests, name, size);
            group.bench_function(BenchmarkId::new(name, size), |b| {
                let mut at = 0;
                b.iter(|| {
                    at += 1;
                    let request = &requests[at % requests.len()];
                    black_box(shard.placer.choose(request, Monotonic(at as u64)))
                });
            });
        }
        group.bench_function(BenchmarkId::new("turn-over", size), |b| {
            b.iter(|| shard.turn_over());
        });
    }
    group.finish();
}

fn print_percentiles(shard: &Shard, requests: &[PlacementRequest], name: &str, size: usize) {
    let mut nanos = Histogram::<u64>::new_with_max(MAX_NANOS, 3).expect("the bounds are valid");
    let (mut placed, mut evicted) = (0_u64, 0_u64);
    for at in 0..SINGLE_DECISIONS {
        let request = &requests[at as usize % requests.len()];
        let start = Instant::now();
        let choice = black_box(shard.placer.choose(request, Monotonic(at)));
        let elapsed = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        nanos.saturating_record(elapsed);
        placed += u64::from(matches!(choice, Choice::Place { .. }));
        evicted += u64::from(matches!(choice, Choice::Evict { .. }));
    }
    let at = |quantile| nanos.value_at_quantile(quantile) as f64 / 1_000.0;
    let percent = |part: u64| 100 * part / SINGLE_DECISIONS;
    println!(
        "{name}, {size} workers: p50 {:.2} us, p99 {:.2} us, p99.9 {:.2} us; {} % place, {} % evict",
        at(0.5),
        at(0.99),
        at(0.999),
        percent(placed),
        percent(evicted)
    );
}

criterion_group!(benches, decisions);
criterion_main!(benches);
