//! The owner freezes while it sends starts, and wakes as workers are back from a crash.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::worker::Worker;
use crate::world::{Host, Runs, SIGCONT, SIGSTOP, World};
use crate::{BROKEN, HELD, NOT_RUN};

const HOSTS: usize = 3;
const WORKERS: usize = 16;

/// Workers that crash, a share of 0.125.
const CRASHED: usize = 2;

/// `cpuShare` of the site's hosts.
const CPU_SHARE: f64 = 0.1;

/// Longest lease (`maxHoldMs`), as the site says.
const MAX_HOLD_MS: u64 = 6_000;

/// Large submissions of the site's size, several at once: steps and tasks of each, and what they need.
const JOBS: u64 = 3;
const STEPS: u64 = 4;
const TASKS: u64 = 32;
const CPU: u64 = 250;
const WORK_MS: u64 = 6_000;

/// After the freeze begins: when the workers crash, and when they are back and the host wakes.
const CRASH_AT: Duration = Duration::from_millis(2_700);
const WAKE_AT: Duration = Duration::from_millis(3_200);

const WATCHED: Duration = Duration::from_secs(15);

const PREFIX: &str = "/lohu930/";
const HOST: &str = "nony24.example";

fn job(number: u64) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

/// Two runs of a task at the same time.
pub fn overlap(runs: &Runs) -> Option<(u64, u64)> {
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
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|at| Worker::start(at, MAX_HOLD_MS, &store, world))
        .collect();
    let host = |at| Host::new(folder, at, CPU_SHARE, MAX_HOLD_MS, store.open(at));
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
    std::thread::sleep(Duration::from_secs(4));
    let Some(owner) = store.renewed_by() else {
        return NOT_RUN;
    };
    let step = format!(
        "{{\"count\":{TASKS},\"cpu\":{CPU},\"requestedMemoryMb\":300,\"estimatedMs\":{WORK_MS}}}"
    );
    let steps = vec![step; STEPS as usize].join(",");
    let body = format!("{{\"specification\":\"{WORK_MS}\",\"steps\":[{steps}]}}");
    let entries: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let senders: Vec<_> = (0..JOBS)
        .map(|number| {
            let (address, body) = (entries[(owner + 1) % HOSTS], body.clone());
            std::thread::spawn(move || {
                let path = format!("{PREFIX}{}", job(number));
                http::call(address, "POST", &path, HOST, &body, Duration::from_secs(3))
                    .map(|answer| answer.0)
            })
        })
        .collect();
    let all = (0..JOBS).flat_map(|number| (0..STEPS).map(move |step| (number, step)));
    let tasks: Vec<String> = all
        .flat_map(|(number, step)| {
            (0..TASKS).map(move |index| format!("{}.0.{step}.{index}", job(number)))
        })
        .collect();
    let began = Instant::now();
    while world.starts() == 0 {
        if began.elapsed() > Duration::from_secs(10) {
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_micros(20));
    }
    let frozen = Instant::now();
    if has_trouble {
        hosts[owner].signal(SIGSTOP);
        world.note(&format!(
            "{} freezes, the first of its starts have arrived",
            hosts[owner].name
        ));
    }
    for (number, sender) in senders.into_iter().enumerate() {
        let status = sender.join().ok().flatten();
        world.note(&format!("POST {}: {status:?}", job(number as u64)));
    }
    if has_trouble {
        std::thread::sleep(CRASH_AT.saturating_sub(frozen.elapsed()));
        let lost = &workers[..CRASHED];
        lost.iter().for_each(|worker| worker.lose());
        let names: Vec<&str> = lost.iter().map(|worker| worker.name()).collect();
        world.note(&format!("{names:?} crash"));
        std::thread::sleep(WAKE_AT.saturating_sub(frozen.elapsed()));
        lost.iter().for_each(|worker| worker.come_back());
        hosts[owner].signal(SIGCONT);
        world.note(&format!("{names:?} are back, {} wakes", hosts[owner].name));
    }
    std::thread::sleep(WATCHED);
    let mut broken = 0;
    for task in &tasks {
        if let Some((first, second)) = overlap(&world.runs(task)) {
            broken += 1;
            world.note(&format!(
                "TWICE: {task} runs as {first} and {second} at the same time"
            ));
        }
    }
    world.note(&format!(
        "{broken} of {} tasks ran twice at the same time",
        tasks.len()
    ));
    if broken > 0 { BROKEN } else { HELD }
}
