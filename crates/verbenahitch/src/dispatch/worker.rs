//! Workers as the dispatcher sees them: what they offer, what they were told,
//! and until when they may still be at work on it.

use slotmap::new_key_type;

use super::job::{Amount, JobId, TaskId};
use super::press::{ImageId, Relief};
use crate::collections::HashSet;
use crate::domain::{Millis, Monotonic};

new_key_type! {
    /// Key of a worker in the dispatcher's arena.
    pub struct WorkerKey;
    /// Key of a run in the dispatcher's arena.
    pub struct RunKey;
}

/// How much slower than real time a worker's clock may go.
const CLOCK_DRIFT: f64 = 0.02;

/// Added to the end of a lease before it counts as over, in milliseconds:
/// a worker stops its tasks on a timer that fires a little late.
const LAPSE_MARGIN_MS: Millis = 150;

/// What a worker says of itself in the registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerInfo {
    /// Name in the registry.
    pub name: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Address of its interface.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// What it offers.
    pub capacity: Amount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Least time until it leaves, in milliseconds, while it drains.
    pub remaining_ms: Millis,
    /// Start of its life in milliseconds since the Unix epoch, zero if unknown.
    pub born: u64,
}

/// A worker's clock, read with the last answer.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub theirs: Millis,
    /// Receipt of the answer.
    pub at: Monotonic,
}

/// An end that the worker lists until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedEnd {
    pub number: u64,
    pub job: JobId,
    pub version: u64,
}

/// One worker.
#[derive(Debug, Default)]
pub(super) struct Worker {
    pub info: WorkerInfo,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Without fillers' processors.
    pub committed: Amount,
    /// Processors of fillers in thousandths.
    pub filling: u64,
    pub runs: HashSet<RunKey>,
    pub clock: Option<ClockReading>,
    /// Latest end of the leases that it was ever sent, on its clock.
    pub lease_end: Millis,
    /// Last answered look, by the time it was sent.
    pub answered: Option<Monotonic>,
    pub look_sent: Option<Monotonic>,
    pub next_look: Monotonic,
    pub failed_looks: u32,
    /// Ends taken in and not yet acknowledged.
    pub listed_ends: Vec<ListedEnd>,
    /// Highest number of an end that was taken in.
    pub seen_end: u64,
    pub acked: u64,
    /// Failures in a row of different jobs.
    pub failures: u32,
    pub last_failure: Option<JobId>,
    /// Last run that was far slower than its peers, and its job.
    pub slow_at: Monotonic,
    pub last_slow: Option<JobId>,
    pub shunned_until: Monotonic,
    pub relief: Relief,
    /// Last time that its tails were learned from.
    pub observed: Monotonic,
}

impl Worker {
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            listed: true,
            ..Self::default()
        }
    }

    /// Whether its last answer is younger than `limit_ms`.
    pub fn answers(&self, now: Monotonic, limit_ms: Millis) -> bool {
        self.answered.is_some_and(|at| now.since(at) <= limit_ms)
    }

    /// Reads the clock off an answer.
    pub fn read_clock(&mut self, theirs: Millis, at: Monotonic) {
        self.clock = Some(ClockReading { theirs, at });
    }

    /// End of a lease of `lease_ms` from now on the worker's clock.
    pub fn lease_end(&self, now: Monotonic, lease_ms: Millis) -> Option<Millis> {
        let reading = self.clock?;
        Some(reading.theirs + now.since(reading.at) + lease_ms)
    }

    /// Instant at which everything that it was told has surely lapsed.
    pub fn lapsed_at(&self) -> Option<Monotonic> {
        let reading = self.clock?;
        let left = self.lease_end.saturating_sub(reading.theirs);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a lease is a few seconds"
        )]
        let slowest = (left as f64 / (1.0 - CLOCK_DRIFT)) as Millis;
        Some(reading.at + slowest + LAPSE_MARGIN_MS)
    }

    /// Rack, the second label.
    pub fn rack(&self) -> &str {
        self.info.labels.get(1).map_or("", String::as_str)
    }

    /// Forgets what belonged to an earlier life.
    pub fn begin_life(&mut self, born: u64) {
        self.info.born = born;
        self.clock = None;
        self.lease_end = 0;
        self.listed_ends.clear();
        self.seen_end = 0;
        self.acked = 0;
        self.failures = 0;
        self.shunned_until = Monotonic::default();
    }
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The store does not hold its assignment yet.
    Recording,
    /// The worker was told to start it and has not confirmed.
    Starting,
    /// The worker has it.
    Live,
}

/// One run of a task on a worker.
#[derive(Debug)]
pub(super) struct Run {
    pub task: TaskId,
    pub number: u32,
    pub worker: WorkerKey,
    pub amount: Amount,
    pub image: ImageId,
    /// Processors that it fills, in thousandths.
    pub filling: u64,
    /// Whether it serves until its job is cancelled.
    pub standing: bool,
    /// Target of its tail in milliseconds, zero for none.
    pub target_ms: Millis,
    pub phase: Phase,
    /// Version of the job that first shows the assignment.
    pub recorded_in: u64,
    /// When the worker confirmed its start or its stop.
    pub confirmed: Option<Monotonic>,
    /// Whether it was found by a take-over and not yet seen at its worker.
    pub inherited: bool,
    /// Whether it is to be stopped.
    pub stop: bool,
    /// When the worker confirmed the stop.
    pub stopped: Option<Monotonic>,
    /// Whether an order for it is on its way.
    pub busy: bool,
    pub retry_at: Monotonic,
    pub tries: u32,
    pub started: Monotonic,
    /// Whether it went on from a checkpoint.
    pub resumed: bool,
    pub percent: u8,
    /// When its worker listed it last.
    pub seen_at: Monotonic,
    /// When its percentage changed last.
    pub moved_at: Monotonic,
    /// Share of its processors in force, in percent.
    pub pace: u8,
    /// Share of its processors that it is to have, in percent.
    pub wanted_pace: u8,
    pub tail_ms: Millis,
}

impl Run {
    /// Whether its worker is to be told something.
    pub fn is_due(&self) -> bool {
        match (self.phase, self.stop) {
            (Phase::Recording, _) => false,
            (_, true) => self.stopped.is_none(),
            (Phase::Starting, false) => true,
            (Phase::Live, false) => self.wanted_pace != self.pace,
        }
    }
}
