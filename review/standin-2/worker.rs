//! A worker: starts and stops runs, keeps leases, and writes its entry to the store.
//!
//! The specification of a task is its run time in milliseconds, or `lasting`, or `gang N MS`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::quote;
use crate::store::Store;
use crate::world::World;

pub const CPU: u64 = 16_000;
pub const MEMORY_MB: u64 = 64_000;

/// How long a member waits for the others of its gang (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long a call that gets no answer is held.
const SILENCE: Duration = Duration::from_secs(60);

/// When an order that gets no answer is carried out.
const LATE: Duration = Duration::from_secs(2);

/// When at the latest.
const LATEST: Duration = Duration::from_secs(12);

const HEARTBEAT: Duration = Duration::from_millis(1_500);

struct Run {
    number: u64,
    since: Instant,
    duration: Option<Duration>,
    /// Number of members of its gang, and for how long these work together.
    gang: Option<(usize, Duration)>,
}

/// Begin of the present life, in milliseconds since 1970 and on the steady clock.
#[derive(Clone, Copy)]
struct Life {
    born: u128,
    since: Instant,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        Self {
            born: born.as_millis(),
            since: Instant::now(),
        }
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

pub struct Worker {
    name: String,
    life: Mutex<Life>,
    state: Mutex<State>,
    /// Longest lease (`maxHoldMs`).
    hold_ms: u64,
    /// Whether it is lost for good: it neither answers nor works.
    is_gone: AtomicBool,
    /// Connections of the present life.
    connections: Mutex<http::Connections>,
    world: World,
}

impl Worker {
    pub fn start(number: usize, hold_ms: u64, store: &Store, world: &World) -> Arc<Self> {
        let worker = Arc::new(Self {
            name: format!("i-{number:04}"),
            life: Mutex::new(Life::new()),
            state: Mutex::default(),
            hold_ms,
            is_gone: AtomicBool::new(false),
            connections: Mutex::default(),
            world: world.clone(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::clone(&worker);
        let connections = http::serve(listener, move |request| {
            if server.is_gone.load(Ordering::Relaxed) {
                std::thread::sleep(SILENCE);
                return None;
            }
            let task = request.body.text("task");
            if request.path != "/run-start" || !server.world.is_late_order(task) {
                return server.answer(&request);
            }
            server.world.note(&format!(
                "{} leaves the start of {} unanswered and carries it out in {LATE:?}",
                server.name,
                request.body.text("task")
            ));
            server.world.hold_start(&server.name, task);
            let late = Arc::clone(&server);
            std::thread::spawn(move || {
                let sent = Instant::now();
                while sent.elapsed() < LATE || (sent.elapsed() < LATEST && late.is_held(&request)) {
                    std::thread::sleep(Duration::from_millis(2));
                }
                late.answer(&request)
            });
            std::thread::sleep(SILENCE);
            None
        });
        *worker.connections.lock().expect("lock") = connections;
        let ticker = Arc::clone(&worker);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                ticker.tick();
            }
        });
        let (beat, store) = (Arc::clone(&worker), store.clone());
        std::thread::spawn(move || {
            let mut silent = 0;
            for sequence in 1.. {
                if beat.is_gone.load(Ordering::Relaxed) {
                    silent += 1;
                } else {
                    silent = 0;
                    beat.report(&store, address, sequence);
                }
                // The platform removes an entry after three intervals of silence.
                if silent == 3 {
                    store.remove(&format!("servers/{}", beat.name));
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether a late start of it waits for the scenario.
    fn is_held(&self, request: &Request) -> bool {
        let held = self.world.held_start();
        let is_it =
            held.is_some_and(|held| held.0 == self.name && held.1 == request.body.text("task"));
        is_it && self.world.waits_for_release() && !self.world.is_released()
    }

    /// Loses the machine for good, with all that runs on it.
    pub fn lose(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        let mut state = self.state.lock().expect("lock");
        for (task, run) in std::mem::take(&mut state.runs) {
            self.world.leave_gang(&task, run.number, "gone");
            self.world.run_ended(&task, run.number, &self.name, "gone");
        }
    }

    /// Begins its next life, under its name and at its address; it knows nothing of before.
    pub fn come_back(&self) {
        // No connection to the earlier life reaches this one.
        http::close(&self.connections.lock().expect("lock"));
        *self.state.lock().expect("lock") = State::default();
        *self.life.lock().expect("lock") = Life::new();
        self.is_gone.store(false, Ordering::Relaxed);
    }

    fn life(&self) -> Life {
        *self.life.lock().expect("lock")
    }

    fn report(&self, store: &Store, address: SocketAddr, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"label-dispatch\",\"address\":\"{address}\",\"zone\":\"kurume\",\
             \"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"labels\":[\"a\",\"r1-1\"],\"born\":{},\
             \"capacity\":{{\"cpu\":{CPU},\"requestedMemoryMb\":{MEMORY_MB},\"gpu\":0}}}}",
            self.life().born
        );
        store.put(&format!("servers/{}", self.name), &entry);
    }

    fn clock(&self) -> u64 {
        self.life().since.elapsed().as_millis() as u64
    }

    fn tick(&self) {
        let now = self.clock();
        let mut state = self.state.lock().expect("lock");
        let is_lapsed = now > state.lease_end;
        let is_done = |run: &Run| run.duration.is_some_and(|time| run.since.elapsed() >= time);
        let rows = state
            .runs
            .iter()
            .filter_map(|(task, run)| match (is_lapsed, is_done(run)) {
                (true, _) => Some((task.clone(), "lapsed")),
                (false, true) => Some((task.clone(), "done")),
                (false, false) => {
                    let (_, duration) = run.gang?;
                    let end =
                        self.world
                            .gang_end(task, run.number, run.since, duration, GANG_TIMEOUT);
                    end.map(|how| (task.clone(), how))
                }
            });
        let ended: Vec<(String, &'static str)> = rows.collect();
        for (task, how) in ended {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        state
            .ended
            .push((state.last_end, task.to_owned(), run.number, how));
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        self.world.leave_gang(task, run.number, how);
        self.world.run_ended(task, run.number, &self.name, how);
    }

    fn extend(&self, state: &mut State, end: u64) {
        let limit = self.clock() + self.hold_ms;
        state.lease_end = state.lease_end.max(end.min(limit));
    }

    fn answer(&self, request: &Request) -> Answer {
        if request
            .instance
            .as_ref()
            .is_some_and(|name| *name != self.name)
        {
            return Some((421, "{}".to_owned()));
        }
        let fence = request.body.number("fencingToken").unwrap_or(0);
        {
            let mut state = self.state.lock().expect("lock");
            if fence < state.fence {
                return Some(self.refusal("fence"));
            }
            state.fence = fence;
        }
        let ok = Some((200, format!("{{\"clockMs\":{}}}", self.clock())));
        match request.path.as_str() {
            "/hold" => self.hold(request),
            "/run-start" => match self.start_run(request) {
                None => ok,
                Some(reason) => Some(self.refusal(reason)),
            },
            "/run-stop" => {
                let (task, number) = (request.body.text("task"), request.body.number("run"));
                let number = number.unwrap_or(0);
                let mut state = self.state.lock().expect("lock");
                let closed = state.closed.entry(task.to_owned()).or_default();
                *closed = number.max(*closed);
                if state.runs.get(task).is_some_and(|run| run.number == number) {
                    self.end(&mut state, task, "stopped");
                }
                ok
            }
            "/pace" => ok,
            _ => Some((400, "{}".to_owned())),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        let clock = self.clock();
        (
            409,
            format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn start_run(&self, request: &Request) -> Option<&'static str> {
        let body = &request.body;
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0));
        let deadline = body.number("deadlineMs").unwrap_or(0);
        let mut state = self.state.lock().expect("lock");
        if deadline <= self.clock() {
            return Some("late");
        }
        self.extend(&mut state, deadline);
        if state.runs.get(task).is_some_and(|run| run.number == number) {
            return None;
        }
        if state
            .closed
            .get(task)
            .is_some_and(|closed| number <= *closed)
        {
            return Some("old");
        }
        let specification = body.text("specification");
        let duration = specification.parse().ok().map(Duration::from_millis);
        let gang = specification.strip_prefix("gang ").and_then(|text| {
            let (count, millis) = text.split_once(' ')?;
            Some((
                count.parse().ok()?,
                Duration::from_millis(millis.parse().ok()?),
            ))
        });
        let run = Run {
            number,
            since: Instant::now(),
            duration,
            gang,
        };
        state.runs.insert(task.to_owned(), run);
        self.world.run_started(task, number, &self.name);
        if let Some((count, _)) = gang {
            self.world.join_gang(task, number, count);
        }
        None
    }

    fn hold(&self, request: &Request) -> Answer {
        {
            let mut state = self.state.lock().expect("lock");
            if let Some(end) = request.body.number("deadlineMs") {
                self.extend(&mut state, end);
            }
            let acked = request.body.number("ackedUntil").unwrap_or(0);
            state.ended.retain(|end| end.0 > acked);
        }
        let wait = request.body.number("waitMs").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let born = self.life().born;
        while Instant::now() < until && self.state.lock().expect("lock").ended.is_empty() {
            std::thread::sleep(Duration::from_millis(5));
        }
        if self.is_gone.load(Ordering::Relaxed) || self.life().born != born {
            return None;
        }
        let state = self.state.lock().expect("lock");
        let running = state.runs.iter().map(|(task, run)| {
            // A gang advances while all of its members are present.
            let (time, worked) = match run.gang {
                Some((_, time)) => (Some(time), self.world.gang_worked(task, run.number)),
                None => (run.duration, run.since.elapsed()),
            };
            let percent = time.map_or(100, |time| {
                let part = worked.as_millis() * 100 / time.as_millis().max(1);
                part.min(99)
            });
            format!("[{},{},\"\",{percent},1]", quote(task), run.number)
        });
        let finished = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            });
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock(),
            self.life().born,
            running.collect::<Vec<_>>().join(","),
            finished.collect::<Vec<_>>().join(",")
        );
        Some((200, body))
    }
}
