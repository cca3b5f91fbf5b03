//! A worker as the shard's owner sees it.

use crate::collections::HashSet;
use crate::domain::{JobKey, Millis, Monotonic, WorkerKey};
use crate::placement::WorkerState;
use crate::port::{Command, HostRecord, HostState};

/// Number of jobs that have to fail on a worker before it is quarantined.
const QUARANTINE_JOBS: usize = 3;
const MIN_PROBE_MS: Millis = 5_000;
const MAX_PROBE_MS: Millis = 60_000;

/// A sync that was sent and not yet answered.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Number of the sync.
    pub seq: u64,
    /// When it was sent.
    pub sent: Monotonic,
    /// Commands to send again if it fails.
    pub commands: Vec<Command>,
}

/// Quarantine of a worker on which tasks of several jobs fail.
///
/// A quarantined worker gets single tasks as probes, with exponential backoff.
#[derive(Debug, Default)]
pub(super) struct Health {
    failed: HashSet<JobKey>,
    quarantined: bool,
    probe_at: Monotonic,
    backoff_ms: Millis,
}

impl Health {
    /// Records a failure that the worker may have caused; returns whether a quarantine began.
    pub fn record_failure(&mut self, job: JobKey, now: Monotonic) -> bool {
        self.failed.insert(job);
        if !self.quarantined && self.failed.len() < QUARANTINE_JOBS {
            return false;
        }
        let next = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = next.clamp(MIN_PROBE_MS, MAX_PROBE_MS);
        self.probe_at = now + self.backoff_ms;
        !std::mem::replace(&mut self.quarantined, true)
    }

    /// Records a success; returns whether this ended a quarantine.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(self).quarantined
    }
}

/// A worker and the state that the shard's owner keeps about it.
#[derive(Debug)]
pub(super) struct Worker {
    /// Key, also in the placer.
    pub key: WorkerKey,
    /// Its entry in the platform's list of workers.
    pub host: HostRecord,
    /// Whether the list still contains it.
    pub listed: bool,
    /// Whether it has answered in this epoch.
    pub answered: bool,
    /// Whether its last sync failed.
    pub silent: bool,
    /// Sync in flight.
    pub inflight: Option<InFlight>,
    /// Commands for the next sync.
    pub commands: Vec<Command>,
    /// Ended runs to acknowledge, which the worker may then forget.
    pub acks: Vec<u64>,
    /// Reading of its clock, and when the answer with it was processed.
    pub clock: Option<(Millis, Monotonic)>,
    /// When all leases that this owner renewed there have lapsed.
    pub lapses_at: Monotonic,
    /// Runs that were assigned to it or that it reported.
    pub runs: HashSet<u64>,
    /// Ended runs whose commit is not yet durable.
    pub ending: HashSet<u64>,
    /// Runs that keep the worker closed: superseded ones that have to stop, and adopted ones that
    /// the placer cannot account for.
    pub blocking_runs: HashSet<u64>,
    /// Number of runs that are being evicted.
    pub evicting: usize,
    /// When it may first be given tasks, while its zone returns to service or after a refusal.
    pub opens_at: Monotonic,
    /// Quarantine state.
    pub health: Health,
    /// State last passed to the placer.
    pub placer_state: WorkerState,
    /// Time of its next sync, or of the timeout of the one in flight.
    pub due: Monotonic,
}

impl Worker {
    /// Creates a worker that has not answered yet.
    pub fn new(key: WorkerKey, host: HostRecord, opens_at: Monotonic, now: Monotonic) -> Self {
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
            lapses_at: Monotonic::default(),
            runs: HashSet::default(),
            ending: HashSet::default(),
            blocking_runs: HashSet::default(),
            evicting: 0,
            opens_at,
            health: Health::default(),
            placer_state: WorkerState::Closed,
            due: now,
        }
    }

    /// Resets the state that is valid in one epoch only.
    pub fn reset(&mut self, now: Monotonic) {
        *self = Self {
            listed: self.listed,
            health: std::mem::take(&mut self.health),
            ..Self::new(self.key, self.host.clone(), self.opens_at, now)
        };
    }

    /// State for the placer: whether it may be given tasks.
    pub fn state(&self, now: Monotonic) -> WorkerState {
        let live = self.listed && self.host.state == HostState::Live;
        if !live
            || !self.answered
            || self.silent
            || !self.blocking_runs.is_empty()
            || now < self.opens_at
        {
            return WorkerState::Closed;
        }
        match (self.health.quarantined, now < self.health.probe_at) {
            (false, _) => WorkerState::Open,
            (true, false) => WorkerState::Quarantined,
            (true, true) => WorkerState::Closed,
        }
    }

    /// State as text.
    pub fn describe(&self, now: Monotonic) -> String {
        let words = match () {
            () if !self.answered => "not yet heard",
            () if self.silent => "not answering",
            () if self.host.state == HostState::Leaving => "leaving",
            () if self.host.state == HostState::Dead => "reported dead",
            () if !self.listed => "not listed",
            () if !self.blocking_runs.is_empty() => "stopping superseded runs",
            () if self.health.quarantined => "quarantined",
            () if now < self.opens_at => "returning",
            () => "open",
        };
        words.to_owned()
    }

    /// Time on the worker's clock `ttl_ms` from now; zero if its clock is not known.
    pub fn not_after(&self, now: Monotonic, ttl_ms: Millis) -> Millis {
        self.clock
            .map_or(0, |(clock, read)| clock + now.since(read) + ttl_ms)
    }
}
