//! A worker, by the users' page PROTOCOL. What a task does is in its specification: `ms=500` ends
//! `done` after that time, anything else lasts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json;
use crate::ledger::Ledger;
use crate::store::Store;
use crate::web::{Answer, Request, Server};

/// `heartbeatIntervalMs` and `maxHoldMs` of the settings.
pub const BEAT: Duration = Duration::from_millis(1_500);
pub const MAX_HOLD_MS: u64 = 10_000;

/// Time until a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);

struct Run {
    number: u64,
    since: Instant,
    lasts: Option<Duration>,
}

/// What one life knows.
struct Life {
    id: String,
    kind: String,
    born: u64,
    since: Instant,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    is_up: bool,
    /// When it writes its entry next; while it is down, when its entry is removed.
    beat_at: Instant,
    sequence: u64,
}

impl Life {
    fn clock(&self) -> u64 {
        10_000 + self.since.elapsed().as_millis() as u64
    }
}

#[derive(Clone)]
pub struct Worker {
    life: Arc<(Mutex<Life>, Condvar)>,
    server: Arc<Server>,
    store: Store,
    ledger: Ledger,
    rack: String,
    cores: u64,
    /// Delay with which the next `/hold` that acknowledges ends is carried out, unanswered.
    late: Arc<Mutex<Option<Duration>>>,
}

fn wall_ms() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().expect("a clock after 1970");
    since.as_millis() as u64
}

impl Worker {
    pub fn start(
        id: &str,
        kind: &str,
        rack: &str,
        cores: u64,
        store: &Store,
        ledger: &Ledger,
    ) -> Self {
        let life = Life {
            id: id.to_owned(),
            kind: kind.to_owned(),
            born: wall_ms(),
            since: Instant::now(),
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            is_up: true,
            beat_at: Instant::now(),
            sequence: 0,
        };
        let life = Arc::new((Mutex::new(life), Condvar::new()));
        let (answering, notes) = (Arc::clone(&life), ledger.clone());
        let late: Arc<Mutex<Option<Duration>>> = Arc::default();
        let armed = Arc::clone(&late);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, move |request| {
            let is_ack =
                request.path == "/hold" && json::read(&request.body).get("ackedUntil").number() > 0;
            let delay = if is_ack {
                armed.lock().unwrap().take()
            } else {
                None
            };
            let Some(delay) = delay else {
                return answer(&answering, &notes, &request);
            };
            let (answering, notes) = (Arc::clone(&answering), notes.clone());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let acked = json::read(&request.body).get("ackedUntil").number();
                let text = format!("a /hold with ackedUntil {acked} is carried out late");
                let id = answering.0.lock().unwrap().id.clone();
                notes.note(&format!("{id}: {text}"));
                answer(&answering, &notes, &request);
            });
            None
        });
        let worker = Self {
            life,
            server: Arc::new(server.expect("a free port")),
            store: store.clone(),
            ledger: ledger.clone(),
            rack: rack.to_owned(),
            cores,
            late,
        };
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        worker
    }

    pub fn id(&self) -> String {
        self.life.0.lock().unwrap().id.clone()
    }

    /// Lets the next `/hold` that acknowledges ends get no answer and be carried out late; whether
    /// one has come already.
    pub fn hold_late(&self, delay: Duration) -> bool {
        let until = Instant::now() + Duration::from_secs(2);
        *self.late.lock().unwrap() = Some(delay);
        while Instant::now() < until {
            if self.late.lock().unwrap().is_none() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        self.late.lock().unwrap().take().is_none()
    }

    /// Whether a run of a task whose name begins so is at work.
    pub fn holds(&self, task: &str) -> bool {
        let life = self.life.0.lock().unwrap();
        life.is_up && life.runs.keys().any(|name| name.starts_with(task))
    }

    /// Crashes: all that runs is gone, the port refuses.
    pub fn crash(&self) {
        let mut life = self.life.0.lock().unwrap();
        life.is_up = false;
        life.beat_at = Instant::now() + 3 * BEAT;
        let runs = std::mem::take(&mut life.runs);
        self.ledger.note(&format!("{} crashes", life.id));
        for (task, run) in runs {
            self.ledger.ended(&task, run.number, &life.id, "gone");
        }
        drop(life);
        self.server.set_down(true);
        self.life.1.notify_all();
    }

    /// Begins a new life at the same address, which writes its entry at its first beat.
    pub fn rise(&self, id: &str, kind: &str, first_beat: Duration) {
        let mut life = self.life.0.lock().unwrap();
        if life.id != id {
            self.store.remove(&format!("servers/{}", life.id));
        }
        let now = Instant::now();
        *life = Life {
            id: id.to_owned(),
            kind: kind.to_owned(),
            born: wall_ms(),
            since: now,
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            is_up: true,
            beat_at: now + first_beat,
            sequence: 0,
        };
        self.ledger
            .note(&format!("{id} begins a new life, of the kind {kind}"));
        self.server.set_down(false);
    }

    fn tick(&self) {
        let mut life = self.life.0.lock().unwrap();
        if !life.is_up {
            if life.beat_at <= Instant::now() {
                // The platform removes an entry after three intervals of silence.
                self.store.remove(&format!("servers/{}", life.id));
                life.beat_at = Instant::now() + Duration::from_secs(600);
                self.ledger
                    .note(&format!("the entry of {} is removed", life.id));
            }
            return;
        }
        if life.beat_at <= Instant::now() {
            life.beat_at = Instant::now() + BEAT;
            life.sequence += 1;
            self.write_entry(&life);
        }
        let is_lapsed = life.clock() > life.lease_end;
        let is_done = |run: &Run| run.lasts.is_some_and(|time| run.since.elapsed() >= time);
        let over: Vec<(String, &'static str)> = (life.runs.iter())
            .filter_map(|(task, run)| match (is_lapsed, is_done(run)) {
                (true, _) => Some((task.clone(), "lapsed")),
                (false, true) => Some((task.clone(), "done")),
                (false, false) => None,
            })
            .collect();
        let any = !over.is_empty();
        for (task, how) in over {
            end(&mut life, &self.ledger, &task, how);
        }
        drop(life);
        if any {
            self.life.1.notify_all();
        }
    }

    fn write_entry(&self, life: &Life) {
        let text = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{},\"born\":{},\
             \"capacity\":{{\"cpu\":{},\"requestedMemoryMb\":64000,\"gpu\":0}},\"labels\":[\"{}\",\"{}\"]}}",
            self.server.address,
            life.sequence,
            life.born,
            self.cores * 1000,
            life.kind,
            self.rack
        );
        self.store.put(
            &format!("servers/{}", life.id),
            &json::read(text.as_bytes()),
        );
        if life.sequence == 1 {
            self.ledger.note(&format!(
                "{} writes its entry, of the kind {}",
                life.id, life.kind
            ));
        }
    }
}

fn end(life: &mut Life, ledger: &Ledger, task: &str, how: &'static str) {
    let Some(run) = life.runs.remove(task) else {
        return;
    };
    life.last_end += 1;
    life.ended
        .push((life.last_end, task.to_owned(), run.number, how));
    close(life, task, run.number);
    ledger.ended(task, run.number, &life.id, how);
}

fn close(life: &mut Life, task: &str, run: u64) {
    let closed = life.closed.entry(task.to_owned()).or_default();
    *closed = run.max(*closed);
}

fn answer(shared: &(Mutex<Life>, Condvar), ledger: &Ledger, request: &Request) -> Answer {
    let mut life = shared.0.lock().unwrap();
    if !life.is_up {
        return None;
    }
    let born = life.born;
    if request.instance.as_ref().is_some_and(|id| *id != life.id) {
        return Some((421, "{}".to_owned()));
    }
    let body = json::read(&request.body);
    let clock = life.clock();
    let refusal = |reason: &str| {
        let text = format!("{{\"clockMs\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}");
        Some((409, text))
    };
    let fence = body.get("fencingToken").number();
    if fence < life.fence {
        return refusal("fence");
    }
    life.fence = fence;
    let deadline = body.get("deadlineMs").number();
    let extended = life.lease_end.max(deadline.min(clock + MAX_HOLD_MS));
    let (task, run) = (body.get("task").text(), body.get("run").number());
    match request.path.as_str() {
        "/run-start" => {
            if deadline <= clock {
                return refusal("late");
            }
            life.lease_end = extended;
            if life.closed.get(task).is_some_and(|closed| run <= *closed) {
                return refusal("old");
            }
            if life.runs.get(task).is_none_or(|held| held.number != run) {
                let text = body.get("specification").text();
                let time = text.strip_prefix("ms=").and_then(|rest| {
                    rest.split(' ')
                        .next()
                        .and_then(|millis| millis.parse().ok())
                });
                life.runs.insert(
                    task.to_owned(),
                    Run {
                        number: run,
                        since: Instant::now(),
                        lasts: time.map(Duration::from_millis),
                    },
                );
                ledger.started(task, run, &life.id, &life.kind);
            }
        }
        "/run-stop" => {
            close(&mut life, task, run);
            if life.runs.get(task).is_some_and(|held| held.number == run) {
                end(&mut life, ledger, task, "stopped");
                shared.1.notify_all();
            }
        }
        "/pace" => {}
        "/hold" => {
            life.lease_end = extended;
            let acked = body.get("ackedUntil").number();
            for end in life.ended.iter().filter(|end| end.0 <= acked) {
                ledger.noted(&end.1, end.2, end.3);
            }
            life.ended.retain(|end| end.0 > acked);
            let wait = Duration::from_millis(body.get("waitMs").number().min(2_000));
            let until = Instant::now() + wait;
            while life.ended.is_empty() && life.is_up && life.born == born {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                life = shared.1.wait_timeout(life, left).unwrap().0;
            }
            if !life.is_up || life.born != born {
                return None;
            }
            return Some((200, lists(&life)));
        }
        _ => return Some((400, "{}".to_owned())),
    }
    Some((200, format!("{{\"clockMs\":{clock},\"born\":{born}}}")))
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = (life.runs.iter())
        .map(|(task, run)| {
            let percent = match run.lasts {
                Some(time) => {
                    (run.since.elapsed().as_millis() * 100 / time.as_millis().max(1)).min(99)
                }
                None if run.since.elapsed() >= STARTUP => 100,
                None => 0,
            };
            format!("[\"{task}\",{},\"\",{percent},1]", run.number)
        })
        .collect();
    let finished: Vec<String> = (life.ended.iter().take(500))
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock(),
        life.born,
        running.join(","),
        finished.join(",")
    )
}
