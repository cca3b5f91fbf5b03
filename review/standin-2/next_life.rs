//! A start that got no answer is carried out late, by the second life of its worker after it.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::worker::Worker;
use crate::world::{Host, Runs, World};
use crate::{BROKEN, HELD, NOT_RUN};

const HOSTS: usize = 3;

/// Longest lease (`maxHoldMs`), as the site says.
const MAX_HOLD_MS: u64 = 10_000;

const WORKERS: usize = 8;

/// Tasks of the submission, and their time.
const TASKS: usize = 16;
const WORK_MS: u64 = 9_000;

/// One of so many start orders is carried out late: 0.055 of them at the most.
const LATE_EACH: u64 = 19;

/// After that order: when its worker crashes, and for how long.
const CRASHES: [Duration; 2] = [Duration::from_millis(900), Duration::from_millis(3_600)];
const DOWN: Duration = Duration::from_millis(400);

/// How long it is watched after the last crash.
const WATCHED: Duration = Duration::from_secs(14);

const PREFIX: &str = "/lohu930/";
const HOST: &str = "nony24.example";

fn job(number: u64) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

/// Two runs of a task at the same time.
fn overlap(runs: &Runs) -> Option<(u64, u64)> {
    for (at, run) in runs.iter().enumerate() {
        for other in &runs[..at] {
            if other.3.is_none_or(|end| end > run.2) {
                return Some((other.0, run.0));
            }
        }
    }
    None
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
    if has_trouble {
        world.set_late(LATE_EACH);
        world.set_waits_for_release();
    }
    let body = format!(
        "{{\"specification\":\"{WORK_MS}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\
         \"requestedMemoryMb\":1000,\"estimatedMs\":{WORK_MS}}}]}}"
    );
    let timeout = Duration::from_secs(3);
    for number in 0..2 {
        let path = format!("{PREFIX}{}", job(number));
        let answer = http::call(hosts[0].callers, "POST", &path, HOST, &body, timeout);
        world.note(&format!(
            "POST {}: {:?}",
            job(number),
            answer.as_ref().map(|answer| answer.0)
        ));
        if answer.is_none_or(|answer| answer.0 != 200) {
            return NOT_RUN;
        }
    }
    let began = Instant::now();
    if has_trouble {
        let late = loop {
            if let Some(late) = world.held_start() {
                break late;
            }
            if began.elapsed() > Duration::from_secs(5) {
                return NOT_RUN;
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        let sent = Instant::now();
        // No further order is late: the time for which they are is over.
        world.set_late(0);
        let Some(worker) = workers.iter().find(|worker| worker.name() == late.0) else {
            return NOT_RUN;
        };
        for at in CRASHES {
            std::thread::sleep(at.saturating_sub(sent.elapsed()));
            world.note(&format!("{} crashes", worker.name()));
            worker.lose();
            std::thread::sleep(DOWN);
            worker.come_back();
            world.note(&format!("{} is back", worker.name()));
        }
        world.note(&format!(
            "the start of {} is carried out {:?} late",
            late.1,
            sent.elapsed()
        ));
        world.release_start();
    }
    std::thread::sleep(WATCHED);
    let mut broken = 0;
    for number in 0..2 {
        for index in 0..TASKS {
            let task = format!("{}.0.0.{index}", job(number));
            if let Some((first, second)) = overlap(&world.runs(&task)) {
                broken += 1;
                world.note(&format!(
                    "TWICE: {task} runs as {first} and {second} at the same time"
                ));
            }
        }
    }
    world.note(&format!("{broken} tasks ran twice at the same time"));
    if broken > 0 { BROKEN } else { HELD }
}
