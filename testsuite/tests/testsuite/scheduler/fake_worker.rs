//! A worker in memory that follows the contract of `port::worker`.

use std::collections::BTreeMap;

use verbenahitch::domain::{Millis, Resources, TaskId};
use verbenahitch::port::{
    Command, EndKind, Ended, HostRecord, HostState, Running, SyncError, SyncReply, SyncRequest,
    Usage,
};

use super::history::{History, Seen};

/// Work between two checkpoints.
const CHECKPOINT_MS: Millis = 400;
/// Time to stop a task whose lease has lapsed.
const LAPSE_MS: Millis = 200;
/// Time after which a task fails on a worker that fails all.
const FAILURE_MS: Millis = 50;

/// Payload of a task that fails wherever it runs.
pub const FAILING_PAYLOAD: &str = "fail";

struct Live {
    task: TaskId,
    resources: Resources,
    from: Millis,
    resumed_ms: Millis,
    run_ms: Millis,
    fails: bool,
    lease: Millis,
    evict: Option<Millis>,
}

impl Live {
    fn progress(&self, at: Millis) -> Millis {
        (self.resumed_ms + at.saturating_sub(self.from)).min(self.run_ms)
    }

    /// How and when it ends if nothing else happens.
    fn next_end(&self) -> (Millis, EndKind) {
        let done = self.from + self.run_ms - self.resumed_ms;
        let failed = if self.fails {
            self.from + FAILURE_MS
        } else {
            Millis::MAX
        };
        [
            (done, EndKind::Done),
            (failed, EndKind::Failed),
            (self.evict.unwrap_or(Millis::MAX), EndKind::Evicted),
            (self.lease + LAPSE_MS, EndKind::Lapsed),
        ]
        .into_iter()
        .min_by_key(|(at, _)| *at)
        .expect("four ends to choose from")
    }
}

pub struct FakeWorker {
    pub host: HostRecord,
    /// Whether everything that it starts fails.
    pub fails: bool,
    /// Whether it breaks the contract and lets tasks go on without a lease.
    pub lawless: bool,
    /// Rises when the worker restarts, which ends all connections.
    pub boot: u32,
    born: Millis,
    epoch: u64,
    seq: u64,
    live: BTreeMap<u64, Live>,
    ended: BTreeMap<u64, Ended>,
}

impl FakeWorker {
    pub fn new(name: &str, zone: &str, capacity: Resources) -> Self {
        Self {
            host: HostRecord {
                name: name.to_owned(),
                zone: zone.to_owned(),
                rack: "r1".to_owned(),
                control: "127.0.0.1:1".to_owned(),
                upstream: "127.0.0.1:2".to_owned(),
                slots: 8,
                capacity,
                state: HostState::Live,
            },
            fails: false,
            lawless: false,
            boot: 0,
            born: 0,
            epoch: 0,
            seq: 0,
            live: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Millis, history: &mut History) {
        while let Some((run, at, kind)) = self.first_end().filter(|(_, at, _)| *at <= now) {
            self.end(run, at, kind, history);
        }
    }

    /// Loses all that it knew, at once.
    pub fn crash(&mut self, now: Millis, history: &mut History) {
        self.advance(now, history);
        for (run, live) in std::mem::take(&mut self.live) {
            let seen = Seen::Ended {
                worker: self.host.name.clone(),
                run,
                checkpoint_ms: live.progress(now),
                task: live.task,
                kind: None,
            };
            history.note(now, seen);
        }
        let (host, fails) = (self.host.clone(), self.fails);
        *self = Self {
            fails,
            boot: self.boot + 1,
            born: now,
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
        let clock = now - self.born + 1;
        if request.epoch < self.epoch {
            return Err(SyncError::StaleEpoch { epoch: self.epoch });
        }
        let repeated = request.epoch == self.epoch && request.seq <= self.seq;
        if repeated || (request.not_after > 0 && clock > request.not_after) {
            return Err(SyncError::Late { clock });
        }
        self.epoch = request.epoch;
        self.seq = request.seq;
        for run in &request.acked {
            if let Some(ended) = self.ended.remove(run) {
                let seen = Seen::Acked {
                    task: ended.task,
                    run: *run,
                    kind: ended.kind,
                    checkpoint_ms: ended.checkpoint_ms,
                };
                history.note(now, seen);
            }
        }
        if request.lease_ms > 0 {
            for live in self.live.values_mut() {
                live.lease = live.lease.max(now + request.lease_ms);
            }
        }
        for command in &request.commands {
            self.obey(command, now + request.lease_ms, now, history);
        }
        Ok(self.report(clock, now))
    }

    fn obey(&mut self, command: &Command, lease: Millis, now: Millis, history: &mut History) {
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
                let seen = Seen::Started {
                    worker: self.host.name.clone(),
                    run: *run,
                    task: task.clone(),
                    resources: *resources,
                    checkpoint_ms: *checkpoint_ms,
                };
                history.note(now, seen);
                let live = Live {
                    task: task.clone(),
                    resources: *resources,
                    from: now,
                    resumed_ms: *checkpoint_ms,
                    run_ms: *run_ms,
                    fails: self.fails || payload == FAILING_PAYLOAD,
                    lease,
                    evict: None,
                };
                self.live.insert(*run, live);
            }
            Command::Evict { run, grace_ms } => {
                if let Some(live) = self.live.get_mut(run) {
                    live.evict = live.evict.or(Some(now + grace_ms));
                }
            }
            Command::Stop { run } => {
                if self.live.contains_key(run) {
                    self.end(*run, now, EndKind::Stopped, history);
                }
            }
            Command::Throttle { .. } => {}
        }
    }

    fn report(&self, clock: Millis, now: Millis) -> SyncReply {
        let running = self.live.iter().map(|(run, live)| Running {
            task: live.task.clone(),
            run: *run,
            resources: live.resources,
            checkpoint_ms: (live.progress(now) / CHECKPOINT_MS * CHECKPOINT_MS)
                .max(live.resumed_ms),
            share: 1.0,
        });
        SyncReply {
            clock,
            refused: Vec::new(),
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            usage: Usage::default(),
        }
    }

    fn first_end(&self) -> Option<(u64, Millis, EndKind)> {
        self.live
            .iter()
            .map(|(run, live)| (*run, live.next_end()))
            .filter(|(_, (_, kind))| !self.lawless || *kind != EndKind::Lapsed)
            .map(|(run, (at, kind))| (run, at, kind))
            .min_by_key(|(run, at, _)| (*at, *run))
    }

    fn end(&mut self, run: u64, at: Millis, kind: EndKind, history: &mut History) {
        let Some(live) = self.live.remove(&run) else {
            return;
        };
        let checkpoint_ms = live.progress(at);
        let seen = Seen::Ended {
            worker: self.host.name.clone(),
            run,
            task: live.task.clone(),
            kind: Some(kind),
            checkpoint_ms,
        };
        history.note(at, seen);
        let ended = Ended {
            task: live.task,
            run,
            kind,
            checkpoint_ms,
        };
        self.ended.insert(run, ended);
    }
}
