//! A worker as the shard's owner sees it.

use crate::collections::HashSet;
use crate::domain::{JobKey, Millis, Monotonic, WorkerKey};
use crate::placement::WorkerState;
use crate::port::{Command, HostRecord, HostState};

const CONDEMNING_JOBS: usize = 3;
const FIRST_PROBE_MS: Millis = 5_000;
const LAST_PROBE_MS: Millis = 60_000;

/// A sync that was sent and not yet answered.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Number of the sync.
    pub seq: u64,
    /// When it was sent.
    pub sent: Monotonic,
    /// Commands that are sent again if it fails.
    pub commands: Vec<Command>,
}

/// Confinement of a worker that fails what it starts.
#[derive(Debug, Default)]
pub(super) struct Health {
    failed: HashSet<JobKey>,
    quarantined: bool,
    probe_at: Monotonic,
    backoff_ms: Millis,
}

impl Health {
    /// Notes a failure that the worker may be to blame for; says whether it is now quarantined.
    pub fn note_failure(&mut self, job: JobKey, now: Monotonic) -> bool {
        self.failed.insert(job);
        if !self.quarantined && self.failed.len() < CONDEMNING_JOBS {
            return false;
        }
        let next = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = next.clamp(FIRST_PROBE_MS, LAST_PROBE_MS);
        self.probe_at = now + self.backoff_ms;
        !std::mem::replace(&mut self.quarantined, true)
    }

    /// Notes a success; says whether this ended a quarantine.
    pub fn note_success(&mut self) -> bool {
        std::mem::take(self).quarantined
    }
}

/// A worker with all that the owner knows of it.
#[derive(Debug)]
pub(super) struct Worker {
    /// Key, also in the placer.
    pub key: WorkerKey,
    /// Its entry in the platform's list.
    pub host: HostRecord,
    /// Whether the list still shows it.
    pub listed: bool,
    /// Whether it answered under this epoch.
    pub answered: bool,
    /// Whether its last sync failed.
    pub silent: bool,
    /// Sync under way.
    pub inflight: Option<InFlight>,
    /// Commands for the next sync.
    pub commands: Vec<Command>,
    /// Ended runs that the worker may forget.
    pub acks: Vec<u64>,
    /// Its clock, and when the answer that told it was taken in.
    pub clock: Option<(Millis, Monotonic)>,
    /// When every lease that this owner renewed there has lapsed.
    pub lapse: Monotonic,
    /// Runs given to it or found on it.
    pub runs: HashSet<u64>,
    /// Ended runs whose commit is not yet durable.
    pub ending: HashSet<u64>,
    /// Runs on it that must stop and belong to no task here.
    pub strays: HashSet<u64>,
    /// Runs that were told to stop with a checkpoint.
    pub evicting: usize,
    /// When it takes tasks, while its zone returns.
    pub opens: Monotonic,
    /// Confinement.
    pub health: Health,
    /// What the placer was told of it.
    pub shown: WorkerState,
    /// When something is due.
    pub due: Monotonic,
}

impl Worker {
    /// Creates a worker that has not been heard.
    pub fn new(key: WorkerKey, host: HostRecord, opens: Monotonic, now: Monotonic) -> Self {
        Self {
            key,
            host,
            listed: true,
            answered: false,
            silent: false,
            inflight: None,
            commands: Vec::new(),
            acks: Vec::new(),
            clock: None,
            lapse: Monotonic::default(),
            runs: HashSet::default(),
            ending: HashSet::default(),
            strays: HashSet::default(),
            evicting: 0,
            opens,
            health: Health::default(),
            shown: WorkerState::Closed,
            due: now,
        }
    }

    /// Forgets what holds for one epoch only.
    pub fn reset(&mut self, now: Monotonic) {
        *self = Self {
            listed: self.listed,
            health: std::mem::take(&mut self.health),
            ..Self::new(self.key, self.host.clone(), self.opens, now)
        };
    }

    /// Whether it may be given tasks.
    pub fn state(&self, now: Monotonic) -> WorkerState {
        let live = self.listed && self.host.state == HostState::Live;
        if !live || !self.answered || self.silent || !self.strays.is_empty() || now < self.opens {
            return WorkerState::Closed;
        }
        match (self.health.quarantined, now < self.health.probe_at) {
            (false, _) => WorkerState::Open,
            (true, false) => WorkerState::Quarantined,
            (true, true) => WorkerState::Closed,
        }
    }

    /// State in words.
    pub fn describe(&self, now: Monotonic) -> String {
        let words = match () {
            () if !self.answered => "not yet heard",
            () if self.silent => "not answering",
            () if self.host.state == HostState::Leaving => "leaving",
            () if self.host.state == HostState::Dead => "reported dead",
            () if !self.listed => "not listed",
            () if !self.strays.is_empty() => "stopping superseded runs",
            () if self.health.quarantined => "quarantined",
            () if now < self.opens => "returning",
            () => "open",
        };
        words.to_owned()
    }

    /// Instant of the worker's clock that lies `bound_ms` ahead, zero if its clock is not known.
    pub fn not_after(&self, now: Monotonic, bound_ms: Millis) -> Millis {
        self.clock
            .map_or(0, |(clock, read)| clock + now.since(read) + bound_ms)
    }
}
