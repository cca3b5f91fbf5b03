//! The scenarios of the cases.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::worker::Worker;

use crate::host::Host;
use crate::record::Record;
use crate::store::Trouble;
use crate::world::{Caller, World, one_step};

/// What was broken, none if the rule held.
type Verdict = Result<Option<String>, String>;

/// Bounds of the settings.
const CANCEL_MS: u64 = 3_000;
const STOP_TIMEOUT_MS: u64 = 900;
const CONTACT_TIMEOUT_MS: u64 = 3_000;
const FINISH: Duration = Duration::from_secs(14);

const HOSTS: u8 = 7;
const WORKERS: usize = 48;

pub fn run(name: &str, root: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let mut world = World::start(root, record, HOSTS, WORKERS)?;
    match name {
        "cancel" => cancel(&world, has_trouble),
        "hang" => hang(&world, has_trouble),
        "memory" => memory(&mut world, has_trouble),
        "crashes" => crashes(&world, has_trouble),
        "losses" => losses(&world, has_trouble),
        _ => Err(format!("there is no scenario {name}")),
    }
}

/// Ordinary clients: a short submission each 100 ms, about as many as the small site has.
struct Traffic {
    stop: Arc<AtomicBool>,
    clients: JoinHandle<Vec<String>>,
}

impl Traffic {
    fn start(caller: &Caller) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (caller, stopped) = (caller.clone(), Arc::clone(&stop));
        let clients = std::thread::spawn(move || {
            let mut accepted = Vec::new();
            for number in 0_u64.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("{:016x}", 0xa000 + number);
                if caller.submit(number as usize, &id, &one_step("200", 4, false)) {
                    accepted.push(id);
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            accepted
        });
        Self { stop, clients }
    }

    /// Ends it; returns the accepted submissions.
    fn end(self) -> Result<Vec<String>, String> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients
            .join()
            .map_err(|_| "the clients failed".to_owned())
    }
}

/// UNASKED: answers of the store are lost and the writes done late. A client whose submission was
/// not accepted cancels it, and that is acknowledged; then the submission starts and runs on.
fn cancel(world: &World, has_trouble: bool) -> Verdict {
    let (record, caller) = (&world.record, world.caller());
    let id = "00000000000000c1";
    let traffic = Traffic::start(&caller);
    std::thread::sleep(Duration::from_secs(1));
    if has_trouble {
        let key = format!("intake/job/{id}");
        let record = record.clone();
        world.store.set_draw(move |keys| {
            keys.contains(&key.as_str()).then(|| {
                record.note(format!(
                    "store: a write of {key} gets no answer, done in 5 s"
                ));
                Trouble::Late(Duration::from_secs(5))
            })
        });
    }
    let writes_before = world.store.writes();
    let posted = caller.call(0, "POST", id, &one_step("lasts", 4, true));
    let writes = world.store.writes() - writes_before;
    world.store.end_draw();
    record.note(format!("store: {writes} writes came meanwhile"));
    if matches!(posted, Ok((200..300, _)))
        && !world.wait(Duration::from_secs(4), |world| world.runs(id))
    {
        return Err("the submission did not start".to_owned());
    }
    if !matches!(caller.call(3, "DELETE", id, ""), Ok((200..300 | 410, _))) {
        return Err("the cancel was not acknowledged".to_owned());
    }
    let acked_ms = record.now_ms();
    traffic.end()?;
    // Until no disruption has been near for long: the last late write is done within 5 s.
    std::thread::sleep(Duration::from_secs(20));
    let starts = world.seen.starts(id);
    let is_late = |at_ms: &u64| *at_ms > acked_ms + CANCEL_MS;
    let late: Vec<u64> = starts.into_iter().filter(is_late).collect();
    let runs_on = world.runs(id);
    let _ = caller.state(5, id);
    let bound_ms = 5_000 + CONTACT_TIMEOUT_MS.max(CANCEL_MS + STOP_TIMEOUT_MS);
    let since_ms = record.now_ms() - acked_ms;
    record.note(format!(
        "{since_ms} ms after the ack of the cancel: {} late starts, tasks run: {runs_on}",
        late.len()
    ));
    if !runs_on || since_ms < bound_ms {
        return Ok(None);
    }
    let first_ms = late.first().map_or(0, |at_ms| at_ms - acked_ms);
    Ok(Some(format!(
        "UNASKED: {} tasks started later than cancel_ms after the ack of the cancel (the first \
         {first_ms} ms after it), and run on {since_ms} ms after it",
        late.len(),
    )))
}

/// LOST: a client sends submissions that can never be done. Ordinary ones get no answer, or are
/// accepted and have nothing running, beside idle workers.
fn hang(world: &World, has_trouble: bool) -> Verdict {
    let (record, caller) = (&world.record, world.caller());
    serve_ordinary(world)?;
    if has_trouble {
        send_hopeless(world, 60, Duration::from_secs(25), |job| {
            let step = |at| {
                format!(
                    r#"{{"count":1,"cpu":100,"requestedMemoryMb":10,"estimatedMs":500,"requirements":"k{job}-{at}"}}"#
                )
            };
            let steps: Vec<String> = (0..1_000).map(step).collect();
            format!(r#"{{"specification":"x","steps":[{}]}}"#, steps.join(","))
        });
    }
    std::thread::sleep(Duration::from_secs(5));
    let until = Instant::now() + Duration::from_secs(30);
    let mut accepted = Vec::new();
    let (mut calls, mut unanswered) = (0, 0);
    for number in 0..8_u64 {
        let id = format!("{:016x}", 0xd000 + number);
        for at in 0..2 {
            if Instant::now() > until {
                break;
            }
            calls += 1;
            let host = (number * 2 + at) as usize;
            match caller.call(host, "POST", &id, &one_step("200", 4, false)) {
                Ok((200..300, _)) => {
                    accepted.push(id.clone());
                    break;
                }
                Ok(_) => {}
                Err(_) => unanswered += 1,
            }
        }
        let ready = world.hosts.iter().filter(|host| host.is_ready()).count();
        record.note(format!("{ready} of {HOSTS} hosts pass the readiness check"));
    }
    std::thread::sleep(FINISH);
    let processor: Vec<u64> = world.hosts.iter().map(Host::processor_s).collect();
    record.note(format!("processor seconds of the hosts: {processor:?}"));
    let has_not_begun = |id: &&String| !world.seen.has_begun(id);
    let waiting = accepted.iter().filter(has_not_begun).count();
    record.note(format!(
        "{} accepted, {waiting} of these without a start; {unanswered} of {calls} calls without \
         an answer in 3 s",
        accepted.len()
    ));
    if waiting == 0 && unanswered * 2 < calls {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: {waiting} of {} accepted ordinary submissions have not started 14 s after the last \
         was sent, beside {WORKERS} idle workers; {unanswered} of {calls} ordinary calls got no \
         answer in 3 s",
        accepted.len()
    )))
}

/// Lets ordinary clients submit for some seconds; fails unless all is done.
fn serve_ordinary(world: &World) -> Result<(), String> {
    let traffic = Traffic::start(&world.caller());
    std::thread::sleep(Duration::from_secs(3));
    let ids = traffic.end()?;
    let are_done = |world: &World| ids.iter().all(|id| world.seen.has_done(id));
    if ids.is_empty() || !world.wait(FINISH, are_done) {
        return Err("ordinary submissions were not done".to_owned());
    }
    Ok(())
}

/// Sends submissions as a client that the users do not control, ten a second at most.
fn send_hopeless(world: &World, jobs: u64, limit: Duration, body: impl Fn(u64) -> String) {
    let (record, caller) = (&world.record, world.caller());
    let until = Instant::now() + limit;
    let (mut sent, mut bytes) = (0, 0);
    while sent < jobs && Instant::now() < until {
        let body = body(sent);
        bytes += body.len();
        let id = format!("{:016x}", 0xf000 + sent);
        // It does not care for answers.
        let _ = caller.call(sent as usize, "POST", &id, &body);
        sent += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    record.note(format!(
        "the other client has sent {sent} submissions, {bytes} bytes, and stops"
    ));
}

/// Fault and LOST: a client sends submissions that can never be done. Processes exceed the memory of
/// their machines and are killed for it, one after the other.
fn memory(world: &mut World, has_trouble: bool) -> Verdict {
    let (record, caller) = (world.record.clone(), world.caller());
    serve_ordinary(world)?;
    if has_trouble {
        let step = r#"{"count":10000,"cpu":100,"requestedMemoryMb":10,"estimatedMs":500,"requirements":"none"}"#;
        let body = format!(r#"{{"specification":"x","steps":[{step},{step}]}}"#);
        send_hopeless(world, 100, Duration::from_secs(15), |_| body.clone());
    }
    let traffic = Traffic::start(&caller);
    world.keep_running(Duration::from_secs(40));
    let accepted = traffic.end()?;
    world.keep_running(FINISH);
    let has_not_begun = |id: &&String| !world.seen.has_begun(id);
    let waiting = accepted.iter().filter(has_not_begun).count();
    let kills: Vec<u32> = world.hosts.iter().map(|host| host.kills).collect();
    record.note(format!(
        "{} accepted, {waiting} of these without a start; processes killed for their memory, by host: {kills:?}",
        accepted.len()
    ));
    let is_often = kills.iter().filter(|kills| **kills >= 3).count() >= 2;
    if waiting == 0 && !is_often {
        return Ok(None);
    }
    Ok(Some(format!(
        "Fault: processes went over {} MB and were killed, by host: {kills:?}; LOST: {waiting} of {} accepted \
         ordinary submissions have not started 14 s after the last was sent",
        crate::host::MEMORY_MB,
        accepted.len()
    )))
}

/// A submission of one task that lasts, and each worker that starts it until `count` have been lost:
/// `lose` is called with it, some time after the start.
fn lose_workers(
    world: &World,
    id: &str,
    count: usize,
    lose: impl Fn(&Worker),
) -> Result<(), String> {
    for _ in 0..count {
        if !world.wait(Duration::from_secs(12), |world| world.runs(id)) {
            world.record.note("the task does not run for 12 s");
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(400));
        let runner = world.workers.iter().find(|worker| worker.runs(id));
        lose(runner.ok_or("the task has stopped by itself")?);
    }
    Ok(())
}

/// LOST: workers crash one after the other, each soon after it has started the same sound task, and
/// come back. No run of the task ends `failed`; its submission is shown as `failed`.
fn crashes(world: &World, has_trouble: bool) -> Verdict {
    let (record, caller) = (&world.record, world.caller());
    let id = "00000000000000e1";
    if !caller.submit(0, id, &one_step("lasts", 1, true)) {
        return Err("the submission was not accepted".to_owned());
    }
    if has_trouble {
        lose_workers(world, id, 5, |worker| {
            worker.crash();
            std::thread::sleep(Duration::from_secs(3));
            worker.rise();
        })?;
    }
    std::thread::sleep(FINISH);
    let runs = world.runs(id);
    let answer = caller.state(2, id);
    record.note(format!("the task runs: {runs}"));
    match answer {
        Ok((200, body)) if !body.contains("running") && !body.contains("queued") => {
            Ok(Some(format!(
                "LOST: no run has ended `failed` and nobody has cancelled the submission; it is \
                 shown as {body}, and its task runs: {runs}"
            )))
        }
        Ok((200, _)) if runs => Ok(None),
        answer => Err(format!("the state is {answer:?}, the task runs: {runs}")),
    }
}

/// LOST: workers are lost for good one after the other, each soon after it has started the same task.
/// Then all is calm, and the task has nothing running beside idle workers.
fn losses(world: &World, has_trouble: bool) -> Verdict {
    let (record, caller) = (&world.record, world.caller());
    let id = "00000000000000e2";
    if !caller.submit(0, id, &one_step("lasts", 1, true)) {
        return Err("the submission was not accepted".to_owned());
    }
    if has_trouble {
        lose_workers(world, id, 4, Worker::crash)?;
    }
    let began = Instant::now();
    let runs = world.wait(Duration::from_secs(40), |world| world.runs(id));
    let waited = began.elapsed();
    record.note(format!(
        "the task runs: {runs}, {} ms after the last loss of a worker",
        waited.as_millis()
    ));
    // 6 s after the last run, 4 s and 3 s of calm, and the time in which the loss is near.
    let bound = Duration::from_secs(6 + 4 + 3) + Duration::from_millis(CONTACT_TIMEOUT_MS);
    if waited < bound {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: the task had nothing running for {} ms, with no disruption and {} idle workers",
        waited.as_millis(),
        WORKERS - 4
    )))
}
