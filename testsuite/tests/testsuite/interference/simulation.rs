//! Simulated workers with known slowdowns, which the placer has to estimate from reports.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::domain::{Monotonic, Profile, Resources, WorkerKey};
use verbenahitch::interference::{Attribution, Mitigation};
use verbenahitch::placement::{Placer, Resident};
use verbenahitch::port::{LatencyReport, TaskUsage, Usage};

use crate::placement::fixture::{Tasks, batch, service, workers};

const LAG_MS: u64 = 2_000;
pub const SERVICE: &str = "service";

/// Batch tasks on one worker, each with its CPU share.
#[derive(Default)]
struct WorkerLoad {
    runs: Vec<(Resident, f64)>,
}

/// Workers with one service each, and the true slowdown of that service.
pub struct Simulation {
    pub placer: Placer,
    pub workers: Vec<WorkerKey>,
    pub baseline_us: f64,
    /// Fraction of the service's baseline latency that one task of each profile adds.
    pub slopes: Vec<(&'static str, f64)>,
    pub noise: f64,
    tasks: Tasks,
    loads: Vec<WorkerLoad>,
    rng: ChaCha8Rng,
    second: u64,
}

impl Simulation {
    pub fn new(count: usize, slopes: &[(&'static str, f64)]) -> Self {
        let mut placer = Placer::new(11);
        let mut tasks = Tasks::default();
        let workers = workers(&mut placer, count, Resources::new(32, 131_072));
        for worker in &workers {
            tasks.put(&mut placer, *worker, SERVICE, &service());
        }
        Self {
            placer,
            loads: workers.iter().map(|_| WorkerLoad::default()).collect(),
            workers,
            baseline_us: 20_000.0,
            slopes: slopes.to_vec(),
            noise: 0.2,
            tasks,
            rng: ChaCha8Rng::seed_from_u64(4),
            second: 0,
        }
    }

    pub fn now(&self) -> Monotonic {
        Monotonic(1_000 * self.second)
    }

    /// Starts a batch task on the worker at an index.
    pub fn put(&mut self, at: usize, name: &str, profile: &Profile) -> Resident {
        let request = self.tasks.request(name, profile);
        let resident = self.tasks.resident(&request, self.now());
        let committed = self.placer.commit(self.workers[at], resident.clone());
        committed.expect("the task fits");
        self.loads[at].runs.push((resident.clone(), 1.0));
        resident
    }

    /// True ratio of the service's latency on a worker to its baseline latency.
    pub fn slowdown(&self, at: usize) -> f64 {
        let runs = self.loads[at].runs.iter();
        let added = runs.map(|(run, share)| share * self.true_slope(&run.name));
        1.0 + added.sum::<f64>()
    }

    /// Whether every batch task has its full CPU share.
    pub fn is_unthrottled(&self) -> bool {
        let mut runs = self.loads.iter().flat_map(|load| &load.runs);
        runs.all(|(_, share)| *share == 1.0)
    }

    fn true_slope(&self, name: &str) -> f64 {
        let slope = self.slopes.iter().find(|(source, _)| *source == name);
        slope.map_or(0.0, |(_, slope)| *slope)
    }

    /// Advances the time by one second and lets every worker report.
    pub fn report(&mut self) {
        self.second += 1;
        for at in 0..self.workers.len() {
            let noise = 1.0 + self.noise * self.rng.random_range(-1.0..1.0);
            let p99 = self.baseline_us * self.slowdown(at) * noise;
            let usage = self.usage(at, p99);
            let now = self.now();
            self.placer.observe(self.workers[at], &usage, now);
        }
    }

    fn usage(&self, at: usize, p99: f64) -> Usage {
        let runs = self.loads[at].runs.iter();
        let tasks = runs.map(|(run, share)| TaskUsage {
            run: run.run,
            millicores: (1_000.0 * share) as u64,
            memory_mib: 512,
        });
        let latency = LatencyReport {
            profile: SERVICE.to_owned(),
            count: 100,
            p50_us: (p99 / 4.0) as u64,
            p99_us: p99 as u64,
        };
        Usage {
            age_ms: LAG_MS,
            tasks: tasks.collect(),
            latency: vec![latency],
        }
    }

    /// Reports and applies the requested actions for some seconds; returns all actions.
    pub fn run(&mut self, seconds: u64) -> Vec<Mitigation> {
        let mut all = Vec::new();
        for _ in 0..seconds {
            self.report();
            let now = self.now();
            for mitigation in self.placer.mitigate(now) {
                self.apply(&mitigation);
                all.push(mitigation);
            }
        }
        all
    }

    fn apply(&mut self, mitigation: &Mitigation) {
        match mitigation {
            Mitigation::Throttle {
                worker,
                task,
                share,
            } => {
                let at = self.at(*worker);
                let runs = self.loads[at].runs.iter_mut();
                for (_, current) in runs.filter(|(run, _)| run.task == *task) {
                    *current = *share;
                }
            }
            Mitigation::Evict { worker, task } => {
                let at = self.at(*worker);
                self.loads[at].runs.retain(|(run, _)| run.task != *task);
                assert!(self.placer.release(*worker, *task));
            }
        }
    }

    fn at(&self, worker: WorkerKey) -> usize {
        let mut all = self.workers.iter();
        all.position(|key| *key == worker)
            .expect("the worker is in the simulation")
    }

    /// The placer's estimate of how much one task of `source` slows the service.
    pub fn estimated(&self, source: &str) -> Attribution {
        let mut all = self.placer.pressures().into_iter();
        all.find(|pair| pair.source == source && pair.victim == SERVICE)
            .expect("the pair was measured")
    }
}

/// A batch profile with a declared pressure.
pub fn batch_with_pressure(pressure: f64) -> Profile {
    Profile {
        pressure,
        ..batch()
    }
}
