//! Workers of the platform, after PROTOCOL.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Json, map, num, text};
use crate::record::Record;
use crate::store::Store;

pub const CPU: u64 = 16_000;
pub const MEMORY_MB: u64 = 64_000;

/// Longest lease.
pub const MAX_HOLD_MS: u64 = 6_000;

/// Time after which the entry of a silent worker is removed: three report intervals.
const SILENCE: Duration = Duration::from_millis(4_500);

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1);

struct Run {
    number: u64,
    since: Instant,
    /// None for a task that lasts.
    length: Option<Duration>,
}

struct End {
    sequence: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    born: u64,
    since: Instant,
    is_up: bool,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born: born.map_or(1, |since| since.as_millis() as u64),
            since: Instant::now(),
            is_up: true,
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.since.elapsed().as_millis() as u64
    }
}

/// A task's start or end as done, by the record's time.
struct Sight {
    at_ms: u64,
    task: String,
    is_done: bool,
}

/// What all workers have seen together.
#[derive(Clone, Default)]
pub struct Seen(Arc<Mutex<Vec<Sight>>>);

impl Seen {
    fn add(&self, at_ms: u64, task: &str, is_done: bool) {
        let task = task.to_owned();
        let sight = Sight {
            at_ms,
            task,
            is_done,
        };
        self.0.lock().expect("no holder panics").push(sight);
    }

    /// Times of the starts of a job's tasks.
    pub fn starts(&self, job: &str) -> Vec<u64> {
        let seen = self.0.lock().expect("no holder panics");
        let starts = seen.iter().filter(|sight| !sight.is_done);
        let of_job = starts.filter(|sight| sight.task.starts_with(job));
        of_job.map(|sight| sight.at_ms).collect()
    }

    pub fn has_begun(&self, job: &str) -> bool {
        !self.starts(job).is_empty()
    }

    /// Whether a task of a job has ended as done.
    pub fn has_done(&self, job: &str) -> bool {
        let seen = self.0.lock().expect("no holder panics");
        let mut done = seen.iter().filter(|sight| sight.is_done);
        done.any(|sight| sight.task.starts_with(job))
    }
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    zone: &'static str,
    rack: String,
    shared: Arc<(Mutex<Life>, Condvar)>,
    address: Arc<Mutex<Option<SocketAddr>>>,
    store: Store,
    seen: Seen,
    record: Record,
}

impl Worker {
    pub fn new(
        name: String,
        zone: &'static str,
        rack: String,
        store: &Store,
        seen: &Seen,
        record: &Record,
    ) -> Self {
        Self {
            name,
            zone,
            rack,
            shared: Arc::new((Mutex::new(Life::new()), Condvar::new())),
            address: Arc::default(),
            store: store.clone(),
            seen: seen.clone(),
            record: record.clone(),
        }
    }

    pub fn start(&self) {
        let worker = self.clone();
        let address = http::serve(move |request| worker.answer(&request));
        *self.address.lock().expect("no holder panics") = Some(address);
        let worker = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                worker.end_due();
            }
        });
        self.register();
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.shared.0.lock().expect("no holder panics")
    }

    fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    fn register(&self) {
        let address = *self.address.lock().expect("no holder panics");
        let address = address.map_or_else(String::new, |address| address.to_string());
        let (born, clock_ms) = {
            let life = self.life();
            (life.born, life.clock_ms())
        };
        let room = map([
            ("cpu", num(CPU)),
            ("requestedMemoryMb", num(MEMORY_MB)),
            ("gpu", num(0)),
        ]);
        let entry = map([
            ("service", text("labels")),
            ("address", text(&address)),
            ("zone", text(self.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            ("capacity", room),
            ("labels", Json::List(vec![text("a"), text(&self.rack)])),
            ("clockMs", num(clock_ms)),
            ("born", num(born)),
            ("sequence", num(1)),
        ]);
        self.store.put(&self.key(), &entry);
    }

    /// Whether a task of a job runs here.
    pub fn runs(&self, job: &str) -> bool {
        let life = self.life();
        life.is_up && life.runs.keys().any(|task| task.starts_with(job))
    }

    /// The process ends with all that runs on it. Its entry stays until it has been silent for long.
    pub fn crash(&self) {
        let mut life = self.life();
        let tasks: Vec<String> = life.runs.keys().cloned().collect();
        self.record
            .note(format!("worker {} crashes with {tasks:?}", self.name));
        *life = Life::new();
        life.is_up = false;
        drop(life);
        self.shared.1.notify_all();
        let worker = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(SILENCE);
            if !worker.life().is_up {
                worker.store.remove(&worker.key());
            }
        });
    }

    /// The next life begins, under the same identifier.
    pub fn rise(&self) {
        *self.life() = Life::new();
        self.record.note(format!("worker {} is back", self.name));
        self.register();
    }

    fn end_due(&self) {
        let mut life = self.life();
        if !life.is_up {
            return;
        }
        let has_lapsed = life.clock_ms() > life.lease_end;
        let is_done = |run: &Run| {
            run.length
                .is_some_and(|length| run.since.elapsed() >= length)
        };
        let due: Vec<(String, &str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| match (has_lapsed, is_done(run)) {
                (true, _) => Some((task.clone(), "lapsed")),
                (false, true) => Some((task.clone(), "done")),
                (false, false) => None,
            })
            .collect();
        for (task, how) in due {
            self.end(&mut life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        if how == "done" {
            self.seen.add(self.record.now_ms(), task, true);
        }
        life.last_end += 1;
        life.ends.push(End {
            sequence: life.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
        });
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        self.record.note(format!(
            "worker {}: {task} run {} ends {how}",
            self.name, run.number
        ));
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        if request.path == "/health" {
            return Reply::Answer(200, map([]));
        }
        if request
            .instance
            .as_ref()
            .is_some_and(|name| *name != self.name)
        {
            return Reply::Answer(421, map([]));
        }
        let body = &request.body;
        let mut life = self.life();
        if !life.is_up {
            return Reply::Close;
        }
        let clock = ("clockMs", num(life.clock_ms()));
        let fence = body.get("fencingToken").num();
        if fence < life.fence {
            return Reply::Answer(409, map([clock, ("reason", text("fence"))]));
        }
        life.fence = fence;
        match request.path.as_str() {
            "/run-start" => match self.run_start(&mut life, body) {
                None => Reply::Answer(200, map([clock])),
                Some(reason) => Reply::Answer(409, map([clock, ("reason", text(reason))])),
            },
            "/run-stop" => {
                let (task, number) = (body.get("task").str(), body.get("run").num());
                let closed = life.closed.entry(task.to_owned()).or_default();
                *closed = number.max(*closed);
                if life.runs.get(task).is_some_and(|run| run.number == number) {
                    self.end(&mut life, task, "stopped");
                }
                Reply::Answer(200, map([clock]))
            }
            "/pace" => Reply::Answer(200, map([clock])),
            "/hold" => self.hold(life, body),
            _ => Reply::Answer(400, map([clock])),
        }
    }

    fn extend(life: &mut Life, body: &Json) {
        let most = life.clock_ms() + MAX_HOLD_MS;
        let end = body.get("deadlineMs").num().min(most);
        life.lease_end = life.lease_end.max(end);
    }

    fn run_start(&self, life: &mut Life, body: &Json) -> Option<&'static str> {
        let (task, number) = (body.get("task").str(), body.get("run").num());
        if body.get("deadlineMs").num() <= life.clock_ms() {
            return Some("late");
        }
        Self::extend(life, body);
        if life.runs.get(task).is_some_and(|run| run.number == number) {
            return None;
        }
        let is_old = |last: &u64| number <= *last;
        if life.closed.get(task).is_some_and(is_old)
            || life.runs.get(task).is_some_and(|run| number < run.number)
        {
            return Some("old");
        }
        let input = body.get("specification").str();
        life.runs.insert(
            task.to_owned(),
            Run {
                number,
                since: Instant::now(),
                length: input.parse().ok().map(Duration::from_millis),
            },
        );
        self.record.note(format!(
            "worker {}: {task} run {number} starts (fencingToken {})",
            self.name, life.fence
        ));
        self.seen.add(self.record.now_ms(), task, false);
        None
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, body: &Json) -> Reply {
        let born = life.born;
        Self::extend(&mut life, body);
        let acked = body.get("ackedUntil").num();
        life.ends.retain(|end| end.sequence > acked);
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").num());
        while life.ends.is_empty() && life.born == born {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.shared.1.wait_timeout(life, left);
            life = waited.expect("no holder panics").0;
        }
        if life.born != born || !life.is_up {
            return Reply::Close;
        }
        let running = life.runs.iter().map(|(task, run)| {
            let percent = run.length.map_or(100, |length| {
                let part = run.since.elapsed().as_millis() * 100 / length.as_millis().max(1);
                (part as u64).min(99)
            });
            Json::List(vec![
                text(task),
                num(run.number),
                text(""),
                num(percent),
                num(1),
            ])
        });
        let finished = life.ends.iter().take(500).map(|end| {
            Json::List(vec![
                num(end.sequence),
                text(&end.task),
                num(end.run),
                text(end.how),
                text(""),
            ])
        });
        let lists = map([
            ("clockMs", num(life.clock_ms())),
            ("born", num(born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ]);
        Reply::Answer(200, lists)
    }
}
