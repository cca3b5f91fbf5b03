//! A small deployment: the store, workers, entry hosts and the clients' calls.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::host::{self, Host};
use crate::http::{self, Answer};
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Seen, Worker};

/// Host name and prefix of the queue of the clients.
pub const CLIENTS: &str = "shop.example";
pub const PREFIX: &str = "/push/";

/// Time budget of a client's call.
pub const BUDGET: Duration = Duration::from_millis(3_000);

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

pub struct World {
    pub record: Record,
    pub store: Store,
    pub seen: Seen,
    pub workers: Vec<Worker>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl World {
    /// Starts a deployment and waits until its hosts are ready; fails if it does not come up.
    pub fn start(root: &Path, record: &Record, hosts: u8, workers: usize) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(fail)?;
        let (store, seen) = (Store::default(), Seen::default());
        let address = store.start();
        store.put("op/config", &manifest());
        let program = host::command(root).ok_or("the deploy file names no command")?;
        let net = host::free_net(hosts).ok_or("no free loopback addresses")?;
        let mut world = Self {
            record: record.clone(),
            workers: Vec::new(),
            hosts: Vec::new(),
            folder: folder.clone(),
            store,
            seen,
        };
        for at in 0..workers {
            let zone = ZONES[at % ZONES.len()];
            let rack = format!("r-{}", at / 6);
            let name = format!("i-{at:04}");
            let worker = Worker::new(name, zone, rack, &world.store, &world.seen, record);
            worker.start();
            world.workers.push(worker);
        }
        for at in 0..hosts {
            let zone = ZONES[usize::from(at) % ZONES.len()];
            let host = Host::new(root, &folder, &program, net, at + 1, zone, address);
            let mut host = host.map_err(fail)?;
            host.start().map_err(fail)?;
            world.hosts.push(host);
        }
        let until = Instant::now() + Duration::from_secs(10);
        while !world.hosts.iter().all(Host::is_ready) || world.store.leader() == 0 {
            if Instant::now() > until {
                return Err("the hosts are not ready after 10 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts 10 s after the machines do; half of it is enough here.
        std::thread::sleep(Duration::from_secs(5));
        record.note("the deployment is up");
        Ok(world)
    }

    /// Clients of the deployment.
    pub fn caller(&self) -> Caller {
        let hosts = self.hosts.iter();
        Caller {
            hosts: hosts
                .map(|host| (host.name.clone(), host.frontend))
                .collect(),
            record: self.record.clone(),
        }
    }

    /// Whether a task of a job runs on a worker.
    pub fn runs(&self, job: &str) -> bool {
        self.workers.iter().any(|worker| worker.runs(job))
    }

    /// Runs the hosts as the platform does: kills a process above its machine's memory, and starts
    /// one that has ended again a second later.
    pub fn keep_running(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for host in &mut self.hosts {
                let mb = host.resident_mb();
                if mb > host::MEMORY_MB {
                    host.kill();
                    host.kills += 1;
                    host.ended_at = Some(Instant::now());
                    let name = &host.name;
                    self.record
                        .note(format!("platform: {name} has {mb} MB and is killed"));
                }
                if host
                    .ended_at
                    .is_some_and(|at| at.elapsed() >= Duration::from_secs(1))
                {
                    host.ended_at = None;
                    if let Err(error) = host.start() {
                        self.record
                            .note(format!("platform: {}: {error}", host.name));
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until `is_so`; false after the time.
    pub fn wait(&self, limit: Duration, mut is_so: impl FnMut(&Self) -> bool) -> bool {
        let until = Instant::now() + limit;
        while !is_so(self) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }
}

/// Makes the calls of clients.
#[derive(Clone)]
pub struct Caller {
    hosts: Vec<(String, SocketAddr)>,
    record: Record,
}

impl Caller {
    /// Makes one call and notes it.
    pub fn call(&self, at: usize, method: &str, id: &str, body: &str) -> Answer {
        let (name, address) = &self.hosts[at % self.hosts.len()];
        let began = self.record.now_ms();
        let path = format!("{PREFIX}{id}");
        let answer = http::call(*address, method, CLIENTS, &path, body, BUDGET);
        self.record.note(format!(
            "client: {method} {path} ({} bytes) at {name}, sent at {began} ms -> {}",
            body.len(),
            shown(&answer)
        ));
        answer
    }

    /// Submits until a host accepts, with four retries; whether one did.
    pub fn submit(&self, first: usize, id: &str, body: &str) -> bool {
        (first..first + 5).any(|at| {
            let answer = self.call(at, "POST", id, body);
            let is_accepted = matches!(answer, Ok((200..300, _)));
            if !is_accepted {
                std::thread::sleep(Duration::from_millis(500));
            }
            is_accepted
        })
    }

    /// State of a submission, asked at up to three hosts.
    pub fn state(&self, first: usize, id: &str) -> Answer {
        let mut answer = Err("not asked".to_owned());
        for at in first..first + 3 {
            answer = self.call(at, "GET", id, "");
            if matches!(answer, Ok((200 | 410, _))) {
                break;
            }
        }
        answer
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        match std::env::var_os("REVIEW_KEEP") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => {
                let _ = std::fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn shown(answer: &Answer) -> String {
    match answer {
        Ok((status, body)) => format!("{status} {}", body.chars().take(80).collect::<String>()),
        Err(cause) => format!("none: {cause}"),
    }
}

/// A submission of one step.
pub fn one_step(input: &str, count: u64, lasts: bool) -> String {
    let mut step = vec![
        ("count".to_owned(), num(count)),
        ("cpu".to_owned(), num(1_000)),
        ("requestedMemoryMb".to_owned(), num(1_000)),
        ("estimatedMs".to_owned(), num(1_000)),
    ];
    if lasts {
        step.push(("longRunning".to_owned(), Json::Bool(true)));
    }
    let steps = Json::List(vec![Json::Map(step)]);
    map([("specification", text(input)), ("steps", steps)]).print()
}

fn manifest() -> Json {
    let route = map([
        ("name", text("push")),
        ("host", text(CLIENTS)),
        ("pathPrefix", text(PREFIX)),
        ("kind", text("unsafe")),
        ("timeoutMs", num(3_000)),
        ("targetDurationMs", num(1_000)),
        ("priority", num(0)),
        ("service", text("labels")),
        ("maxAttempts", num(3)),
        ("stretch", Json::Num(2.2)),
    ]);
    let service = map([
        ("name", text("labels")),
        ("healthPath", text("/health")),
        ("maxConnections", num(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("enforcesCapacity", Json::Bool(false)),
        ("spare", Json::Bool(false)),
    ]);
    let limits = map([
        ("maxHeaderBytes", num(16_384)),
        ("maxBodyBytes", num(262_144)),
        ("headerTimeoutMs", num(3_000)),
        ("idleTimeoutMs", num(15_000)),
    ]);
    map([
        ("version", num(1)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
