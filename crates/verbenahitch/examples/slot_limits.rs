//! How gateways that do not see each other share the slots of the same
//! upstreams: by the adaptive limit, by a fixed share, or without a limit.
//!
//! A model in virtual time: an upstream refuses what finds no free slot, and a
//! request that was refused at three upstreams has failed. The gateways run
//! the real routing table and limits.
//!
//! Usage: `cargo run --release --example slot_limits`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};
use verbenahitch::config::{Declarations, Zone, ZoneState};
use verbenahitch::domain::{Monotonic, Resources};
use verbenahitch::gateway::admission::Freed;
use verbenahitch::gateway::route::{ATTEMPTS, Place, Slot, Table};
use verbenahitch::port::{HostRecord, HostState};

const GATEWAYS: usize = 7;
const WORKERS: usize = 50;
const SLOTS: u32 = 8;
const MEAN_SERVICE_US: f64 = 20_000.0;
const DEADLINE_US: u64 = 200_000;
const LENGTH_US: u64 = 20_000_000;
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

/// A request in service.
struct Served {
    gateway: usize,
    worker: usize,
    arrived: u64,
    slot: Slot,
}

struct World {
    policy: Policy,
    random: StdRng,
    tables: Vec<Table>,
    /// Arrival times of the requests that wait at each gateway.
    waiting: Vec<VecDeque<u64>>,
    busy: Vec<u32>,
    served: Vec<Option<Served>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    outcome: Outcome,
}

fn main() {
    println!(
        "| load | callers | limit | answered in time | refusals a request | p50 ms | p99 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let spreads = [
        ("even", [1.0; GATEWAYS]),
        ("uneven", [4.0, 3.0, 2.0, 1.0, 1.0, 0.5, 0.5]),
    ];
    for load in [0.7, 0.95, 1.5] {
        for (name, weights) in &spreads {
            for policy in [Policy::Adaptive, Policy::FixedShare, Policy::Unlimited] {
                let run = |seed| World::new(policy, seed).run(load, weights);
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
        let spread = all.iter().map(|one| (one - mean).abs()).fold(0.0, f64::max);
        format!("{mean:.3} ± {spread:.3}")
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
        Policy::Adaptive => SLOTS,
        Policy::FixedShare => SLOTS.div_ceil(GATEWAYS as u32),
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
    let place = Place {
        name: format!("gw-{gateway}"),
        zone: "a".to_owned(),
        subset: 60,
        silence_ms: 1_000,
        freed: Arc::new(Freed::default()),
    };
    Table::default().next(&place, &hosts, Arc::new(declarations))
}

impl World {
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
        let capacity = WORKERS as f64 * f64::from(SLOTS) / MEAN_SERVICE_US;
        let mut next = 0.0;
        while next < LENGTH_US as f64 {
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
            let gateway = self.pick(weights);
            if !self.send(gateway, now, now) {
                self.waiting[gateway].push_back(now);
            }
        }
        self.outcome
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn pick(&mut self, weights: &[f64]) -> usize {
        let mut left = self.random.random::<f64>() * weights.iter().sum::<f64>();
        let reached = |weight: &f64| {
            left -= weight;
            left < 0.0
        };
        weights.iter().position(reached).unwrap_or(0)
    }

    /// Sends a request; false if no slot is free by the gateway's own limits.
    fn send(&mut self, gateway: usize, arrived: u64, now: u64) -> bool {
        let mut tried = Vec::with_capacity(ATTEMPTS);
        for _ in 0..ATTEMPTS {
            let dice = self.random.next_u64();
            let choice = self.tables[gateway].choose(Monotonic(now / 1_000), dice, &tried);
            let Some(choice) = choice else {
                return !tried.is_empty();
            };
            let upstream = Arc::clone(choice.slot.upstream());
            let worker: usize = upstream.name.parse().expect("names are numbers");
            if self.busy[worker] < SLOTS {
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

    /// Ends the request that is due first, and sends one that waited.
    fn finish(&mut self) {
        let Some(Reverse((end, index))) = self.ends.pop() else {
            return;
        };
        let Some(done) = self.served[index].take() else {
            return;
        };
        self.busy[done.worker] -= 1;
        let took = end - done.arrived;
        self.outcome.latencies.push(took);
        self.outcome.in_time += u64::from(took <= DEADLINE_US);
        let upstream = done.slot.upstream();
        if matches!(self.policy, Policy::Adaptive) {
            upstream.limit.taken(upstream.in_flight());
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
