//! The owner is killed after the store has taken up a day's jobs, all ended.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::worker::Worker;
use crate::world::{Host, Runs, SIGKILL, World};
use crate::{BROKEN, HELD, NOT_RUN};

/// Submissions of eight hours at the 9.53 a second of the site `chikugo-esl`.
const ENDED: u64 = 274_464;

/// How many of them come in a tenth of a second, as hours pass quickly here.
const STEP: u64 = 1_200;

/// `cpuShare` of the site's hosts.
const CPU_SHARE: f64 = 0.1;

const HOSTS: usize = 3;

/// Longest lease (`maxHoldMs`), as the site says.
const MAX_HOLD_MS: u64 = 6_000;

const WORKERS: usize = 6;
const LASTING: u64 = 4;
const TASKS: u64 = 3;

const BATCH: &str = "{\"specification\":\"600\",\"steps\":[{\"count\":2,\"cpu\":1000,\
                     \"requestedMemoryMb\":500,\"estimatedMs\":600}]}";

const PREFIX: &str = "/lohu930/";
const HOST: &str = "nony24.example";

/// Time after which a host that was killed starts again.
const DOWN: Duration = Duration::from_secs(1);

/// How long it is watched after the disruption.
const WATCHED: Duration = Duration::from_secs(36);

/// From the rule and the bounds: 3 s without a run, from 6 s after the last one; calm for 4 s
/// before, `contactTimeoutMs` after the disruption.
const AWAY: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);

fn job(number: u64) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

fn submit(world: &World, hosts: &[Host], id: &str, body: &str) -> bool {
    for host in hosts {
        let path = format!("{PREFIX}{id}");
        let timeout = Duration::from_secs(3);
        let answer = http::call(host.callers, "POST", &path, HOST, body, timeout);
        let status = answer.map(|answer| answer.0);
        if status == Some(200) {
            return true;
        }
        world.note(&format!("POST {id} at {}: {status:?}", host.name));
    }
    false
}

/// Runs a job to its end; the beginning of its key in the store, and what the system has left there.
fn first_job(world: &World, store: &Store, hosts: &[Host]) -> Option<(String, String)> {
    let id = job(0xffff);
    if !submit(world, hosts, &id, BATCH) {
        return None;
    }
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(300));
        let timeout = Duration::from_secs(3);
        let path = format!("{PREFIX}{id}");
        let (_, state) = http::call(hosts[0].callers, "GET", &path, HOST, "", timeout)?;
        if !state.contains("completed") {
            continue;
        }
        let left = store.find(&id);
        let rows: Vec<&str> = left.iter().map(|row| row.0.as_str()).collect();
        world.note(&format!(
            "{id} is completed; its keys in the store: {rows:?}"
        ));
        let (key, value) = left.into_iter().next()?;
        return Some((key.strip_suffix(&id)?.to_owned(), value));
    }
    None
}

/// Whether a task was away in a way that the rule counts, `since` the end of the disruption.
pub fn breaks_rule(runs: &Runs, since: Instant, now: Instant) -> Option<Duration> {
    let first = runs.first()?.2;
    let mut begin = first;
    for (at, run) in runs.iter().enumerate() {
        let Some(ended) = run.3 else {
            return None;
        };
        let next = runs.get(at + 1).map_or(now, |next| next.2);
        begin = begin.max(ended + AWAY).max(since + CONTACT + CALM);
        if next > begin && next - begin >= IDLE {
            return Some(next - ended);
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
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|at| Host::new(folder, at, CPU_SHARE, MAX_HOLD_MS, store.open(at)))
        .collect();
    for host in &mut hosts {
        host.start();
    }
    world.note(&format!(
        "{} hosts and {} workers have started",
        hosts.len(),
        workers.len()
    ));
    while !hosts.iter().all(Host::is_ready) {
        if world.began.elapsed() > Duration::from_secs(15) {
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let Some((prefix, value)) = first_job(world, &store, &hosts) else {
        return NOT_RUN;
    };
    let lasting = format!(
        "{{\"specification\":\"lasting\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\
         \"requestedMemoryMb\":2000,\"estimatedMs\":400,\"longRunning\":true}}]}}"
    );
    for number in 0..LASTING {
        if !submit(world, &hosts, &job(number), &lasting) {
            return NOT_RUN;
        }
    }
    world.note("lasting jobs are accepted");
    let tasks: Vec<String> = (0..LASTING)
        .flat_map(|number| (0..TASKS).map(move |index| format!("{}.0.0.{index}", job(number))))
        .collect();
    while !tasks.iter().all(|task| world.is_running(task)) {
        if world.began.elapsed() > Duration::from_secs(60) {
            world.note("the lasting tasks do not run");
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    world.note("all lasting tasks run");
    let count = std::env::var("ENDED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(ENDED);
    let mut known = 0;
    while known < count {
        let next = count.min(known + STEP);
        // Identifiers that are spread as those of callers are.
        let id = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        store.put_all(
            (known..next).map(|number| format!("{prefix}{:016x}", id(number))),
            &value,
        );
        known = next;
        std::thread::sleep(Duration::from_millis(100));
    }
    world.note(&format!(
        "the store holds {count} jobs more that have ended"
    ));
    let steady = Instant::now();
    let mut number = 100;
    while steady.elapsed() < Duration::from_secs(12) {
        number += 1;
        submit(world, &hosts, &job(number), BATCH);
        std::thread::sleep(Duration::from_millis(500));
    }
    let is_served = |id: u64| {
        let runs = world.runs(&format!("{}.0.0.0", job(id)));
        runs.iter().any(|run| run.3.is_some())
    };
    // The last ones may be at work.
    let served = (101..=number - 4).filter(|id| is_served(*id)).count();
    world.note(&format!(
        "{served} of {} short jobs before the disruption have run",
        number - 104
    ));
    let memory: Vec<u64> = hosts.iter().map(Host::memory_mb).collect();
    world.note(&format!(
        "memory of the hosts in MB: {memory:?}, memoryMb is 260"
    ));
    let Some(owner) = store.renewed_by() else {
        return NOT_RUN;
    };
    let mut since = Instant::now();
    if has_trouble {
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
    let mut away = None;
    let mut owners = Vec::new();
    while watched.elapsed() < WATCHED {
        std::thread::sleep(Duration::from_millis(250));
        let now = Instant::now();
        if let Some(renewed) = store.renewed_by().filter(|at| owners.last() != Some(at)) {
            owners.push(renewed);
        }
        for task in &tasks {
            if let Some(time) =
                breaks_rule(&world.runs(task), since, now).filter(|_| away.is_none())
            {
                away = Some(time);
                world.note(&format!(
                    "LOST: {task} is to last and has not run for {time:?}"
                ));
            }
        }
    }
    let now = Instant::now();
    for task in &tasks {
        let runs = world.runs(task);
        let longest = runs.iter().enumerate().filter_map(|(at, run)| {
            let next = runs.get(at + 1).map_or(now, |next| next.2);
            Some(next - run.3?)
        });
        world.note(&format!(
            "{task}: {} runs, longest away {:?}",
            runs.len(),
            longest.max()
        ));
    }
    let memory: Vec<u64> = hosts.iter().map(Host::memory_mb).collect();
    world.note(&format!(
        "memory of the hosts in MB: {memory:?}; store {:?}",
        store.counts()
    ));
    world.note(&format!(
        "hosts that renewed the owner's lease meanwhile, in turn: {owners:?}"
    ));
    if hosts.iter_mut().any(Host::has_ended) {
        world.note("a host has ended by itself");
    }
    if away.is_some() { BROKEN } else { HELD }
}
