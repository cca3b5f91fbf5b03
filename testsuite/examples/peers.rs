//! Measures, on loopback, the cost of heartbeats between peers and how fast changed
//! declarations reach all processes.
//!
//! Each process is a node with its own thread and sockets; all of them run in this
//! program. Half are schedulers and half gateways, in four availability zones.
//! `cargo run --release -p verbenahitch-testsuite --example peers -- cost` measures
//! heartbeats, `-- spread` measures changes, and no argument measures both.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use verbenahitch::adapter::Store as Client;
use verbenahitch::config::change::{self, Author};
use verbenahitch::config::watch;
use verbenahitch::peer::Role;
use verbenahitch::port::SystemClock;
use verbenahitch_standin::fault::Fault;
use verbenahitch_standin::store::{Settings, Store};

use network::{Network, Process, declarations, wait_until};

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/testsuite/membership/network.rs"]
mod network;

const HEARTBEAT_MS: u64 = 500;
const ZONES: [&str; 4] = ["east", "north", "south", "west"];
const COST_SIZES: [u8; 4] = [4, 8, 16, 28];
const SPREAD_SIZES: [u8; 2] = [7, 28];
const COST_RUNS: usize = 3;
const COST_WINDOW: Duration = Duration::from_secs(10);
const SPREAD_CHANGES: u64 = 60;

/// Writes over all connections; the peers send each message in a single write.
static MESSAGES: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

/// Processes of all zones; every second one is a scheduler that watches the store.
struct Fleet {
    store: Store,
    network: Network,
    processes: Vec<Process>,
    watches: Vec<JoinHandle<()>>,
    revision: u64,
}

impl Fleet {
    async fn start(count: u8) -> Self {
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let zones = ZONES.map(str::to_owned);
        let clock = Arc::new(SystemClock::default());
        let store = Store::with_clock(any_port, &zones, Settings::default(), clock).await;
        let mut fleet = Self {
            store: store.expect("the store starts"),
            network: Network::with_meter(HEARTBEAT_MS, count_write),
            processes: Vec::new(),
            watches: Vec::new(),
            revision: 0,
        };
        for number in 1..=count {
            fleet.add(number);
        }
        for process in &fleet.processes {
            for other in &fleet.processes {
                wait_until("all processes receive each other's heartbeats", || {
                    process.sees_live(other)
                })
                .await;
            }
        }
        fleet
    }

    fn add(&mut self, number: u8) {
        let zone = ZONES[usize::from(number / 2 % 4)];
        let role = if number.is_multiple_of(2) {
            Role::Gateway
        } else {
            Role::Scheduler
        };
        let seeds: Vec<&Process> = self.processes.iter().take(2).collect();
        let process = self.network.start(number, zone, role, &seeds);
        if role == Role::Scheduler {
            let client = Client::new(&self.store.address_for(zone).to_string(), 1_000);
            let (current, handle) = (process.declarations.clone(), process.handle.clone());
            let clock = Arc::clone(&self.network.clock);
            let watch = watch::run(client, current, handle, clock);
            self.watches.push(tokio::spawn(watch));
        }
        self.processes.push(process);
    }

    /// Applies one change; returns the milliseconds until it was in force in each process.
    async fn change(&mut self) -> Vec<f64> {
        let client = Client::new(&self.store.address().to_string(), 1_000);
        let from = self.revision;
        let author = Author {
            write_id: format!("write-{from}"),
            operator: "example".to_owned(),
        };
        let arrivals: Vec<JoinHandle<Instant>> = self
            .processes
            .iter()
            .map(|process| {
                let mut changes = process.declarations.subscribe();
                tokio::spawn(async move {
                    let arrived = changes.wait_for(|revision| *revision > from).await;
                    arrived.expect("the process runs");
                    Instant::now()
                })
            })
            .collect();
        let document = declarations(from, &ZONES);
        let accepted = change::apply(&client, document, from, &author).await;
        self.revision = accepted.expect("the change is accepted").revision;
        let accepted = Instant::now();
        let mut times = Vec::new();
        for arrival in arrivals {
            let arrived = arrival.await.expect("the change arrives");
            times.push(arrived.saturating_duration_since(accepted).as_secs_f64() * 1e3);
        }
        times
    }

    async fn stop(self) {
        self.watches.iter().for_each(JoinHandle::abort);
        let stops = self
            .processes
            .into_iter()
            .map(|process| process.handle.stop());
        futures::future::join_all(stops).await;
    }
}

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let measurement = arguments.first().map(String::as_str);
    if measurement != Some("spread") {
        costs().await;
    }
    if measurement != Some("cost") {
        spreads().await;
    }
}

async fn costs() {
    println!(
        "| processes | run | messages/s a process | bytes/s sent by a process | \
         CPU % a process | resident MB, all |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for count in COST_SIZES {
        for run in 1..=COST_RUNS {
            cost(count, run).await;
        }
    }
}

async fn spreads() {
    println!("| processes | store reached by | p50 ms | p99 ms | max ms | changes |");
    println!("| ---: | --- | ---: | ---: | ---: | ---: |");
    for count in SPREAD_SIZES {
        spread(count, false).await;
        spread(count, true).await;
    }
}

/// Measures the cost of heartbeats while no declarations change.
async fn cost(count: u8, run: usize) {
    let mut fleet = Fleet::start(count).await;
    fleet.change().await;
    tokio::time::sleep(COST_WINDOW / 5).await;
    let (before, spent) = (traffic(), cpu_s());
    let started = Instant::now();
    tokio::time::sleep(COST_WINDOW).await;
    let later = traffic();
    let process_seconds = started.elapsed().as_secs_f64() * f64::from(count);
    // Every write is counted once, at its sender.
    let messages = (later.0 - before.0) as f64 / process_seconds;
    let bytes = (later.1 - before.1) as f64 / process_seconds;
    let cpu_percent = (cpu_s() - spent) / process_seconds * 100.0;
    println!(
        "| {count} | {run} | {messages:.1} | {bytes:.0} | {cpu_percent:.2} | {:.0} |",
        resident_mb()
    );
    fleet.stop().await;
}

/// Measures the time from the acceptance of a change until it is in force in each process.
async fn spread(count: u8, cut: bool) {
    let mut fleet = Fleet::start(count).await;
    fleet.change().await;
    if cut {
        for zone in &ZONES[1..] {
            let zone = Some((*zone).to_owned());
            fleet.store.faults().apply(Fault::Cut { zone });
        }
    }
    let mut times = Vec::new();
    for _ in 0..SPREAD_CHANGES {
        times.extend(fleet.change().await);
    }
    times.sort_by(f64::total_cmp);
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    let reach = if cut {
        "one zone of four"
    } else {
        "all schedulers"
    };
    let (p50, p99, max) = (at(50), at(99), at(100));
    println!("| {count} | {reach} | {p50:.0} | {p99:.0} | {max:.0} | {SPREAD_CHANGES} |");
    fleet.stop().await;
}

fn count_write(bytes: usize) {
    MESSAGES.fetch_add(1, Ordering::Relaxed);
    BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Messages and bytes sent so far.
fn traffic() -> (u64, u64) {
    let messages = MESSAGES.load(Ordering::Relaxed);
    (messages, BYTES.load(Ordering::Relaxed))
}

/// CPU time used by this program so far, in seconds.
fn cpu_s() -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").expect("this runs on Linux");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    // User and system time are fields 14 and 15 of the line.
    (ticks(12) + ticks(13)) / TICKS_PER_S
}

/// Resident memory of this program, in megabytes.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("this runs on Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0.0) / 1024.0
}
