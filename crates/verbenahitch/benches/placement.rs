//! Cost of choosing, occupying and vacating at 50, 300 and 1,200 workers:
//! `cargo bench -p verbenahitch --bench placement`.
//!
//! Each shard is filled as at the size that the design is for: 5,200
//! latency-critical and 6,600 batch tasks on 1,200 workers, nearly full. Besides Criterion's
//! figures of the mean, the percentiles of single decisions are printed.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hdrhistogram::Histogram;
use slotmap::SlotMap;
use verbenahitch::domain::{
    Class, Eviction, JobKey, Monotonic, Profile, Resources, TaskKey, WorkerKey,
};
use verbenahitch::placement::{Ask, Choice, Placer, Resident, WorkerState};
use verbenahitch::port::{LatencyReport, TaskUsage, Usage};

const SIZES: [usize; 3] = [50, 300, 1_200];
const BATCH_PROFILES: usize = 24;
const TENTHS_SERVICE: usize = 43;
const TENTHS_BATCH: usize = 55;
const SINGLE_DECISIONS: u64 = 200_000;
const LONGEST_NANOS: u64 = 10_000_000_000;

/// A change of an ordinary ask.
type Change = fn(Ask) -> Ask;

/// What is asked: ordinary tasks, tasks that only a scan of all workers can
/// refuse, and urgent tasks that need evictions.
const CASES: [(&str, Change); 3] = [
    ("choose", |ask| ask),
    ("refuse", |ask| sized(ask, Resources::new(1, 60_000), false)),
    ("evict", |ask| sized(ask, Resources::new(12, 2_048), true)),
];

fn sized(mut ask: Ask, resources: Resources, urgent: bool) -> Ask {
    let profile = Arc::make_mut(&mut ask.profile);
    profile.resources = resources;
    profile.urgent = urgent;
    ask
}

/// A filled shard and the asks that are made of it.
struct Shard {
    placer: Placer,
    workers: Vec<WorkerKey>,
    jobs: SlotMap<JobKey, ()>,
    profiles: Vec<(Arc<str>, Arc<Profile>)>,
    runs: Vec<(WorkerKey, TaskKey)>,
    next: usize,
}

fn batch(at: usize) -> Profile {
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

fn service(at: usize) -> Profile {
    Profile {
        class: Class::LatencyCritical,
        resources: Resources::new(2, 4_096),
        target_ms: 50,
        deadline_ms: 500,
        max_slowdown: 1.4,
        ..batch(at)
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
        let named = |at: usize| (Arc::from(format!("batch-{at}")), Arc::new(batch(at)));
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
        for at in 0..size * TENTHS_SERVICE / 10 {
            let name: Arc<str> = Arc::from(format!("service-{}", at % 4));
            let ask = self.ask_for(name, Arc::new(service(at % 4)));
            match self.workers.get(at).copied() {
                Some(worker) => self.occupy(worker, &ask),
                None => {
                    self.place(&ask);
                }
            }
        }
        for _ in 0..size * TENTHS_BATCH / 10 {
            let ask = self.ask();
            self.place(&ask);
        }
        self.report();
    }

    fn ask(&mut self) -> Ask {
        self.next += 1;
        let (name, profile) = self.profiles[self.next % BATCH_PROFILES].clone();
        self.ask_for(name, profile)
    }

    fn ask_for(&mut self, name: Arc<str>, profile: Arc<Profile>) -> Ask {
        Ask {
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

    fn place(&mut self, ask: &Ask) -> bool {
        let Choice::Place { worker, .. } = self.placer.choose(ask, Monotonic(0)) else {
            return false;
        };
        self.occupy(worker, ask);
        true
    }

    fn occupy(&mut self, worker: WorkerKey, ask: &Ask) {
        let resident = Resident {
            task: ask.task,
            run: self.runs.len() as u64,
            name: Arc::clone(&ask.name),
            profile: Arc::clone(&ask.profile),
            resources: ask.profile.resources,
            since: Monotonic(0),
        };
        let taken = self.placer.occupy(worker, resident);
        taken.expect("what was chosen fits");
        self.runs.push((worker, ask.task));
    }

    /// Lets every worker report, so that estimates take part in the scores.
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
            self.placer.relieve(now);
        }
    }

    /// One task ends, the next is placed: the steady state of a busy shard.
    fn turn_over(&mut self) {
        let at = self.next * 7_919 % self.runs.len();
        let (worker, task) = self.runs.swap_remove(at);
        self.placer.vacate(worker, task);
        let ask = self.ask();
        if !self.place(&ask) {
            let (name, profile) = self.profiles[0].clone();
            let ask = self.ask_for(name, profile);
            self.occupy(worker, &ask);
        }
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement");
    for size in SIZES {
        let mut shard = Shard::new(size);
        println!("{size} workers: {} tasks", shard.runs.len());
        for (name, change) in CASES {
            let asks: Vec<Ask> = (0..1_024).map(|_| change(shard.ask())).collect();
            print_percentiles(&shard, &asks, name, size);
            group.bench_function(BenchmarkId::new(name, size), |b| {
                let mut at = 0;
                b.iter(|| {
                    at += 1;
                    let ask = &asks[at % asks.len()];
                    black_box(shard.placer.choose(ask, Monotonic(at as u64)))
                });
            });
        }
        group.bench_function(BenchmarkId::new("turn-over", size), |b| {
            b.iter(|| shard.turn_over());
        });
    }
    group.finish();
}

fn print_percentiles(shard: &Shard, asks: &[Ask], name: &str, size: usize) {
    let mut nanos = Histogram::<u64>::new_with_max(LONGEST_NANOS, 3).expect("bounds are valid");
    let (mut placed, mut evicted) = (0_u64, 0_u64);
    for at in 0..SINGLE_DECISIONS {
        let ask = &asks[at as usize % asks.len()];
        let begun = Instant::now();
        let choice = black_box(shard.placer.choose(ask, Monotonic(at)));
        let taken = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
        nanos.saturating_record(taken);
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
