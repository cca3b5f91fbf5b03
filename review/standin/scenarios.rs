//! The scenarios.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Traffic, next_id, one_step, pause};
use crate::json;
use crate::ledger::Start;
use crate::store::Lost;
use crate::{Setup, Verdict};

pub fn run(name: &str, setup: &Setup) -> Result<Verdict, String> {
    match name {
        "given-up" => given_up(setup),
        "other-kind" => other_kind(setup),
        "cancelled" => cancelled(setup),
        "large" => large(setup),
        "starved" => starved(setup),
        "history" => history(setup),
        "long" => long(setup),
        "late-ack" => late_ack(setup),
        "half-memory" => half_memory(setup),
        other => Err(format!("no scenario `{other}`")),
    }
}

fn start(setup: &Setup, kinds: &[&str]) -> Result<Deployment, String> {
    let shares = [0.25, 0.25, 0.25];
    let mut deployment = Deployment::start(
        &setup.program,
        &setup.folder,
        &setup.record,
        &shares,
        kinds,
        16,
    )?;
    // Machines are in touch after this long.
    pause(3_500);
    if deployment.hosts.iter_mut().any(|host| !host.is_running()) {
        return Err("a host has ended by itself".to_owned());
    }
    Ok(deployment)
}

/// Waits for a start of a task after `from` starts; none after ten seconds.
fn wait_start(deployment: &Deployment, task: &str, from: usize) -> Option<Start> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let starts = deployment.ledger.starts();
        let mut own = starts.into_iter().filter(|start| start.task == task);
        if let Some(start) = own.nth(from) {
            return Some(start);
        }
        pause(5);
    }
    None
}

/// A submission that lasts; three times the worker that has just started its first task crashes
/// for two seconds.
fn given_up(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a"; 8])?;
    let caller = deployment.caller();
    let mut traffic = Traffic::start(
        deployment.caller(),
        200,
        "ms=400",
        "\"count\":4,\"cpu\":1000,\"requestedMemoryMb\":512,\"estimatedMs\":400",
    );
    pause(1_000);
    let id = next_id();
    let step = "\"count\":4,\"cpu\":2000,\"requestedMemoryMb\":1024,\"estimatedMs\":300,\"longRunning\":true";
    if !caller.submit(&id, &one_step("lasts", step)) {
        return Err("the submission was not accepted".to_owned());
    }
    let task = format!("{id}.0.0.0");
    for crash in 0..3 {
        let Some(start) = wait_start(&deployment, &task, crash) else {
            return Err(format!("start {} of the task did not come", crash + 1));
        };
        if !setup.trouble {
            break;
        }
        pause(100);
        let worker = deployment
            .workers
            .iter()
            .find(|worker| worker.id() == start.worker);
        let worker = worker.cloned().ok_or("no such worker")?;
        worker.crash();
        let new_id = format!("{}-{}", start.worker, crash + 1);
        std::thread::spawn(move || {
            pause(2_000);
            worker.rise(&new_id, "a", Duration::ZERO);
        });
    }
    // Restarting takes well below six seconds on a calm deployment.
    pause(9_000);
    let state = caller.state(&id);
    let at_work = deployment
        .workers
        .iter()
        .filter(|worker| worker.holds(&id))
        .count();
    let small = traffic.stop();
    pause(2_000);
    let done = small
        .iter()
        .filter(|id| caller.state(id) == "completed")
        .count();
    let ends = deployment.ledger.ends();
    let failed = ends
        .iter()
        .filter(|end| end.task.starts_with(&id) && end.how == "failed")
        .count();
    let text = format!(
        "the submission is shown as `{state}`, {failed} of its runs ended `failed`, {at_work} workers \
         hold its tasks; {done} of {} small submissions completed",
        small.len()
    );
    deployment.ledger.note(&text);
    if done * 10 < small.len() * 9 {
        return Err(text);
    }
    Ok(match state.as_str() {
        "failed" | "cancelled" if failed == 0 => Verdict::Broken(text),
        "running" | "queued" => Verdict::Held(text),
        _ => return Err(text),
    })
}

/// Tasks that need the kind `a`; a worker of that kind crashes, and begins a new life of the kind
/// `b` under its identifier.
fn other_kind(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a", "a", "a", "a", "a", "a", "b", "b"])?;
    let mut traffic = Traffic::start(
        deployment.caller(),
        150,
        "ms=600",
        "\"count\":4,\"cpu\":2000,\"requestedMemoryMb\":512,\"estimatedMs\":600,\"requirements\":\"a\"",
    );
    pause(4_000);
    if setup.trouble {
        let worker = deployment.workers[2].clone();
        let id = worker.id();
        worker.crash();
        pause(1_000);
        worker.rise(&id, "b", Duration::from_millis(800));
    }
    pause(5_000);
    let small = traffic.stop();
    pause(2_000);
    let caller = deployment.caller();
    let done = small
        .iter()
        .filter(|id| caller.state(id) == "completed")
        .count();
    let starts = deployment.ledger.starts();
    let wrong: Vec<&Start> = starts.iter().filter(|start| start.kind != "a").collect();
    let text = format!(
        "{} of {} starts of tasks that need the kind `a` were on a worker of another kind; \
         {done} of {} submissions completed",
        wrong.len(),
        starts.len(),
        small.len()
    );
    deployment.ledger.note(&text);
    if starts.len() < 100 || done * 10 < small.len() * 9 {
        return Err(text);
    }
    Ok(match wrong.first() {
        Some(first) => Verdict::Broken(format!("{text}; first {} on {}", first.task, first.worker)),
        None => Verdict::Held(text),
    })
}

/// The store's answers to the write of a submission are lost, and the write is carried out late.
/// Its client gives up and cancels.
fn cancelled(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a"; 6])?;
    let caller = deployment.caller();
    let mut traffic = Traffic::start(
        deployment.caller(),
        150,
        "ms=400",
        "\"count\":2,\"cpu\":1000,\"requestedMemoryMb\":512,\"estimatedMs\":400",
    );
    pause(2_000);
    let id = next_id();
    let before = deployment.store.counts();
    if setup.trouble {
        deployment.store.set_lost(Some(Lost {
            key: format!("intake/job/{id}"),
            late: Duration::from_millis(5_500),
        }));
    }
    let step = "\"count\":2,\"cpu\":1000,\"requestedMemoryMb\":512,\"estimatedMs\":500";
    let handed_in = caller.call(0, "POST", &id, &one_step("ms=500", step));
    deployment.store.set_lost(None);
    let after = deployment.store.counts();
    let mut acked_ms = None;
    for host in 1..4 {
        match caller.call(host, "DELETE", &id, "") {
            Ok((200..=299 | 410, _)) => {
                acked_ms = Some(deployment.ledger.now_ms());
                break;
            }
            _ => pause(300),
        }
    }
    let Some(acked_ms) = acked_ms else {
        return Err("the cancel got no ack".to_owned());
    };
    pause(10_000);
    let small = traffic.stop();
    pause(2_000);
    let state = caller.state(&id);
    let done = small
        .iter()
        .filter(|id| caller.state(id) == "completed")
        .count();
    let starts = deployment.ledger.starts();
    let own = starts.iter().filter(|start| start.task.starts_with(&id));
    let late: Vec<&Start> = own.filter(|start| start.at_ms > acked_ms + 3_000).collect();
    let text = format!(
        "handed in: {handed_in:?}; {} starts of the submission more than 3 s after the ack of its \
         cancel, the last {} ms after it; it is shown as `{state}`; {} of {} writes lost meanwhile; \
         {done} of {} other submissions completed",
        late.len(),
        late.last().map_or(0, |start| start.at_ms - acked_ms),
        after.1 - before.1,
        after.0 - before.0,
        small.len()
    );
    deployment.ledger.note(&text);
    if done * 10 < small.len() * 9 {
        return Err(text);
    }
    Ok(if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// One large submission beside small ones.
fn large(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a"; 8])?;
    let caller = deployment.caller();
    let mut traffic = Traffic::start(
        deployment.caller(),
        200,
        "ms=300",
        "\"count\":2,\"cpu\":1000,\"requestedMemoryMb\":512,\"estimatedMs\":300",
    );
    pause(3_000);
    if setup.trouble {
        let id = next_id();
        let step = "\"count\":10000,\"cpu\":5,\"requestedMemoryMb\":2,\"estimatedMs\":2000";
        let body = format!("{{\"specification\":\"ms=2000\",\"steps\":[{{{step}}},{{{step}}}]}}");
        if !caller.submit(&id, &body) {
            return Err("the large submission was not accepted".to_owned());
        }
    }
    pause(5_000);
    let small = traffic.stop();
    pause(20_000);
    let done = small
        .iter()
        .filter(|id| caller.state(id) == "completed")
        .count();
    let starts = deployment.ledger.starts();
    let unstarted = small
        .iter()
        .filter(|id| !starts.iter().any(|start| start.task.starts_with(*id)))
        .count();
    let text = format!(
        "{done} of {} small submissions completed, {unstarted} were never started; {} writes refused for their size",
        small.len(),
        deployment.store.counts().2
    );
    deployment.ledger.note(&text);
    Ok(if unstarted > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// The one worker of the kind `b` is lost for good. Submissions of fillers that need it wait, and
/// others of fillers come that any worker can run.
fn starved(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a", "a", "a", "a", "a", "a", "a", "b"])?;
    let caller = deployment.caller();
    if setup.trouble {
        deployment.workers[7].crash();
    }
    pause(1_000);
    let waiting: Vec<String> = (0..10).map(|_| next_id()).collect();
    for id in &waiting {
        let step = "\"count\":1,\"cpu\":100,\"requestedMemoryMb\":256,\"estimatedMs\":300,\
                    \"fills\":true,\"image\":\"report\",\"requirements\":\"b\"";
        if !caller.submit(id, &one_step("ms=300", step)) {
            return Err("a submission was not accepted".to_owned());
        }
        pause(300);
    }
    let chains: Vec<String> = (0..5).map(|_| next_id()).collect();
    for id in &chains {
        let step = |after: &str| {
            format!(
                "{{\"count\":2,\"cpu\":2000,\"requestedMemoryMb\":1024,\"estimatedMs\":300,\
                 \"fills\":true,\"image\":\"ledger\"{after}}}"
            )
        };
        let steps = [step(""), step(",\"after\":[0]"), step(",\"after\":[1]")].join(",");
        let body = format!("{{\"specification\":\"ms=2700\",\"steps\":[{steps}]}}");
        if !caller.submit(id, &body) {
            return Err("a submission was not accepted".to_owned());
        }
        pause(300);
    }
    // Three steps of 2.7 s, and the time until submissions are asked for.
    pause(9_000);
    let idle_from = deployment.ledger.now_ms();
    pause(14_000);
    let states: Vec<String> = chains.iter().map(|id| caller.state(id)).collect();
    let done = states.iter().filter(|state| *state == "completed").count();
    let starts = deployment.ledger.starts();
    let recent = starts
        .iter()
        .filter(|start| start.at_ms > idle_from)
        .count();
    let stuck: Vec<&String> = (chains.iter())
        .filter(|id| !deployment.workers.iter().any(|worker| worker.holds(id)))
        .filter(|id| {
            !starts
                .iter()
                .any(|start| start.task == format!("{id}.0.2.0"))
        })
        .collect();
    let text = format!(
        "{done} of 5 submissions that any worker can run completed, {} have a step whose turn has \
         come and that was not started in 14 s; {recent} starts in that time",
        stuck.len()
    );
    deployment.ledger.note(&text);
    Ok(if stuck.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// A filler that needs three fifths of a worker's memory, beside small submissions.
fn half_memory(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a"; 8])?;
    let caller = deployment.caller();
    let memory = if setup.trouble { 38_400 } else { 28_800 };
    let id = next_id();
    let step = format!(
        "\"count\":1,\"cpu\":2000,\"requestedMemoryMb\":{memory},\"estimatedMs\":1000,\
         \"fills\":true,\"image\":\"ledger\""
    );
    if !caller.submit(&id, &one_step("ms=1000", &step)) {
        return Err("the submission was not accepted".to_owned());
    }
    pause(20_000);
    let state = caller.state(&id);
    let text = format!(
        "a filler of {memory} MB on eight idle workers of 64000 MB is `{state}` after 20 s"
    );
    deployment.ledger.note(&text);
    Ok(if state == "completed" {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// Number of submissions that were completed before: 10 hours at the site's 13.3 a second.
const EARLIER: u64 = 478_800;

/// `memoryMb` of the settings.
const MEMORY_MB: u64 = 260;

/// The store holds what the system wrote for the submissions of ten hours; then the process that
/// last wrote under a condition is killed, once. The platform ends a process that is over its
/// memory, and starts it again after a short delay.
fn history(setup: &Setup) -> Result<Verdict, String> {
    let mut deployment = start(setup, &["a"; 8])?;
    let caller = deployment.caller();
    let step = "\"count\":2,\"cpu\":1000,\"requestedMemoryMb\":512,\"estimatedMs\":300";
    let first = next_id();
    if !caller.submit(&first, &one_step("ms=300", step)) {
        return Err("the first submission was not accepted".to_owned());
    }
    pause(2_000);
    let key = format!("intake/job/{first}");
    let value = deployment
        .store
        .value(&key)
        .ok_or("no record of the first submission")?;
    let ids = (1..=EARLIER).map(|number| number.wrapping_mul(0xd134_2543_de82_ef95));
    let keys = ids.map(|id| format!("intake/job/{id:016x}"));
    deployment.store.hold_earlier(keys, &value);
    let mut traffic = Traffic::start(deployment.caller(), 300, "ms=300", step);
    pause(3_000);
    let owner = (deployment.store.value("lead/owner")).ok_or("no owner")?;
    let owner = String::from_utf8(json::bytes(&owner)).unwrap_or_default();
    let owner = (deployment.hosts.iter())
        .position(|host| owner.contains(&format!("\"{}\"", host.name)))
        .ok_or("the owner is none of the hosts")?;
    if setup.trouble {
        deployment
            .ledger
            .note(&format!("{} is killed", deployment.hosts[owner].name));
        deployment.hosts[owner].kill();
        pause(1_000);
        deployment.start_host(owner)?;
    }
    let mut over = vec![0; deployment.hosts.len()];
    watch_memory(&mut deployment, &mut over, Duration::from_secs(70))?;
    let small = traffic.stop();
    // They are asked for `finish_s` after the end of the traffic.
    watch_memory(&mut deployment, &mut over, Duration::from_secs(14))?;
    let starts = deployment.ledger.starts();
    let is_unstarted = |id: &&String| {
        !starts
            .iter()
            .any(|start| start.task.starts_with(id.as_str()))
    };
    let unstarted = small.iter().filter(is_unstarted).count();
    let text = format!(
        "{unstarted} of {} accepted submissions were never started; ends of processes for their \
         memory, by host: {over:?}",
        small.len()
    );
    deployment.ledger.note(&text);
    let ends: u32 = over.iter().sum();
    Ok(if unstarted * 2 > small.len() && ends >= 3 {
        Verdict::Broken(text)
    } else if unstarted == 0 && ends == 0 {
        Verdict::Held(text)
    } else {
        return Err(text);
    })
}

/// Ends processes that are over their memory, and starts them again after a short delay.
fn watch_memory(
    deployment: &mut Deployment,
    over: &mut [u32],
    time: Duration,
) -> Result<(), String> {
    let began = Instant::now();
    while began.elapsed() < time {
        for (number, ends) in over.iter_mut().enumerate() {
            let memory = deployment.hosts[number].memory_mb();
            if memory > MEMORY_MB {
                *ends += 1;
                let name = deployment.hosts[number].name.clone();
                let note = format!("{name} has {memory} MB and is ended for it");
                deployment.ledger.note(&note);
                deployment.hosts[number].kill();
                pause(500);
                deployment.start_host(number)?;
            }
        }
        pause(20);
    }
    Ok(())
}

/// A submission whose tasks work for minutes, beside small ones.
fn long(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a"; 8])?;
    let caller = deployment.caller();
    let mut traffic = Traffic::start(
        deployment.caller(),
        250,
        "ms=300",
        "\"count\":2,\"cpu\":1000,\"requestedMemoryMb\":512,\"estimatedMs\":300",
    );
    let id = next_id();
    let millis = if setup.trouble { 240_000 } else { 24_000 };
    let step =
        format!("\"count\":8,\"cpu\":9000,\"requestedMemoryMb\":16384,\"estimatedMs\":{millis}");
    if !caller.submit(&id, &one_step(&format!("ms={millis}"), &step)) {
        return Err("the submission was not accepted".to_owned());
    }
    pause(20_000);
    let small = traffic.stop();
    // Submissions are asked for `finish_s` after the end of the traffic.
    pause(14_000);
    let is_done = caller.state(&id) == "completed";
    let began = Instant::now();
    let (mut idle_since, mut longest) = (None, Duration::ZERO);
    while began.elapsed() < Duration::from_secs(20) && !is_done {
        if deployment.workers.iter().any(|worker| worker.holds(&id)) {
            idle_since = None;
        } else {
            let since: Instant = *idle_since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        }
        pause(10);
    }
    let state = caller.state(&id);
    let done = small
        .iter()
        .filter(|id| caller.state(id) == "completed")
        .count();
    let starts = deployment.ledger.starts();
    let starts = starts
        .iter()
        .filter(|start| start.task.starts_with(&id))
        .count();
    let text = format!(
        "{starts} starts of 8 tasks of {millis} ms, the submission is `{state}`; on idle workers \
         nothing of it ran for up to {} ms; {done} of {} small submissions completed",
        longest.as_millis(),
        small.len()
    );
    deployment.ledger.note(&text);
    Ok(if longest >= Duration::from_secs(3) {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Workers crash one after the other and begin a new life under their identifier; calls that
/// acknowledge ends, sent shortly before, get no answer and are carried out late.
fn late_ack(setup: &Setup) -> Result<Verdict, String> {
    let deployment = start(setup, &["a"; 8])?;
    let caller = deployment.caller();
    let mut traffic = Traffic::start(
        deployment.caller(),
        40,
        "ms=60",
        "\"count\":14,\"cpu\":500,\"requestedMemoryMb\":256,\"estimatedMs\":60",
    );
    pause(2_000);
    let until = Instant::now() + Duration::from_secs(56);
    // One worker at a time is down.
    let turn: Arc<Mutex<()>> = Arc::default();
    let late = Arc::new(AtomicU32::new(0));
    let disturbed = deployment.workers.iter().filter(|_| setup.trouble);
    let threads: Vec<_> = disturbed
        .cloned()
        .map(|worker| {
            let (turn, late) = (Arc::clone(&turn), Arc::clone(&late));
            std::thread::spawn(move || {
                while Instant::now() < until {
                    for call in 0..3 {
                        if worker.hold_late(Duration::from_millis(5_000 + 300 * call)) {
                            late.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    let down = turn.lock().unwrap();
                    let id = worker.id();
                    worker.crash();
                    pause(600);
                    worker.rise(&id, "a", Duration::ZERO);
                    pause(300);
                    drop(down);
                    // The late calls are carried out in this life.
                    pause(6_000);
                }
            })
        })
        .collect();
    for thread in threads {
        thread
            .join()
            .map_err(|_| "a thread has failed".to_owned())?;
    }
    pause(until.saturating_duration_since(Instant::now()).as_millis() as u64);
    let late = late.load(Ordering::Relaxed);
    pause(3_000);
    let small = traffic.stop();
    pause(4_000);
    let done = small
        .iter()
        .filter(|id| caller.state(id) == "completed")
        .count();
    let starts = deployment.ledger.starts();
    let mut again = Vec::new();
    for (at_ms, task, run) in deployment.ledger.noted_ends() {
        let mut later = starts
            .iter()
            .filter(|start| start.task == task && start.at_ms > at_ms);
        if let Some(start) = later.next() {
            again.push(format!(
                "{task} after run {run}, on {} {} ms later",
                start.worker,
                start.at_ms - at_ms
            ));
        }
    }
    let text = format!(
        "{} tasks were started again after an end `done` that was taken note of, with {late} late \
         calls among {} starts; {done} of {} submissions completed; first: {:?}",
        again.len(),
        starts.len(),
        small.len(),
        again.first()
    );
    deployment.ledger.note(&text);
    if done * 10 < small.len() * 9 {
        return Err(text);
    }
    Ok(if again.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
