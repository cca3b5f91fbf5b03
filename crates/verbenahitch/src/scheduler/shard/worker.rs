//! A worker as the shard's owner sees it.

use crate::collections::HashSet;
use crate::domain::{JobKey, Millis, Monotonic, WorkerKey};
use crate::placement::WorkerState;
use crate::port::{Command, HostRecord, HostState};

/// Number of distinct jobs whose tasks must fail on a worker, without a success in between,
/// before it is quarantined.
const QUARANTINE_JOBS: usize = 3;
/// Shortest delay before the next probe.
const MIN_PROBE_DELAY_MS: Millis = 5_000;
/// Longest delay before the next probe.
const MAX_PROBE_DELAY_MS: Millis = 60_000;

/// A sync request (commands, acknowledgements and lease renewals for one worker) that was sent
/// and not yet answered.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Number of the sync.
    pub seq: u64,
    /// Commands to send again if it fails.
    pub commands: Vec<Command>,
}

/// Failures of tasks on a worker, and its quarantine if they belong to several jobs.
///
/// A quarantined worker gets single tasks as probes, with exponential backoff.
#[derive(Debug, Default)]
pub(super) struct Health {
    failed_jobs: HashSet<JobKey>,
    quarantined: bool,
    probe_at: Monotonic,
    backoff_ms: Millis,
}

impl Health {
    /// Records a failure that the worker may have caused; returns whether a quarantine began.
    pub fn record_failure(&mut self, job: JobKey, now: Monotonic) -> bool {
        self.failed_jobs.insert(job);
        if !self.quarantined && self.failed_jobs.len() < QUARANTINE_JOBS {
            return false;
        }
        let next = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = next.clamp(MIN_PROBE_DELAY_MS, MAX_PROBE_DELAY_MS);
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
    /// Key; the placer uses the same one.
    pub key: WorkerKey,
    /// Its entry in the platform's list of workers; a host record describes one worker.
    pub host: HostRecord,
    /// Whether the list still contains it.
    pub listed: bool,
    /// Entry of another machine that has taken its name in the list.
    pub successor: Option<HostRecord>,
    /// Whether the store holds its address among the workers in use.
    pub recorded: bool,
    /// Whether it has answered in this epoch of ownership.
    pub answered: bool,
    /// Whether a sync has failed since the last successful one; late ones do not count.
    pub sync_failed: bool,
    /// Sync in flight.
    pub inflight: Option<InFlight>,
    /// Commands for the next sync.
    pub commands: Vec<Command>,
    /// Ended runs to acknowledge, which the worker may then forget.
    pub acks: Vec<u64>,
    /// Reading of its clock, and when the answer with it was processed.
    pub clock: Option<(Millis, Monotonic)>,
    /// Life that its last answer named; zero while none did.
    pub life: u64,
    /// When all leases on this worker have lapsed, including an earlier owner's once it has
    /// answered; without the margin for stopping tasks.
    pub lapses_at: Monotonic,
    /// Runs that were assigned to it or that it reported.
    pub runs: HashSet<u64>,
    /// Ended runs whose end is not yet durable.
    pub uncommitted_ends: HashSet<u64>,
    /// Runs that keep the worker closed: superseded ones that have to stop, and recovered ones
    /// that the placer cannot account for.
    pub blocking_runs: HashSet<u64>,
    /// Number of runs that are being evicted.
    pub evicting: usize,
    /// Earliest time at which it is given tasks: staggered while its zone returns to service, and
    /// delayed after it refused a start.
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
            successor: None,
            recorded: false,
            answered: false,
            sync_failed: false,
            inflight: None,
            commands: Vec::new(),
            acks: Vec::new(),
            clock: None,
            life: 0,
            lapses_at: Monotonic::default(),
            runs: HashSet::default(),
            uncommitted_ends: HashSet::default(),
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
            successor: self.successor.take(),
            health: std::mem::take(&mut self.health),
            ..Self::new(self.key, self.host.clone(), self.opens_at, now)
        };
    }

    /// State for the placer: whether it may be given tasks.
    pub fn state(&self, now: Monotonic) -> WorkerState {
        let live = self.listed && self.host.state == HostState::Live;
        if !live
            || !self.answered
            || !self.recorded
            || self.sync_failed
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
        // Several cases may apply; the first one is shown.
        let words = match () {
            () if !self.answered => "not yet heard",
            () if !self.recorded => "not yet recorded",
            () if self.sync_failed => "not answering",
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
