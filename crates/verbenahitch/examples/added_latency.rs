//! Latency that the gateway adds to a direct call of an upstream, and the requests
//! per second that it serves per core.
//!
//! The upstreams, the gateway and the callers run in separate processes on loopback.
//! Measurements of direct and of routed calls alternate within one run.
//!
//! Usage: `cargo run --release --example added_latency [seconds] [rate] [threads]`,
//! with the length of each measurement, a rate below saturation in requests per second,
//! and the number of gateway threads.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rocket::http::Header;
use rocket::{Config, Request, Response, routes};
use serde_json::json;
use verbenahitch::adapter::Store;
use verbenahitch::config::{CurrentDeclarations, Declarations};
use verbenahitch::domain::Resources;
use verbenahitch::gateway::{CallerListener, Deps};
use verbenahitch::port::{HostRecord, HostState, SystemClock};
use verbenahitch::settings::Settings;

const UPSTREAMS: usize = 64;
const UPSTREAM_THREADS: u64 = 10;
const TICKS_PER_SECOND: f64 = 100.0;

struct Process {
    child: Child,
    address: SocketAddr,
}

struct Echo(String);

impl<'r> rocket::response::Responder<'r, 'static> for Echo {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Response::build()
            .header(Header::new("x-request-id", self.0))
            .sized_body(5, std::io::Cursor::new("price"))
            .ok()
    }
}

#[rocket::async_trait]
impl<'r> rocket::request::FromRequest<'r> for Echo {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> rocket::request::Outcome<Self, ()> {
        let id = request
            .headers()
            .get_one("x-request-id")
            .unwrap_or_default();
        rocket::request::Outcome::Success(Self(id.to_owned()))
    }
}

#[rocket::get("/quote")]
fn quote(id: Echo) -> Echo {
    id
}

#[rocket::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("upstream") => upstream().await,
        Some("gateway") => gateway(&arguments[2]).await,
        _ => {
            let number = |at: usize, default: u64| {
                arguments
                    .get(at)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(default)
            };
            measure(number(1, 5), number(2, 3_000), number(3, 2)).await;
        }
    }
}

async fn upstream() {
    let config = Config {
        port: 0,
        workers: 2,
        log_level: rocket::config::LogLevel::Off,
        ..Config::release_default()
    };
    let announce = rocket::fairing::AdHoc::on_liftoff("address", |rocket| {
        println!("127.0.0.1:{}", rocket.config().port);
        Box::pin(async {})
    });
    let rocket = rocket::custom(config)
        .attach(announce)
        .mount("/", routes![quote]);
    let _ = rocket.launch().await;
}

async fn gateway(upstream: &str) {
    let unreachable = "127.0.0.1:9";
    let settings: Settings = serde_json::from_value(json!({
        "name": "gw-1", "zone": "a",
        "platform": { "store": unreachable, "hosts": unreachable },
        "peers": { "token-file": "unused", "seeds": [] },
        "gateway": { "callers": "127.0.0.1:0", "operators": unreachable, "metrics": unreachable,
                     "peers": unreachable, "subset": UPSTREAMS },
        "scheduler": { "metrics": unreachable, "peers": unreachable }
    }))
    .expect("the settings are valid");
    let minimal = json!({ "millicores": 1, "memory-mib": 1 });
    let declarations: Declarations = serde_json::from_value(json!({
        "revision": 1,
        "teams": { "t": { "quota": minimal, "token-digest": "0".repeat(64) } },
        "profiles": { "quote": { "class": "latency-critical", "team": "t", "worth": 100,
            "resources": minimal, "target-ms": 50, "deadline-ms": 5_000, "idempotent": true } },
        "kinds": { "quote": { "path": "/quote", "profile": "quote" } },
        "zones": { "a": { "state": "in" } }
    }))
    .expect("the declarations are valid");
    let current = CurrentDeclarations::default();
    current.advance(Arc::new(declarations));
    // One process serves as all upstreams, which together have slots for all callers.
    let hosts = (0..UPSTREAMS).map(|number| HostRecord {
        name: format!("w-{number}"),
        zone: "a".to_owned(),
        rack: "r".to_owned(),
        control: unreachable.to_owned(),
        upstream: upstream.to_owned(),
        slots: 32,
        capacity: Resources::default(),
        state: HostState::Live,
    });
    let (_hosts, list) = tokio::sync::watch::channel(Arc::new(hosts.collect()));
    let callers = CallerListener::start(Deps {
        settings: Arc::new(settings),
        current,
        hosts: list,
        store: Store::new(unreachable, 100),
        clock: Arc::new(SystemClock::default()),
    })
    .await
    .expect("the gateway listens");
    println!("{}", callers.address());
    std::future::pending::<()>().await;
}

impl Process {
    fn start(arguments: &[&str], threads: u64) -> Self {
        let program = std::env::current_exe().expect("the program has a path");
        let mut child = Command::new(program)
            .args(arguments)
            .env("ROCKET_WORKERS", threads.to_string())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program can be started again");
        let output = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the process prints its address");
        let address = line.trim().parse().expect("an address");
        Self { child, address }
    }

    /// CPU time used so far, in seconds.
    fn cpu_s(&self) -> f64 {
        let stat = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(stat).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
        (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS_PER_SECOND
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn measure(seconds: u64, rate: u64, threads: u64) {
    let upstream = Process::start(&["upstream"], UPSTREAM_THREADS);
    let gateway = Process::start(&["gateway", &upstream.address.to_string()], threads);
    println!(
        "| callers | offered/s | route | answered/s | p50 us | p99 us | failed | gateway cores |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (callers, rate) in [(1, 0), (100, rate), (1_000, rate), (100, 0)] {
        for (route, target) in [("direct", &upstream), ("gateway", &gateway)] {
            // Opens the connections before the measurement.
            run(target.address, callers, rate, Duration::from_secs(1)).await;
            let (cpu, start) = (gateway.cpu_s(), Instant::now());
            let length = Duration::from_secs(seconds);
            let (times, failed) = run(target.address, callers, rate, length).await;
            let took = start.elapsed().as_secs_f64();
            let cores = (gateway.cpu_s() - cpu) / took;
            println!(
                "| {callers} | {} | {route} | {:.0} | {} | {} | {failed} | {cores:.2} |",
                if rate == 0 {
                    "closed loop".to_owned()
                } else {
                    rate.to_string()
                },
                times.len() as f64 / took,
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
            );
        }
    }
}

/// Calls `address` from `callers` concurrent callers at `rate` requests per second in total;
/// a rate of zero is a closed loop.
async fn run(
    address: SocketAddr,
    callers: u64,
    rate: u64,
    length: Duration,
) -> (Histogram<u64>, u64) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("a client without TLS always builds");
    let end = Instant::now() + length;
    let tasks: Vec<_> = (0..callers)
        .map(|number| tokio::spawn(call(client.clone(), address, number, callers, rate, end)))
        .collect();
    let mut all = histogram();
    let mut failed = 0;
    for task in tasks {
        let (times, task_failed) = task.await.expect("a caller does not panic");
        all.add(times).expect("the histograms have the same bounds");
        failed += task_failed;
    }
    (all, failed)
}

async fn call(
    client: reqwest::Client,
    address: SocketAddr,
    number: u64,
    callers: u64,
    rate: u64,
    end: Instant,
) -> (Histogram<u64>, u64) {
    let url = format!("http://{address}/quote");
    let interval = match rate {
        0 => Duration::ZERO,
        _ => Duration::from_secs_f64(callers as f64 / rate as f64),
    };
    let mut times = histogram();
    let mut failed = 0;
    let mut next = Instant::now() + interval.mul_f64(number as f64 / callers as f64);
    while next < end {
        if rate > 0 {
            tokio::time::sleep_until(next.into()).await;
        }
        let start = Instant::now();
        let request = client.get(&url).header("x-request-id", format!("{number}"));
        let body = match request.send().await {
            Ok(response) if response.status().is_success() => response.bytes().await.ok(),
            _ => None,
        };
        match body {
            Some(_) => times.saturating_record(start.elapsed().as_micros() as u64),
            None => failed += 1,
        }
        next = (next + interval).max(Instant::now().min(end));
    }
    (times, failed)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
