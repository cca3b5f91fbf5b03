//! A small deployment: real entry hosts as processes, with stand-ins for the platform and workers.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::json;
use crate::ledger::Ledger;
use crate::store::Store;
use crate::web;
use crate::worker::{MAX_HOLD_MS, Worker};

/// Time that clients wait for an answer, as in the site files.
pub const PATIENCE: Duration = Duration::from_millis(3_000);

const QUEUE_HOST: &str = "queue.example";
const PREFIX: &str = "/jobs/";

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub hosts: Vec<Host>,
    pub ledger: Ledger,
    program: String,
    folder: PathBuf,
}

pub fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

impl Deployment {
    /// Starts `shares.len()` entry hosts and a worker for each kind. `program` is what the deploy
    /// file names.
    pub fn start(
        program: &str,
        folder: &Path,
        record: &str,
        shares: &[f64],
        kinds: &[&str],
        cores: u64,
    ) -> Result<Self, String> {
        let ledger = Ledger::new(record).map_err(|error| error.to_string())?;
        let store = Store::start();
        let workers = kinds.iter().enumerate().map(|(at, kind)| {
            let rack = format!("r1-{}", at / 2);
            Worker::start(
                &format!("i-{:010x}", 0x27_8e96_e7c9_u64 + at as u64 * 0x11_1235_8313),
                kind,
                &rack,
                cores,
                &store,
                &ledger,
            )
        });
        let workers: Vec<Worker> = workers.collect();
        let manifest = format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"queue\",\"host\":\"{QUEUE_HOST}\",\"pathPrefix\":\"{PREFIX}\",\
             \"service\":\"pool\",\"priority\":0,\"maxAttempts\":3,\"stretch\":1.5,\"targetDurationMs\":250}}],\
             \"services\":[{{\"name\":\"pool\",\"enforcesCapacity\":false}}],\"limits\":{{}}}}"
        );
        store.put("op/config", &json::read(manifest.as_bytes()));
        let mut deployment = Self {
            hosts: Vec::new(),
            store,
            workers,
            ledger,
            program: program.to_owned(),
            folder: folder.to_owned(),
        };
        for (number, share) in shares.iter().enumerate() {
            let host = Host::new(folder, number, *share, deployment.store.address);
            deployment.hosts.push(host);
            deployment.start_host(number)?;
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    pub fn start_host(&mut self, number: usize) -> Result<(), String> {
        let (program, folder) = (self.program.clone(), self.folder.clone());
        let host = &mut self.hosts[number];
        host.start(&program, &folder)?;
        self.ledger.note(&format!("{} is started", host.name));
        Ok(())
    }

    fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for host in &self.hosts {
            loop {
                let answer = web::call(host.readiness, "GET", "ready", "/readiness", "", PATIENCE);
                if matches!(answer, Ok((200, _))) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not ready: {answer:?}", host.name));
                }
                pause(50);
            }
        }
        Ok(())
    }

    pub fn caller(&self) -> Caller {
        Caller {
            hosts: self
                .hosts
                .iter()
                .map(|host| (host.name.clone(), host.callers))
                .collect(),
            ledger: self.ledger.clone(),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
    }
}

impl Host {
    fn new(folder: &Path, number: usize, share: f64, store: SocketAddr) -> Self {
        let name = format!("frontend-a-{number}");
        // Each host has a loopback address of its own, so that its ports are free.
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 20 + number as u8, high, low.max(1));
        let [callers, readiness, control] =
            [8161, 8167, 8166].map(|port| SocketAddr::from((address, port)));
        let text = format!(
            "nodeName: \"{name}\"\nrole: \"entry\"\nmachineClass: \"frontend\"\nserves:\n  - \"frontend\"\n\
             ipAddress: \"{address}\"\nzone: \"a\"\nregion: \"r\"\nzones:\n  a: \"r\"\nlistenAddresses:\n  \
             frontend: \"{callers}\"\n  readiness: \"{readiness}\"\n  controlPlane: \"{control}\"\n\
             internalPortRange:\n  - 7720\n  - 7735\nseedNodes: []\nbootstrap: true\nlimits:\n  \
             cpuShare: {share}\n  cpuCores: 1\n  memoryMb: 260\n  fileDescriptors: 4100\n\
             heartbeatIntervalMs: 1500\nbounds:\n  contactTimeoutMs: 3000\n  maxHoldMs: {MAX_HOLD_MS}\n  \
             stopTimeoutMs: 400\n  cancel_ms: 3000\n  visible_ms: 3000\n  leaseDurationMs: 3000\n\
             commandMode: \"call\"\nplatform:\n  address: \"{store}\"\n  form: \"kv\"\n  writesPerS: 400\n  \
             readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  minTtlMs: 1000\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the folder can be written to");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            callers,
            readiness,
            settings,
            child: None,
        }
    }

    fn start(&mut self, program: &str, folder: &Path) -> Result<(), String> {
        let text = |error: std::io::Error| error.to_string();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(text)?;
        let child = Command::new(program)
            .env("VERBENAHITCH_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn();
        let child = child.map_err(|error| format!("{program}: {error}"))?;
        // The script ends these processes if this one is ended from outside.
        let pids = folder.join("pids");
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(pids)
            .map_err(text)?;
        use std::io::Write;
        writeln!(pids, "{}", child.id()).map_err(text)?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory of the process in megabytes, zero while there is none.
    pub fn memory_mb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
            / 1024
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        (self.child.as_mut()).is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

/// Clients.
#[derive(Clone)]
pub struct Caller {
    hosts: Vec<(String, SocketAddr)>,
    ledger: Ledger,
}

impl Caller {
    /// Calls one host; the status, and the state or the count of the answer.
    pub fn call(
        &self,
        host: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let (name, address) = &self.hosts[host % self.hosts.len()];
        let path = format!("{PREFIX}{id}");
        let answer = web::call(*address, method, QUEUE_HOST, &path, body, PATIENCE);
        let shown = match &answer {
            Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            Err(error) => format!("no answer: {error}"),
        };
        let note = format!("{method} {id} at {name} -> {shown}");
        self.ledger.note(&note);
        answer.map(|(status, body)| {
            let state = json::read(&body).get("state").text().to_owned();
            (status, state)
        })
    }

    /// Hands a submission in, again at other hosts while there is no answer or a refusal.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        for host in 0..4 {
            match self.call(host, "POST", id, body) {
                Ok((200, _)) => return true,
                Ok((400 | 404 | 413, _)) => return false,
                _ => pause(300),
            }
        }
        false
    }

    /// State as shown; asks again at other hosts for some seconds.
    pub fn state(&self, id: &str) -> String {
        for host in 0..6 {
            if let Ok((status, state)) = self.call(host, "GET", id, "") {
                match status {
                    200 => return state,
                    410 => return "410".to_owned(),
                    _ => {}
                }
            }
            pause(500);
        }
        "no answer".to_owned()
    }
}

/// Body of a submission with one step.
pub fn one_step(specification: &str, step: &str) -> String {
    format!("{{\"specification\":\"{specification}\",\"steps\":[{{{step}}}]}}")
}

/// Traffic of small submissions, until it is stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<Vec<String>>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Traffic {
    /// Hands in a submission of one such step each `interval_ms`.
    pub fn start(caller: Caller, interval_ms: u64, specification: &str, step: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, body) = (Arc::clone(&stop), one_step(specification, step));
        let thread = std::thread::spawn(move || {
            let mut accepted = Vec::new();
            let mut host = 0;
            while !stopped.load(Ordering::Relaxed) {
                let id = next_id();
                if matches!(caller.call(host, "POST", &id, &body), Ok((200, _))) {
                    accepted.push(id);
                }
                host += 1;
                pause(interval_ms);
            }
            accepted
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }

    /// Stops it; returns the accepted submissions.
    pub fn stop(&mut self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take();
        thread
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default()
    }
}
