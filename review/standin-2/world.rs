//! What the stand-ins have seen, and the host processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// Runs of a task, with the times of their begin and end.
pub type Runs = Vec<(u64, String, Instant, Option<Instant>)>;

#[derive(Clone)]
pub struct World {
    pub began: Instant,
    seen: Arc<Mutex<Seen>>,
}

#[derive(Default)]
struct Seen {
    lines: Vec<String>,
    runs: BTreeMap<String, Runs>,
    /// Start orders so far, and of how many one is carried out late; zero for none.
    starts: u64,
    late_each: u64,
    /// Tasks with such an order.
    late_tasks: Vec<String>,
    /// Worker and task of the last such order, and whether it may be carried out.
    held: Option<(String, String)>,
    is_released: bool,
    waits_for_release: bool,
    /// Members of gangs that are present, by step and run.
    gangs: BTreeMap<(String, u64), Gang>,
    /// Runs that ended `alone`, and when.
    alone: Vec<(String, Instant)>,
}

/// Members of a gang that have the same run.
#[derive(Default)]
struct Gang {
    present: Vec<String>,
    /// When all were present.
    complete: Option<Instant>,
    is_done: bool,
    /// Whether a member has ended otherwise than with the others.
    is_broken: bool,
}

/// Step that a task belongs to.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or("", |parts| parts.0).to_owned()
}

impl World {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            seen: Arc::default(),
        }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
        println!("{line}");
        self.seen.lock().expect("lock").lines.push(line);
    }

    fn record(&self, text: String) {
        let line = format!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
        self.seen.lock().expect("lock").lines.push(line);
    }

    /// Has one of so many start orders left unanswered and carried out late; zero for none.
    pub fn set_late(&self, each: u64) {
        self.seen.lock().expect("lock").late_each = each;
    }

    /// Counts a start order; whether it is carried out late.
    pub fn is_late_order(&self, task: &str) -> bool {
        let mut seen = self.seen.lock().expect("lock");
        seen.starts += 1;
        let is_late = seen.late_each > 0 && seen.starts.is_multiple_of(seen.late_each);
        if is_late {
            seen.late_tasks.push(task.to_owned());
        }
        is_late
    }

    /// Takes note of a start order that is carried out late.
    pub fn hold_start(&self, worker: &str, task: &str) {
        let mut seen = self.seen.lock().expect("lock");
        seen.held
            .get_or_insert((worker.to_owned(), task.to_owned()));
    }

    /// Worker and task of the first such order.
    pub fn held_start(&self) -> Option<(String, String)> {
        self.seen.lock().expect("lock").held.clone()
    }

    /// Lets it be carried out now.
    pub fn release_start(&self) {
        self.seen.lock().expect("lock").is_released = true;
    }

    /// Has the first such order wait until it is let go, 12 s at the most.
    pub fn set_waits_for_release(&self) {
        self.seen.lock().expect("lock").waits_for_release = true;
    }

    pub fn waits_for_release(&self) -> bool {
        self.seen.lock().expect("lock").waits_for_release
    }

    pub fn is_released(&self) -> bool {
        self.seen.lock().expect("lock").is_released
    }

    /// Takes note that a member of a gang of so many tasks has started.
    pub fn join_gang(&self, task: &str, run: u64, count: usize) {
        let mut seen = self.seen.lock().expect("lock");
        let gang = seen.gangs.entry((step_of(task), run)).or_default();
        gang.present.push(task.to_owned());
        if gang.present.len() == count && !gang.is_broken {
            gang.complete = Some(Instant::now());
        }
    }

    /// How a member that is present since then ends now, if it does.
    pub fn gang_end(
        &self,
        task: &str,
        run: u64,
        since: Instant,
        duration: Duration,
        timeout: Duration,
    ) -> Option<&'static str> {
        let mut seen = self.seen.lock().expect("lock");
        let gang = seen.gangs.get_mut(&(step_of(task), run))?;
        if gang.is_done
            || gang.complete.is_some_and(|at| at.elapsed() >= duration) && !gang.is_broken
        {
            gang.is_done = true;
            return Some("done");
        }
        if gang.is_broken && gang.complete.is_some() {
            return Some("broken");
        }
        if gang.complete.is_none() && since.elapsed() >= timeout {
            seen.alone.push((task.to_owned(), Instant::now()));
            return Some("alone");
        }
        None
    }

    /// For how long all members of a run have been present.
    pub fn gang_worked(&self, task: &str, run: u64) -> Duration {
        let seen = self.seen.lock().expect("lock");
        let gang = seen.gangs.get(&(step_of(task), run));
        gang.and_then(|gang| gang.complete)
            .map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Takes note that a member has ended in some way.
    pub fn leave_gang(&self, task: &str, run: u64, how: &str) {
        let mut seen = self.seen.lock().expect("lock");
        if let Some(gang) = seen.gangs.get_mut(&(step_of(task), run)) {
            gang.present.retain(|other| other != task);
            gang.is_broken |= how != "done" && how != "alone";
        }
    }

    /// Whether the gang of a step has done its work, and the runs of it that ended `alone` after a
    /// moment.
    pub fn gang_state(&self, step: &str, since: Instant) -> (bool, usize) {
        let seen = self.seen.lock().expect("lock");
        let is_done = seen
            .gangs
            .iter()
            .any(|row| row.0.0 == step && row.1.is_done);
        let alone = seen
            .alone
            .iter()
            .filter(|row| step_of(&row.0) == step && row.1 > since);
        (is_done, alone.count())
    }

    /// Tasks of which a start order was carried out late.
    pub fn late_tasks(&self) -> Vec<String> {
        self.seen.lock().expect("lock").late_tasks.clone()
    }

    pub fn run_started(&self, task: &str, number: u64, worker: &str) {
        self.record(format!("{worker} starts {task} run {number}"));
        let mut seen = self.seen.lock().expect("lock");
        let runs = seen.runs.entry(task.to_owned()).or_default();
        runs.push((number, worker.to_owned(), Instant::now(), None));
    }

    pub fn run_ended(&self, task: &str, number: u64, worker: &str, how: &str) {
        self.record(format!("{worker} ends {task} run {number}: {how}"));
        let mut seen = self.seen.lock().expect("lock");
        let runs = seen.runs.entry(task.to_owned()).or_default();
        let run = runs
            .iter_mut()
            .find(|run| run.0 == number && run.1 == worker && run.3.is_none());
        if let Some(run) = run {
            run.3 = Some(Instant::now());
        }
    }

    /// Runs of a task so far.
    pub fn runs(&self, task: &str) -> Runs {
        self.seen
            .lock()
            .expect("lock")
            .runs
            .get(task)
            .cloned()
            .unwrap_or_default()
    }

    pub fn is_running(&self, task: &str) -> bool {
        self.runs(task).iter().any(|run| run.3.is_none())
    }

    pub fn count_running(&self) -> usize {
        let seen = self.seen.lock().expect("lock");
        seen.runs
            .values()
            .flatten()
            .filter(|run| run.3.is_none())
            .count()
    }

    pub fn write(&self, path: &Path) {
        let text = self.seen.lock().expect("lock").lines.join("\n");
        std::fs::write(path, text + "\n").expect("the record can be written");
    }
}

pub const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// A tenth of a second, for which a host's share of a core is an allowance.
const TENTH: Duration = Duration::from_millis(100);

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
}

/// Processor time of all threads of a process, in nanoseconds.
fn cpu_ns(id: i32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{id}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let times = threads.filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    times.sum()
}

/// Stops a process for the rest of each tenth of a second in which it has used its allowance.
fn hold_to_share(id: Arc<AtomicI32>, share: f64) {
    let allowance = (TENTH.as_nanos() as f64 * share) as u64;
    let (mut known, mut base, mut begin, mut is_stopped) = (0, 0, Instant::now(), false);
    loop {
        std::thread::sleep(Duration::from_millis(2));
        let shared = &id;
        let id = shared.load(Ordering::Relaxed);
        if id == 0 {
            (known, is_stopped) = (0, false);
            continue;
        }
        if id != known || begin.elapsed() >= TENTH {
            let used = cpu_ns(id);
            if is_stopped && shared.load(Ordering::Relaxed) == id {
                unsafe { kill(id, SIGCONT) };
            }
            // What was used beyond the allowance is taken off the next one.
            let over = if id == known {
                used.saturating_sub(base + allowance)
            } else {
                0
            };
            (known, base, begin, is_stopped) = (id, used - over, Instant::now(), false);
        }
        if !is_stopped && cpu_ns(id) >= base + allowance {
            unsafe { kill(id, SIGSTOP) };
            is_stopped = true;
        }
    }
}

/// Process of a host, started with the command of the deploy file.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Its process, zero while there is none.
    id: Arc<AtomicI32>,
}

impl Host {
    /// Writes the settings of a host as `DEPLOY.md` describes them.
    pub fn new(folder: &Path, number: usize, share: f64, hold_ms: u64, store: SocketAddr) -> Self {
        let name = format!("frontend-kurume-{}", number + 1);
        // Ports are free on an address that no other process of this machine uses.
        let part = std::process::id().to_le_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            1 + part[0] % 250,
            part[1],
            10 + number as u8,
        ));
        let port = |port| SocketAddr::new(ip, port);
        for taken in [8161, 8167, 7720, 7721] {
            TcpListener::bind(port(taken)).expect("a free port");
        }
        let text = format!(
            "nodeName: \"{name}\"\nrole: \"entry\"\nmachineClass: \"frontend\"\nserves:\n  - \"frontend\"\n\
             ipAddress: \"{ip}\"\nzone: \"kurume\"\nregion: \"kyushu-north\"\nzones:\n  kurume: \"kyushu-north\"\n\
             listenAddresses:\n  frontend: \"{ip}:8161\"\n  readiness: \"{ip}:8167\"\n  controlPlane: null\n\
             internalPortRange:\n  - 7720\n  - 7735\nseedNodes: []\nbootstrap: true\ncountsInTolerance: true\n\
             limits:\n  cpuShare: {share}\n  cpuCores: 1\n  memoryMb: 260\n  fileDescriptors: 4100\n  \
             linkBandwidthMbps: 1000.0\n  diskMb: 0\ndataDirectory: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\n\
             heartbeatIntervalMs: 1500\nbounds:\n  contactTimeoutMs: 3000\n  acknowledgeTimeoutMs: 4000\n  \
             drainTimeoutMs: 2000\n  gracePeriodS: 6\n  configurationApplyMs: 2000\n  evacuationMs: 5000\n  \
             recoveryS: 12\n  maxHoldMs: {hold_ms}\n  stopTimeoutMs: 900\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  \
             visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  noticeMs: 4500\n  \
             enforceFencing: true\n  leaseDurationMs: 3000\ncommandMode: \"call\"\nplatform:\n  \
             address: \"{store}\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  \
             valueBytes: 1048576\n  minTtlMs: 1000\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the folder can be written to");
        let id = Arc::new(AtomicI32::new(0));
        let held = Arc::clone(&id);
        if share < 1.0 {
            std::thread::spawn(move || hold_to_share(held, share));
        }
        Self {
            id,
            log: folder.join(format!("{name}.log")),
            name,
            callers: port(8161),
            readiness: port(8167),
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/verbenahitch-platform")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("VERBENAHITCH_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program of the deploy file is built");
        self.id.store(child.id() as i32, Ordering::Relaxed);
        self.child = Some(child);
    }

    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &mut self.child {
            // A process that is stopped or ended is left alone by what holds it to its share.
            match signal {
                SIGKILL | SIGSTOP => self.id.store(0, Ordering::Relaxed),
                SIGCONT => self.id.store(child.id() as i32, Ordering::Relaxed),
                _ => {}
            }
            // Its own child, which was not waited for.
            unsafe { kill(child.id() as i32, signal) };
            if signal == SIGKILL {
                let _ = child.wait();
                self.child = None;
            }
        }
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().ok().flatten().is_some())
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        size.unwrap_or(0) / 1024
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(900);
        let answer = http::call(self.readiness, "GET", "/readiness", "platform", "", timeout);
        answer.is_some_and(|answer| answer.0 == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.signal(SIGKILL);
    }
}
