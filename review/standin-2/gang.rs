//! A worker crashes while a gang is at work on it and on others.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::worker::Worker;
use crate::world::{Host, World};
use crate::{BROKEN, HELD, NOT_RUN};

const HOSTS: usize = 3;

/// Longest lease (`maxHoldMs`), as the site says.
const MAX_HOLD_MS: u64 = 10_000;

const WORKERS: usize = 8;

/// Members of the gang, and for how long they work together.
const MEMBERS: usize = 4;
const WORK_MS: u64 = 12_000;
/// Its rough estimate (`estimatedMs`).
const ESTIMATE_MS: u64 = 20_000;

/// When the worker crashes, after all members have begun.
const CRASH_AFTER: Duration = Duration::from_secs(2);

/// How long it is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// How long no disruption has been near: far beyond all leases and bounds.
const CALM: Duration = Duration::from_secs(20);

/// How long the gang is watched after the loss.
const WATCHED: Duration = Duration::from_secs(75);

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
    let gang = format!(
        "{{\"specification\":\"gang {MEMBERS} {WORK_MS}\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":9000,\
         \"requestedMemoryMb\":1000,\"estimatedMs\":{ESTIMATE_MS},\"gang\":true}}]}}"
    );
    let (id, step) = (job(1), format!("{}.0.0", job(1)));
    let path = format!("{PREFIX}{id}");
    let timeout = Duration::from_secs(3);
    let answer = http::call(hosts[0].callers, "POST", &path, HOST, &gang, timeout);
    world.note(&format!(
        "POST {id}: {:?}",
        answer.as_ref().map(|answer| answer.0)
    ));
    if answer.is_none_or(|answer| answer.0 != 200) {
        return NOT_RUN;
    }
    let tasks: Vec<String> = (0..MEMBERS)
        .map(|index| format!("{step}.{index}"))
        .collect();
    let began = Instant::now();
    while !tasks.iter().all(|task| world.is_running(task)) {
        if began.elapsed() > Duration::from_secs(10) {
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    world.note("all members run");
    std::thread::sleep(CRASH_AFTER);
    if has_trouble {
        let home = world.runs(&tasks[0]).last().map(|run| run.1.clone());
        let Some(lost) = workers
            .iter()
            .find(|worker| Some(worker.name()) == home.as_deref())
        else {
            return NOT_RUN;
        };
        world.note(&format!("{} crashes", lost.name()));
        lost.lose();
        std::thread::sleep(DOWN);
        lost.come_back();
        world.note(&format!("{} is back under its name", lost.name()));
    }
    let since = Instant::now();
    let (mut is_done, mut alone) = (false, 0);
    while since.elapsed() < WATCHED && !is_done {
        std::thread::sleep(Duration::from_millis(100));
        (is_done, alone) = world.gang_state(&step, since + CALM);
    }
    std::thread::sleep(Duration::from_secs(2));
    let state = http::call(hosts[1].callers, "GET", &path, HOST, "", timeout);
    world.note(&format!("GET {id} after {:?}: {state:?}", since.elapsed()));
    for task in &tasks {
        let runs = world.runs(task);
        let last = runs.last().map(|run| run.0);
        world.note(&format!(
            "{task}: {} runs, the last is number {last:?}",
            runs.len()
        ));
    }
    world.note(&format!(
        "{alone} runs ended alone later than {CALM:?} after the loss"
    ));
    if alone > 0 && !is_done { BROKEN } else { HELD }
}
