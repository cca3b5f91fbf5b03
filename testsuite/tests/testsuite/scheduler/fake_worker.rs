//! In-memory worker that follows the contract of `port::worker`.

use std::collections::BTreeMap;

use verbenahitch::domain::{Millis, Resources, TaskId};
use verbenahitch::port::{
    Command, EndKind, Ended, HostRecord, HostState, Running, SyncError, SyncReply, SyncRequest,
    Usage,
};

use super::history::{History, ObservedEvent};

/// Interval between two checkpoints, in milliseconds of work.
const CHECKPOINT_MS: Millis = 400;
/// Time that it takes to stop a task whose lease has lapsed.
const LAPSE_MS: Millis = 200;
/// Time from the start of a failing run to its failure.
const FAILURE_MS: Millis = 50;

/// Payload of a task that fails wherever it runs.
pub const FAILING_PAYLOAD: &str = "fail";

struct ActiveRun {
    task: TaskId,
    resources: Resources,
    started_at: Millis,
    resumed_ms: Millis,
    run_ms: Millis,
    fails: bool,
    lease_end: Millis,
    evict_at: Option<Millis>,
}

impl ActiveRun {
    fn progress(&self, at: Millis) -> Millis {
        (self.resumed_ms + at.saturating_sub(self.started_at)).min(self.run_ms)
    }

    /// Time and kind of the end if no further command arrives.
    fn next_end(&self) -> (Millis, EndKind) {
        let done = self.started_at + self.run_ms - self.resumed_ms;
        let failed = if self.fails {
            self.started_at + FAILURE_MS
        } else {
            Millis::MAX
        };
        [
            (done, EndKind::Done),
            (failed, EndKind::Failed),
            (self.evict_at.unwrap_or(Millis::MAX), EndKind::Evicted),
            (self.lease_end + LAPSE_MS, EndKind::Lapsed),
        ]
        .into_iter()
        .min_by_key(|(at, _)| *at)
        .expect("the array of ends is not empty")
    }
}

pub struct FakeWorker {
    pub host: HostRecord,
    /// Whether every task that it starts fails.
    pub fails: bool,
    /// Whether it breaks the contract and runs tasks on after their lease has lapsed.
    pub ignores_leases: bool,
    /// Whether its clock runs on over a restart.
    pub keeps_clock: bool,
    /// Number of restarts; each one closes all connections.
    pub boot: u32,
    booted_at: Millis,
    epoch: u64,
    seq: u64,
    active: BTreeMap<u64, ActiveRun>,
    ended: BTreeMap<u64, Ended>,
}

impl FakeWorker {
    /// Number of runs in progress.
    pub fn run_count(&self) -> usize {
        self.active.len()
    }

    pub fn new(name: &str, zone: &str, capacity: Resources) -> Self {
        Self {
            host: HostRecord {
                name: name.to_owned(),
                zone: zone.to_owned(),
                rack: "r1".to_owned(),
                control: format!("{name}:1"),
                upstream: "127.0.0.1:2".to_owned(),
                slots: 8,
                capacity,
                state: HostState::Live,
            },
            fails: false,
            ignores_leases: false,
            keeps_clock: false,
            boot: 0,
            booted_at: 0,
            epoch: 0,
            seq: 0,
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Ends the runs whose end is due by `now`.
    pub fn advance(&mut self, now: Millis, history: &mut History) {
        while let Some((run, at, kind)) = self.first_end().filter(|(_, at, _)| *at <= now) {
            self.end_run(run, at, kind, history);
        }
    }

    /// Ends all runs at once and restarts the worker without its state.
    pub fn crash(&mut self, now: Millis, history: &mut History) {
        self.advance(now, history);
        for (run, active) in std::mem::take(&mut self.active) {
            let event = ObservedEvent::Ended {
                worker: self.host.name.clone(),
                run,
                checkpoint_ms: active.progress(now),
                task: active.task,
                kind: None,
            };
            history.record(now, event);
        }
        let (host, fails) = (self.host.clone(), self.fails);
        let booted_at = if self.keeps_clock {
            self.booted_at
        } else {
            now
        };
        *self = Self {
            fails,
            keeps_clock: self.keeps_clock,
            boot: self.boot + 1,
            booted_at,
            ..Self::new(&host.name, &host.zone, host.capacity)
        };
        self.host = host;
    }

    pub fn sync(
        &mut self,
        request: &SyncRequest,
        now: Millis,
        history: &mut History,
    ) -> Result<SyncReply, SyncError> {
        self.advance(now, history);
        let clock = now - self.booted_at + 1;
        if request.epoch < self.epoch {
            return Err(SyncError::StaleEpoch { epoch: self.epoch });
        }
        let repeated = request.epoch == self.epoch && request.seq <= self.seq;
        let life = self.life();
        let other_life = request.life > 0 && request.life != life;
        if repeated || other_life || (request.not_after > 0 && clock > request.not_after) {
            return Err(SyncError::Late { clock, life });
        }
        self.epoch = request.epoch;
        self.seq = request.seq;
        for run in &request.acked {
            if let Some(ended) = self.ended.remove(run) {
                let event = ObservedEvent::Acked {
                    task: ended.task,
                    run: *run,
                    kind: ended.kind,
                    checkpoint_ms: ended.checkpoint_ms,
                };
                history.record(now, event);
            }
        }
        if request.lease_ms > 0 {
            for active in self.active.values_mut() {
                active.lease_end = active.lease_end.max(now + request.lease_ms);
            }
        }
        for command in &request.commands {
            self.execute(command, now + request.lease_ms, now, history);
        }
        Ok(self.report(clock, now))
    }

    fn execute(
        &mut self,
        command: &Command,
        lease_end: Millis,
        now: Millis,
        history: &mut History,
    ) {
        match command {
            Command::Start {
                task,
                run,
                resources,
                run_ms,
                checkpoint_ms,
                payload,
                ..
            } => {
                let event = ObservedEvent::Started {
                    worker: self.host.name.clone(),
                    run: *run,
                    task: task.clone(),
                    resources: *resources,
                    checkpoint_ms: *checkpoint_ms,
                };
                history.record(now, event);
                let active = ActiveRun {
                    task: task.clone(),
                    resources: *resources,
                    started_at: now,
                    resumed_ms: *checkpoint_ms,
                    run_ms: *run_ms,
                    fails: self.fails || payload == FAILING_PAYLOAD,
                    lease_end,
                    evict_at: None,
                };
                self.active.insert(*run, active);
            }
            Command::Evict { run, grace_ms } => {
                if let Some(active) = self.active.get_mut(run) {
                    active.evict_at = active.evict_at.or(Some(now + grace_ms));
                }
            }
            Command::Stop { run } => {
                if self.active.contains_key(run) {
                    self.end_run(*run, now, EndKind::Stopped, history);
                }
            }
            Command::Throttle { .. } => {}
        }
    }

    fn report(&self, clock: Millis, now: Millis) -> SyncReply {
        let running = self.active.iter().map(|(run, active)| Running {
            task: active.task.clone(),
            run: *run,
            resources: active.resources,
            checkpoint_ms: (active.progress(now) / CHECKPOINT_MS * CHECKPOINT_MS)
                .max(active.resumed_ms),
            share: 1.0,
        });
        SyncReply {
            clock,
            life: self.life(),
            refused: Vec::new(),
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            usage: Usage::default(),
        }
    }

    fn life(&self) -> u64 {
        u64::from(self.boot) + 1
    }

    fn first_end(&self) -> Option<(u64, Millis, EndKind)> {
        self.active
            .iter()
            .map(|(run, active)| (*run, active.next_end()))
            .filter(|(_, (_, kind))| !self.ignores_leases || *kind != EndKind::Lapsed)
            .map(|(run, (at, kind))| (run, at, kind))
            .min_by_key(|(run, at, _)| (*at, *run))
    }

    fn end_run(&mut self, run: u64, at: Millis, kind: EndKind, history: &mut History) {
        let Some(active) = self.active.remove(&run) else {
            return;
        };
        let checkpoint_ms = active.progress(at);
        let event = ObservedEvent::Ended {
            worker: self.host.name.clone(),
            run,
            task: active.task.clone(),
            kind: Some(kind),
            checkpoint_ms,
        };
        history.record(at, event);
        let ended = Ended {
            task: active.task,
            run,
            kind,
            checkpoint_ms,
        };
        self.ended.insert(run, ended);
    }
}
