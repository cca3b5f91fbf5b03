//! Workers crash one after another, each soon after it has started the same task.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::worker::Worker;
use crate::world::{Host, World};
use crate::{BROKEN, HELD, NOT_RUN};

const HOSTS: usize = 3;

/// Longest lease (`maxHoldMs`), as the site says.
const MAX_HOLD_MS: u64 = 6_000;

const WORKERS: usize = 8;

/// Tasks of the lasting submission.
const TASKS: usize = 4;

/// Crashes, each of the worker that has started the first task that long before, and how long it is down.
const CRASHES: usize = 5;
const YOUNG: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_secs(2);

/// How long the submission is watched after the last crash.
const WATCHED: Duration = Duration::from_secs(20);

const PREFIX: &str = "/lohu930/";
const HOST: &str = "nony24.example";

fn job(number: u64) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

pub fn run(record: &Path, has_trouble: bool) -> u8 {
    let world = World::new();
    let folder = std::env::temp_dir().join(format!("drill-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = play(&world, &folder, has_trouble);
    world.note(match code {
        BROKEN => "the rule is broken",
        HELD => "the rule holds",
        _ => "the case could not run",
    });
    world.write(record);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    code
}

fn play(world: &World, folder: &Path, has_trouble: bool) -> u8 {
    let store = Store::new();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
             \"pathPrefix\":\"{PREFIX}\",\"service\":\"label-dispatch\",\"priority\":0,\
             \"maxAttempts\":3,\"stretch\":1.5,\"targetDurationMs\":250}}],\
             \"services\":[{{\"name\":\"label-dispatch\",\"enforcesCapacity\":false}}],\"limits\":{{}}}}"
        ),
    );
    let workers: Vec<_> = (0..WORKERS)
        .map(|at| Worker::start(at, MAX_HOLD_MS, &store, world))
        .collect();
    let host = |at| Host::new(folder, at, 1.0, MAX_HOLD_MS, store.open(at));
    let mut hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    for host in &mut hosts {
        host.start();
    }
    while !hosts.iter().all(Host::is_ready) {
        if world.began.elapsed() > Duration::from_secs(15) {
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_secs(3));
    let lasting = format!(
        "{{\"specification\":\"lasting\",\"steps\":[{{\"count\":{TASKS},\"cpu\":3000,\
         \"requestedMemoryMb\":1000,\"estimatedMs\":400,\"longRunning\":true}}]}}"
    );
    let id = job(1);
    let path = format!("{PREFIX}{id}");
    let timeout = Duration::from_secs(3);
    let answer = http::call(hosts[0].callers, "POST", &path, HOST, &lasting, timeout);
    world.note(&format!(
        "POST {id}: {:?}",
        answer.as_ref().map(|answer| answer.0)
    ));
    if answer.is_none_or(|answer| answer.0 != 200) {
        return NOT_RUN;
    }
    let state = || http::call(hosts[1].callers, "GET", &path, HOST, "", timeout);
    let tasks: Vec<String> = (0..TASKS)
        .map(|index| format!("{id}.0.0.{index}"))
        .collect();
    let crashes = if has_trouble { CRASHES } else { 0 };
    let mut known = 0;
    for _ in 0..crashes {
        let until = Instant::now() + Duration::from_secs(16);
        while world.runs(&tasks[0]).len() <= known && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let runs = world.runs(&tasks[0]);
        if runs.len() <= known {
            break;
        }
        known = runs.len();
        std::thread::sleep(YOUNG);
        let home = runs.last().map(|run| run.1.clone());
        let Some(worker) = workers
            .iter()
            .find(|worker| Some(worker.name()) == home.as_deref())
        else {
            return NOT_RUN;
        };
        world.note(&format!("{} crashes", worker.name()));
        worker.lose();
        std::thread::sleep(DOWN);
        worker.come_back();
        world.note(&format!(
            "{} is back; GET {id}: {:?}",
            worker.name(),
            state()
        ));
    }
    std::thread::sleep(WATCHED);
    let last = state();
    let running = tasks.iter().filter(|task| world.is_running(task)).count();
    world.note(&format!(
        "GET {id} at the end: {last:?}; {running} of its {TASKS} tasks run"
    ));
    let is_failed = last.is_some_and(|answer| answer.1.contains("failed"));
    if is_failed { BROKEN } else { HELD }
}
