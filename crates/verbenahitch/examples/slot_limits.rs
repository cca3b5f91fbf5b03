//! Compares how gateways that do not coordinate share the slots of the same
//! upstreams: with the adaptive limit, with a fixed share each, and without a limit.
//!
//! A simulation in virtual time: an upstream refuses a request when it has no free
//! slot, and a request fails once [`MAX_ATTEMPTS`] upstreams have refused it. The
//! gateways use the real routing table and limits. Shares and refusals are means over
//! the seeds ± the largest deviation of a seed from the mean.
//!
//! Usage: `cargo run --release --example slot_limits`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};
use verbenahitch::config::{Declarations, Zone, ZoneState};
use verbenahitch::domain::{Monotonic, Resources};
use verbenahitch::gateway::admission::SlotSignal;
use verbenahitch::gateway::route::{MAX_ATTEMPTS, RoutingConfig, Slot, Table};
use verbenahitch::port::{HostRecord, HostState};

const GATEWAYS: usize = 7;
const WORKERS: usize = 50;
const SLOTS_PER_WORKER: u32 = 8;
const MEAN_SERVICE_US: f64 = 20_000.0;
const DEADLINE_US: u64 = 200_000;
const DURATION_US: u64 = 20_000_000;
const SEEDS: u64 = 5;

#[derive(Clone, Copy, Debug)]
enum Policy {
    Adaptive,
    FixedShare,
    Unlimited,
}

#[derive(Default)]
struct Outcome {
    offered: u64,
    in_time: u64,
    refusals: u64,
    latencies: Vec<u64>,
}

/// A request that an upstream serves.
struct Served {
    gateway: usize,
    worker: usize,
    arrived: u64,
    slot: Slot,
}

struct Simulation {
    policy: Policy,
    random: StdRng,
    tables: Vec<Table>,
    /// Arrival times of the requests queued at each gateway.
    waiting: Vec<VecDeque<u64>>,
    busy: Vec<u32>,
    served: Vec<Option<Served>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    outcome: Outcome,
}

fn main() {
    println!(
        "| load | callers | limit | answered in time | refusals per request | p50 ms | p99 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let distributions = [
        ("even", [1.0; GATEWAYS]),
        ("uneven", [4.0, 3.0, 2.0, 1.0, 1.0, 0.5, 0.5]),
    ];
    for load in [0.7, 0.95, 1.5] {
        for (name, weights) in &distributions {
            for policy in [Policy::Adaptive, Policy::FixedShare, Policy::Unlimited] {
                let run = |seed| Simulation::new(policy, seed).run(load, weights);
                let runs: Vec<Outcome> = (0..SEEDS).map(run).collect();
                report(load, name, policy, &runs);
            }
        }
    }
}

fn report(load: f64, callers: &str, policy: Policy, runs: &[Outcome]) {
    let ratio = |of: fn(&Outcome) -> u64| {
        let all = runs.iter().map(|run| of(run) as f64 / run.offered as f64);
        let all: Vec<f64> = all.collect();
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        let max_deviation = all.iter().map(|one| (one - mean).abs()).fold(0.0, f64::max);
        format!("{mean:.3} ± {max_deviation:.3}")
    };
    let mut times: Vec<u64> = runs.iter().flat_map(|run| run.latencies.clone()).collect();
    times.sort_unstable();
    let at = |quantile: f64| times[(times.len() as f64 * quantile) as usize] as f64 / 1_000.0;
    println!(
        "| {load} | {callers} | {policy:?} | {} | {} | {:.1} | {:.1} |",
        ratio(|run| run.in_time),
        ratio(|run| run.refusals),
        at(0.5),
        at(0.99),
    );
}

fn table(policy: Policy, gateway: usize) -> Table {
    let zone = Zone {
        state: ZoneState::In,
        shards: 1,
        ramp_ms: 1,
    };
    let declarations = Declarations {
        zones: [("a".to_owned(), zone)].into(),
        ..Declarations::default()
    };
    let slots = match policy {
        Policy::Adaptive => SLOTS_PER_WORKER,
        // Rounded up: together the shares exceed the slots of a worker.
        Policy::FixedShare => SLOTS_PER_WORKER.div_ceil(GATEWAYS as u32),
        Policy::Unlimited => 1_000,
    };
    let host = |number| HostRecord {
        name: format!("{number}"),
        zone: "a".to_owned(),
        rack: "r".to_owned(),
        control: String::new(),
        upstream: String::new(),
        slots,
        capacity: Resources::default(),
        state: HostState::Live,
    };
    let hosts: Vec<HostRecord> = (0..WORKERS).map(host).collect();
    let config = RoutingConfig {
        name: format!("gw-{gateway}"),
        zone: "a".to_owned(),
        subset: 60,
        silence_ms: 1_000,
        slot_signal: Arc::new(SlotSignal::default()),
    };
    Table::default().next(&config, &hosts, Arc::new(declarations))
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            random: StdRng::seed_from_u64(seed),
            tables: (0..GATEWAYS).map(|at| table(policy, at)).collect(),
            waiting: vec![VecDeque::new(); GATEWAYS],
            busy: vec![0; WORKERS],
            served: Vec::new(),
            ends: BinaryHeap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, load: f64, weights: &[f64]) -> Outcome {
        let capacity = WORKERS as f64 * f64::from(SLOTS_PER_WORKER) / MEAN_SERVICE_US;
        let mut next = 0.0;
        while next < DURATION_US as f64 {
            next += self.exponential(1.0 / (capacity * load));
            let now = next as u64;
            while self
                .ends
                .peek()
                .is_some_and(|Reverse((end, _))| *end <= now)
            {
                self.finish();
            }
            self.outcome.offered += 1;
            let gateway = self.pick_gateway(weights);
            if !self.send(gateway, now, now) {
                self.waiting[gateway].push_back(now);
            }
        }
        self.outcome
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn pick_gateway(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.random.random::<f64>() * weights.iter().sum::<f64>();
        let is_picked = |weight: &f64| {
            remaining -= weight;
            remaining < 0.0
        };
        weights.iter().position(is_picked).unwrap_or(0)
    }

    /// Sends a request unless the gateway's own limits leave no slot free; returns whether it
    /// left the queue, served or failed.
    fn send(&mut self, gateway: usize, arrived: u64, now: u64) -> bool {
        let mut tried = Vec::with_capacity(MAX_ATTEMPTS);
        for _ in 0..MAX_ATTEMPTS {
            let random = self.random.next_u64();
            let choice = self.tables[gateway].choose(Monotonic(now / 1_000), random, &tried);
            let Some(choice) = choice else {
                return !tried.is_empty();
            };
            let upstream = Arc::clone(choice.slot.upstream());
            let worker: usize = upstream.name.parse().expect("worker names are numbers");
            if self.busy[worker] < SLOTS_PER_WORKER {
                self.busy[worker] += 1;
                let end = now + self.exponential(MEAN_SERVICE_US) as u64;
                self.ends.push(Reverse((end, self.served.len())));
                self.served.push(Some(Served {
                    gateway,
                    worker,
                    arrived,
                    slot: choice.slot,
                }));
                return true;
            }
            self.outcome.refusals += 1;
            if matches!(self.policy, Policy::Adaptive) {
                upstream.limit.refused();
            }
            tried.push(upstream.id);
        }
        true
    }

    /// Completes the request that ends first, then sends the oldest queued request that
    /// is within its deadline.
    fn finish(&mut self) {
        let Some(Reverse((end, index))) = self.ends.pop() else {
            return;
        };
        let Some(done) = self.served[index].take() else {
            return;
        };
        self.busy[done.worker] -= 1;
        let latency = end - done.arrived;
        self.outcome.latencies.push(latency);
        self.outcome.in_time += u64::from(latency <= DEADLINE_US);
        let upstream = done.slot.upstream();
        if matches!(self.policy, Policy::Adaptive) {
            upstream.limit.accepted(upstream.in_flight());
        }
        drop(done.slot);
        while let Some(arrived) = self.waiting[done.gateway].pop_front() {
            if end > arrived + DEADLINE_US {
                continue;
            }
            if !self.send(done.gateway, arrived, end) {
                self.waiting[done.gateway].push_front(arrived);
            }
            return;
        }
    }
}
