//! State that the dispatcher keeps of workers and runs: capacity, commitments, the
//! leases that a worker was given, and when these have lapsed at the latest.
//!
//! A worker may restart under its name. What belongs to one incarnation is kept in its
//! [`Session`] and ends with it.

use std::sync::Arc;

use serde::Serialize;
use slotmap::new_key_type;

use super::Claim;
use super::headroom::{ImageKey, Level};
use super::interference::MitigationState;
use super::job::{Amount, JobId, TaskId};
use super::mitigation::PastFiller;
use super::orders::USABLE_AGE_MS;
use super::quorum::LapseBound;
use super::report::CallFailure;
use crate::collections::HashSet;
use crate::domain::{Millis, Monotonic};

new_key_type! {
    /// Key of a worker in the dispatcher's arena.
    pub struct WorkerKey;
    /// Key of a run in the dispatcher's arena.
    pub struct RunKey;
}

/// Fraction by which a worker's clock may run slower than real time.
const CLOCK_DRIFT: f64 = 0.02;

/// Time that is added to the end of a lease before it counts as lapsed, in
/// milliseconds: the timer by which a worker stops its tasks fires a little late.
const LAPSE_MARGIN_MS: Millis = 150;

/// How long a start that was not answered may still be carried out, in milliseconds. The
/// worker API says seconds, without a limit.
pub(super) const LATE_START_MS: Millis = 15_000;

/// Number of failed polls in a row after which a worker without a registry entry counts as
/// vanished.
const VANISHED_POLLS: u32 = 2;

/// Registry entry of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerInfo {
    /// Name in the registry.
    pub name: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Address at which it takes calls.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Kind of the worker, then its rack.
    pub labels: Vec<String>,
    /// Resources that it offers.
    pub capacity: Amount,
    /// Whether it drains, to leave soon.
    pub draining: bool,
    /// Minimum time until it leaves, in milliseconds, while it drains.
    pub remaining_ms: Millis,
    /// Start of the incarnation that wrote the entry, in milliseconds since the Unix epoch,
    /// zero if unknown. A later one may answer already.
    pub incarnation: u64,
}

/// What the registry says of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Listing {
    /// Nothing yet; records name the worker.
    #[default]
    Unknown,
    /// It has an entry.
    Listed,
    /// It has an entry that cannot be read. The last one that could holds for its runs.
    Unreadable,
    /// Its entry vanished at this time.
    Missing(Monotonic),
}

/// Reading of a worker's clock, from its last answer.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub clock_ms: Millis,
    /// When the answer arrived.
    pub at: Monotonic,
}

/// End that the worker lists until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnackedEnd {
    pub sequence: u64,
    pub job: JobId,
    /// Version of the job that reflects the end.
    pub version: u64,
}

/// What is known of one incarnation of a worker. Only its lists tell which incarnation
/// they come from; the registry may be behind, and answers to orders do not say.
#[derive(Debug)]
pub(super) struct Session {
    /// Start of the incarnation in milliseconds since the Unix epoch, zero if unknown.
    pub incarnation: u64,
    /// Arrival of its first list.
    pub began_at: Monotonic,
    /// Address that its last list came from.
    pub address: Arc<str>,
    pub clock: ClockReading,
    /// Latest end of a lease that it may have been given, on its clock.
    pub lease_end: Millis,
    /// Whether its last list contained ends.
    pub lists_ends: bool,
    /// Ends that were applied and are not yet acknowledged.
    pub unacked_ends: Vec<UnackedEnd>,
    /// Highest sequence number of an end that was applied.
    pub last_end: u64,
    /// Highest sequence number of an end that may be acknowledged.
    pub acked: u64,
}

/// Ended run of which a start was not answered. Its incarnation of the worker refuses the
/// start from then on; the next one does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateStart {
    pub task: TaskId,
    pub run: u32,
    /// What it takes from its account if it is carried out.
    claim: Option<Claim>,
    /// When the run ended.
    at: Monotonic,
}

impl Session {
    /// Begins a session in which leases of up to `lease_ms` may have been given before.
    fn new(incarnation: u64, clock: ClockReading, lease_ms: Millis) -> Self {
        Self {
            incarnation,
            began_at: clock.at,
            address: Arc::from(""),
            clock,
            lease_end: clock.clock_ms.saturating_add(lease_ms),
            lists_ends: false,
            unacked_ends: Vec::new(),
            last_end: 0,
            acked: 0,
        }
    }

    /// Gives a lease that begins now; returns its end on the worker's clock. An incarnation that is
    /// not known may take it for `longest_ms`.
    pub fn give_lease(&mut self, now: Monotonic, lease_ms: Millis, longest_ms: Millis) -> Millis {
        let begin = self.clock_ms(now);
        self.lease_end = self.lease_end.max(begin.saturating_add(longest_ms));
        begin.saturating_add(lease_ms)
    }

    /// Rest of the longest lease given, in milliseconds.
    pub fn lease_left(&self, now: Monotonic) -> Millis {
        self.lease_end.saturating_sub(self.clock_ms(now))
    }

    /// The worker's clock, by its last reading.
    fn clock_ms(&self, now: Monotonic) -> Millis {
        let elapsed = now.since(self.clock.at);
        self.clock.clock_ms.saturating_add(elapsed)
    }

    /// Whether it was given no lease longer than one of `lease_ms` from its last list on.
    pub fn is_bounded(&self, lease_ms: Millis) -> bool {
        self.lease_end <= self.clock.clock_ms.saturating_add(lease_ms)
    }

    /// When all leases that it may have been given have lapsed, even on the slowest clock
    /// allowed for.
    pub fn lapsed_at(&self) -> Monotonic {
        let left = self.lease_end.saturating_sub(self.clock.clock_ms);
        self.clock.at + on_slowest_clock(left) + LAPSE_MARGIN_MS
    }
}

/// Longest time for which a lease of `lease_ms` may last that another owner gave, by a reading of
/// the worker's clock that was up to [`USABLE_AGE_MS`] old.
pub(super) fn lapse_ms(lease_ms: Millis) -> Millis {
    let drift_ms = on_slowest_clock(USABLE_AGE_MS) - USABLE_AGE_MS;
    on_slowest_clock(lease_ms.saturating_add(drift_ms)).saturating_add(LAPSE_MARGIN_MS)
}

/// Longest real time in which a clock advances by `millis`.
pub(super) fn on_slowest_clock(millis: Millis) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a lease is a few seconds"
    )]
    let slowest = (millis as f64 / (1.0 - CLOCK_DRIFT)).ceil() as Millis;
    slowest
}

/// State of a worker.
#[derive(Debug, Default)]
pub(super) struct Worker {
    pub info: WorkerInfo,
    /// Its present incarnation, none before its first list.
    pub session: Option<Session>,
    pub listing: Listing,
    /// Resources of its runs, without the CPU of fillers.
    pub committed: Amount,
    /// CPU of its fillers in thousandths of a core.
    pub filler_milli: u64,
    /// CPU of its short runs in thousandths of a core.
    pub short_milli: u64,
    /// Number of its standing runs, and the CPU that these commit.
    pub standing: usize,
    pub standing_milli: u64,
    pub runs: HashSet<RunKey>,
    /// Number of its runs whose resources are not known, as of jobs that have ended.
    pub unsized_runs: u32,
    /// When the last answered poll was sent.
    pub answered_at: Option<Monotonic>,
    /// When the poll in progress was sent.
    pub poll_sent: Option<Monotonic>,
    /// Address that the last poll was sent to.
    pub poll_address: String,
    pub next_poll: Monotonic,
    /// Failed polls in a row.
    pub failed_polls: u32,
    /// Whether its last lists had rows that cannot be read.
    pub lists_unread: bool,
    /// What bounded its leases when that was last logged, while it is silent.
    pub logged_bound: Option<LapseBound>,
    /// When a call last failed in a way that a restart would explain.
    pub failed_at: Option<Monotonic>,
    /// Starts that the next incarnation may still carry out.
    late_starts: Vec<LateStart>,
    /// Tasks of runs whose leases have lapsed since it last answered.
    pub lapsed_tasks: Vec<TaskId>,
    /// Whether it was neither heard nor listed past its leases, and its open runs are suspected.
    pub has_vanished: bool,
    /// When it last ceased to answer, or was found restarted.
    pub lost_at: Option<Monotonic>,
    /// Whether its present incarnation has said that it drains.
    pub has_drained: bool,
    /// Failures in a row, without repeated ones of the same job.
    pub failures: u32,
    pub failed_job: Option<JobId>,
    /// When a run on it was last found to be far slower than its peers, and its job.
    pub slow_at: Monotonic,
    pub slow_job: Option<JobId>,
    pub quarantined_until: Monotonic,
    pub mitigation: MitigationState,
    /// When pressures were last learned from its tails.
    pub observed_at: Monotonic,
    /// Fillers that have ended within the time that a tail covers.
    pub past_fillers: Vec<PastFiller>,
}

impl Worker {
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            has_drained: info.draining,
            info,
            listing: Listing::Listed,
            ..Self::default()
        }
    }

    /// Resources that are not committed; none while it is over its room.
    pub fn free(&self) -> Amount {
        if self.is_over() {
            return Amount::default();
        }
        self.info.capacity.less(self.committed)
    }

    /// Whether its runs need more than it has, as after its room has shrunk, or an amount that
    /// is not known.
    pub fn is_over(&self) -> bool {
        self.unsized_runs > 0 || !self.committed.fits(self.info.capacity)
    }

    /// Whether it has answered a poll that was sent at most `limit_ms` ago.
    pub fn answered_within(&self, now: Monotonic, limit_ms: Millis) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) <= limit_ms)
    }

    /// Whether a list has arrived after `at`.
    pub fn has_listed_since(&self, at: Monotonic) -> bool {
        let session = self.session.as_ref();
        session.is_some_and(|session| session.clock.at > at)
    }

    /// Records the result of an order.
    pub fn order_answered(&mut self, result: &Result<(), CallFailure>, now: Monotonic) {
        if result.as_ref().is_err_and(CallFailure::allows_restart) {
            self.failed_at = Some(now);
            // Leases and starts wait for its next list.
            self.next_poll = self.next_poll.min(now);
        }
    }

    /// Records the end of a run.
    pub fn run_ended(&mut self, run: &Run, now: Monotonic) {
        if !run.may_start_late() {
            return;
        }
        self.late_starts
            .retain(|start| now.since(start.at) <= LATE_START_MS);
        self.late_starts.push(LateStart {
            task: run.task,
            run: run.number,
            claim: run.claim,
            at: now,
        });
    }

    /// Starts that a new incarnation may still carry out.
    pub fn take_late_starts(&mut self, now: Monotonic) -> Vec<LateStart> {
        let mut starts = std::mem::take(&mut self.late_starts);
        starts.retain(|start| now.since(start.at) <= LATE_START_MS);
        starts
    }

    /// Whether it has no entry in the registry that can be read and does not answer either.
    pub fn is_vanished(&self) -> bool {
        self.listing != Listing::Listed && self.failed_polls >= VANISHED_POLLS
    }

    /// Address at which its present incarnation takes calls, empty if unknown.
    pub fn home(&self) -> Arc<str> {
        let session = self.session.as_ref();
        session.map_or_else(|| Arc::from(""), |session| Arc::clone(&session.address))
    }

    /// What starts that a new incarnation may still carry out take from their accounts.
    pub fn late_claims(&self, now: Monotonic) -> impl Iterator<Item = Claim> {
        let starts = self.late_starts.iter();
        let recent = starts.filter(move |start| now.since(start.at) <= LATE_START_MS);
        recent.filter_map(|start| start.claim)
    }

    /// Whether it may have restarted since it was asked for its last list. Leases are
    /// avoided then: its clock may be behind, and it would take one for the longest that it allows.
    pub fn may_have_restarted(&self) -> bool {
        self.failed_at >= self.answered_at
    }

    /// Incarnation that its last list came from, zero if unknown.
    pub fn incarnation(&self) -> u64 {
        self.session
            .as_ref()
            .map_or(0, |session| session.incarnation)
    }

    /// Whether its entry is not known to be of another incarnation than its last list. The next
    /// incarnation may be of another kind.
    pub fn is_described(&self) -> bool {
        !self.is_other(self.info.incarnation)
    }

    /// Whether a list comes from another incarnation than the session in progress. An
    /// incarnation of zero is not known to be another one.
    pub fn is_other(&self, incarnation: u64) -> bool {
        let known = self.incarnation();
        incarnation != 0 && known != 0 && incarnation != known
    }

    /// Applies the incarnation and the clock of a list. A new session begins if none is in
    /// progress or the list comes from another incarnation; `lease_ms` is the longest lease
    /// that was given before it.
    pub fn update_session(&mut self, incarnation: u64, clock: ClockReading, lease_ms: Millis) {
        if self.is_other(incarnation) {
            self.session = None;
            self.failures = 0;
            self.quarantined_until = Monotonic::default();
        }
        let session = self
            .session
            .get_or_insert_with(|| Session::new(incarnation, clock, lease_ms));
        session.clock = clock;
        session.incarnation = session.incarnation.max(incarnation);
        if *session.address != *self.poll_address {
            session.address = Arc::from(self.poll_address.as_str());
        }
    }

    /// Rack, the second label.
    pub fn rack(&self) -> &str {
        self.info.labels.get(1).map_or("", String::as_str)
    }
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The store does not hold its assignment yet.
    Recording,
    /// The store holds its assignment; the worker has not confirmed the start.
    Starting,
    /// The worker has confirmed the start, or an earlier owner recorded the run.
    Live,
}

/// What is known of the begin of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Begin {
    /// The store does not hold its assignment, so that its start was not ordered.
    Recording,
    /// Its start was never ordered.
    NotOrdered,
    /// Each start order was refused, or never left this host.
    Refused,
    /// Its start order has not been answered yet.
    InFlight,
    /// A start order got no answer.
    Unanswered,
    /// The worker confirmed its start or listed it.
    Confirmed,
    /// An earlier owner recorded that it may have begun, and no list has shown it since.
    Inherited,
    /// An earlier owner recorded it, but not that it may have begun, and no list has shown it since.
    Unknown,
}

impl Begin {
    /// Whether the run may have begun.
    pub fn is_possible(self) -> bool {
        match self {
            Self::Recording | Self::NotOrdered | Self::Refused => false,
            Self::InFlight
            | Self::Unanswered
            | Self::Confirmed
            | Self::Inherited
            | Self::Unknown => true,
        }
    }

    /// Whether its start is known to have been ordered, and it may have begun.
    pub fn is_ordered(self) -> bool {
        self != Self::Unknown && self.is_possible()
    }
}

/// State of a run of a task on a worker.
#[derive(Debug)]
pub(super) struct Run {
    pub task: TaskId,
    pub number: u32,
    pub worker: WorkerKey,
    pub amount: Amount,
    /// What it takes from its account.
    pub claim: Option<Claim>,
    /// Whether its resources are not known.
    pub is_unsized: bool,
    pub image: ImageKey,
    /// CPU of a filler in thousandths of a core, zero for other tasks.
    pub filler_milli: u64,
    /// CPU of a short step's run in thousandths of a core, zero for other tasks.
    pub short_milli: u64,
    /// Whether it runs until its job is cancelled.
    pub standing: bool,
    /// Target of its tail latency in milliseconds, zero for none.
    pub target_ms: Millis,
    pub phase: Phase,
    /// First version of the job that includes the assignment.
    pub recorded_in: u64,
    /// When the worker first confirmed its start or its stop, or listed it.
    pub confirmed_at: Option<Monotonic>,
    /// Whether it comes from an earlier owner's record and no poll has listed it yet.
    pub inherited: bool,
    /// Whether that owner recorded that it may have begun.
    pub is_marked: bool,
    /// Whether it is to be stopped.
    pub stop_wanted: bool,
    /// When the worker confirmed the stop.
    pub stopped_at: Option<Monotonic>,
    /// Whether an order for it has not been answered yet.
    pub in_flight: bool,
    pub retry_at: Monotonic,
    /// When it was placed, or this owner learned of it.
    pub placed_at: Monotonic,
    /// Number of start orders sent.
    pub tries: u32,
    /// Whether a start order got no answer.
    pub unanswered: bool,
    /// When a start order last got no answer.
    pub unanswered_at: Monotonic,
    /// Whether lists have shown it for long enough to be sound.
    pub has_settled: bool,
    /// Whether its worker crashed before a start was answered.
    pub is_crashed: bool,
    /// Incarnation of the worker that its start was last meant for or that last listed it,
    /// zero if unknown.
    pub incarnation: u64,
    /// Address at which that incarnation takes calls, empty if unknown.
    pub home: Arc<str>,
    /// Whether that incarnation has listed it and holds no longer leases than owners give.
    pub bounded: bool,
    pub started_at: Monotonic,
    /// Whether the time since `started_at` is not that of all its work: it resumed from a
    /// checkpoint, or an earlier owner recorded it.
    pub resumed: bool,
    /// Reported progress in percent; 100 for a standing task that serves.
    pub progress: u8,
    /// When a poll last listed it.
    pub seen_at: Monotonic,
    /// When its progress or its pace last changed.
    pub progressed_at: Monotonic,
    /// Percentage of its CPU that it may use, as the worker has confirmed.
    pub pace: u8,
    /// Percentage of its CPU that it is to be given.
    pub wanted_pace: u8,
    /// Whether it was placed although standing tasks may need what it takes. It is throttled and
    /// not moved.
    pub is_owed: bool,
    /// Last reported tail latency in milliseconds.
    pub tail_ms: Millis,
    /// Headroom without fillers, for a standing task with a target.
    pub level: Level,
    /// Whether `level` comes from a report.
    pub level_known: bool,
}

impl Run {
    /// What is known of its begin. The confirmation of a stop alone tells nothing of it.
    pub fn begin(&self) -> Begin {
        let is_open = self.unanswered && self.confirmed_at.is_none();
        match self.phase {
            _ if self.inherited && self.is_marked => Begin::Inherited,
            _ if self.inherited => Begin::Unknown,
            Phase::Live if !is_open => Begin::Confirmed,
            _ if self.unanswered => Begin::Unanswered,
            Phase::Starting if self.in_flight => Begin::InFlight,
            Phase::Recording => Begin::Recording,
            _ if self.tries == 0 => Begin::NotOrdered,
            Phase::Starting | Phase::Live => Begin::Refused,
        }
    }

    /// Whether a start order may still be carried out.
    pub fn may_start_late(&self) -> bool {
        self.unanswered || (self.phase == Phase::Starting && self.in_flight)
    }

    /// Whether an order to its worker is needed.
    pub fn is_due(&self) -> bool {
        match (self.phase, self.stop_wanted) {
            (Phase::Recording, _) => false,
            (_, true) => self.stopped_at.is_none(),
            (Phase::Starting, false) => true,
            (Phase::Live, false) => self.wanted_pace != self.pace,
        }
    }
}
