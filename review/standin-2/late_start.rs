//! A worker is lost as the owner is killed, long after a start of a task there got no answer.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::ended_jobs::breaks_rule;
use crate::http;
use crate::store::Store;
use crate::worker::Worker;
use crate::world::{Host, SIGKILL, World};
use crate::{BROKEN, HELD, NOT_RUN};

const HOSTS: usize = 3;

/// Longest lease (`maxHoldMs`), as the site says.
const MAX_HOLD_MS: u64 = 10_000;

const WORKERS: usize = 8;
const LASTING: u64 = 6;
const TASKS: u64 = 6;

/// One of so many start orders is carried out late: 0.055 of them at the most.
const LATE_EACH: u64 = 19;

/// Time for which orders are carried out late, and until the worker is lost.
const LATE_FOR: Duration = Duration::from_millis(5_500);
const CALM_FOR: Duration = Duration::from_secs(30);

/// Time after which a host that was killed starts again.
const DOWN: Duration = Duration::from_secs(1);
const WATCHED: Duration = Duration::from_secs(24);

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
    if has_trouble {
        world.set_late(LATE_EACH);
    }
    let began = Instant::now();
    let lasting = format!(
        "{{\"specification\":\"lasting\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\
         \"requestedMemoryMb\":1000,\"estimatedMs\":400,\"longRunning\":true}}]}}"
    );
    for number in 0..LASTING {
        let path = format!("{PREFIX}{}", job(number));
        let timeout = Duration::from_secs(3);
        let answer = http::call(hosts[0].callers, "POST", &path, HOST, &lasting, timeout);
        world.note(&format!(
            "POST {}: {:?}",
            job(number),
            answer.as_ref().map(|answer| answer.0)
        ));
        if answer.is_none_or(|answer| answer.0 != 200) {
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let tasks: Vec<String> = (0..LASTING)
        .flat_map(|number| (0..TASKS).map(move |index| format!("{}.0.0.{index}", job(number))))
        .collect();
    std::thread::sleep(LATE_FOR.saturating_sub(began.elapsed()));
    world.set_late(0);
    world.note("orders are answered from now on");
    std::thread::sleep(CALM_FOR);
    if !tasks.iter().all(|task| world.is_running(task)) {
        world.note("the lasting tasks do not run");
        return NOT_RUN;
    }
    let late = world.late_tasks();
    world.note(&format!(
        "all {} lasting tasks run, {} of them started late",
        tasks.len(),
        late.len()
    ));
    let mut since = Instant::now();
    if has_trouble {
        // The worker of a task whose start got no answer: what the seed of a day may pick.
        let home = late
            .iter()
            .find_map(|task| world.runs(task).last().map(|run| run.1.clone()));
        let lost = workers
            .iter()
            .find(|worker| Some(worker.name()) == home.as_deref());
        let (Some(lost), Some(owner)) = (lost, store.renewed_by()) else {
            return NOT_RUN;
        };
        world.note(&format!("{} is lost for good", lost.name()));
        lost.lose();
        std::thread::sleep(Duration::from_millis(100));
        world.note(&format!(
            "SIGKILL of {}, which renewed its lease last",
            hosts[owner].name
        ));
        hosts[owner].signal(SIGKILL);
        std::thread::sleep(DOWN);
        hosts[owner].start();
        world.note(&format!("{} starts again", hosts[owner].name));
        since = Instant::now();
    }
    let watched = Instant::now();
    let mut broken = Vec::new();
    while watched.elapsed() < WATCHED {
        std::thread::sleep(Duration::from_millis(100));
        for task in &tasks {
            let away = breaks_rule(&world.runs(task), since, Instant::now());
            if let Some(away) = away.filter(|_| !broken.contains(task)) {
                broken.push(task.clone());
                world.note(&format!(
                    "LOST: {task} is to last and has not run for {away:?}"
                ));
            }
        }
    }
    for task in &tasks {
        let runs = world.runs(task);
        let longest = runs.iter().enumerate().filter_map(|(at, run)| {
            let next = runs.get(at + 1).map_or(Instant::now(), |next| next.2);
            Some(next - run.3?)
        });
        if let Some(longest) = longest.max() {
            let is_late = late.contains(task);
            world.note(&format!(
                "{task}, started late: {is_late}, was away for {longest:?}"
            ));
        }
    }
    if broken.is_empty() { HELD } else { BROKEN }
}
