//! Lasting tasks beside batch work that fills, of many images.

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

const WORKERS: usize = 12;

/// Images of lasting tasks and of batch work: as many as builds come in some weeks, or those of the site.
const MANY: (u64, u64) = (72, 80);
const FEW: (u64, u64) = (5, 9);

/// Lasting submissions, of one task each.
const LASTING: u64 = 72;

const PREFIX: &str = "/lohu930/";
const HOST: &str = "nony24.example";

/// Time between two submissions of batch work, their tasks, and how long they come.
const PAUSE: Duration = Duration::from_millis(250);
const TASKS: usize = 24;
const TRAFFIC: Duration = Duration::from_secs(60);

/// `finish_s`, and for how long a submission then has nothing running.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

fn job(number: u64) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

fn submit(world: &World, host: &Host, id: &str, body: &str) -> bool {
    let timeout = Duration::from_secs(3);
    let answer = http::call(
        host.callers,
        "POST",
        &format!("{PREFIX}{id}"),
        HOST,
        body,
        timeout,
    );
    let status = answer.map(|answer| answer.0);
    world.note(&format!("POST {id} at {}: {status:?}", host.name));
    status == Some(200)
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

/// Name of an image with the digest of its build.
fn image(name: &str, number: u64) -> String {
    let part = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("registry.example/label/{name}@sha256:{part:016x}{part:016x}{part:016x}{part:016x}")
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
    let _workers: Vec<_> = (0..WORKERS)
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
    std::thread::sleep(Duration::from_secs(2));
    let (serving, filling) = if has_trouble { MANY } else { FEW };
    for number in 0..LASTING {
        let body = format!(
            "{{\"specification\":\"lasting\",\"steps\":[{{\"count\":1,\"cpu\":1000,\
             \"requestedMemoryMb\":500,\"estimatedMs\":400,\"longRunning\":true,\"targetMs\":45,\
             \"image\":\"{}\"}}]}}",
            image("till-watch", number % serving)
        );
        if !submit(
            world,
            &hosts[number as usize % HOSTS],
            &job(0x8000 + number),
            &body,
        ) {
            return NOT_RUN;
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let (began, mut number) = (Instant::now(), 0);
    let mut accepted = Vec::new();
    while began.elapsed() < TRAFFIC {
        number += 1;
        let body = format!(
            "{{\"specification\":\"600\",\"steps\":[{{\"count\":{TASKS},\"cpu\":300,\
             \"requestedMemoryMb\":500,\"estimatedMs\":600,\"fills\":true,\"image\":\"{}\"}}]}}",
            image("promo-recalc", number % filling)
        );
        if submit(world, &hosts[number as usize % HOSTS], &job(number), &body) {
            accepted.push(job(number));
        }
        std::thread::sleep(PAUSE);
    }
    world.note("the traffic ends");
    let ended = Instant::now();
    let mut idle: Vec<(String, Option<Instant>)> = accepted
        .iter()
        .map(|id| (format!("{id}.0.0.0"), None))
        .collect();
    let mut broken = 0;
    while ended.elapsed() < FINISH + IDLE * 3 {
        std::thread::sleep(Duration::from_millis(100));
        if ended.elapsed() < FINISH {
            continue;
        }
        for (task, since) in &mut idle {
            let is_idle = world.runs(task).is_empty();
            *since = if is_idle {
                since.or(Some(Instant::now()))
            } else {
                None
            };
        }
        let lost = idle
            .iter()
            .filter(|row| row.1.is_some_and(|at| at.elapsed() >= IDLE));
        broken = lost.count();
    }
    world.note(&format!(
        "{} submissions were accepted; {broken} of them have not begun {:?} after the traffic",
        accepted.len(),
        ended.elapsed()
    ));
    world.note(&format!(
        "{} tasks run on the {WORKERS} workers",
        world.count_running()
    ));
    world.note(&format!(
        "keys, refusals for the rate, refusals of large values: {:?}",
        store.counts()
    ));
    for host in &hosts {
        world.note(&format!("memory of {}: {} MB", host.name, host.memory_mb()));
    }
    if broken > 0 { BROKEN } else { HELD }
}
