//! Decisions on who owns the dispatching and when the ownership moves.
//!
//! Load pattern: hosts whose shares of a core differ by a factor of seven start within
//! a few hundred milliseconds, in any order, so that the first to reach the store may
//! be one that cannot dispatch for the whole deployment. An owner that has enough CPU
//! may also be slowed down later. A host that can carry more then asks for the
//! ownership, and the owner hands it over in one transaction, without a vacancy.
//!
//! Inputs: shares, fixed while a process runs; the owner's mean lag over about a second,
//! known to other hosts by whether it counts as slow.

use crate::domain::Millis;

/// Longest delay of a candidate by its share before it tries to become owner, in
/// milliseconds. Exceeds the differences by which hosts learn of a vacancy.
const RANK_WAIT_MS: f64 = 160.0;

/// Delay of a candidate that could not read the stored state, in milliseconds. Longer than
/// any other delay, so that all other candidates come first.
const STEP_BACK_MS: Millis = 320;

/// How often that delay doubles at most.
const STEP_BACK_DOUBLINGS: u32 = 2;

/// Multiple of the owner's share from which a host asks for the ownership. A hand-over
/// costs about as much as a tenth of a second without dispatching.
const SHARE_RATIO: f64 = 1.5;

/// Largest share that a settings file may sensibly name, in cores.
const SHARE_MAX: f64 = 64.0;

/// Mean lag from which a host counts as slow, in milliseconds: most of what the shortest
/// objective leaves beyond the run time.
const SLOW_LAG_MS: f64 = 150.0;

/// Mean lag below which a slow host counts as recovered, in milliseconds.
const RECOVERED_LAG_MS: f64 = 50.0;

/// Weight of one probe in the mean lag; the mean covers about ten probes.
const LAG_WEIGHT: f64 = 0.1;

/// Shortest ownership before a hand-over for a larger share, in milliseconds. Bounds
/// how often the ownership moves while hosts start one after the other.
const SHARE_TERM_MS: Millis = 1_000;

/// Shortest ownership before a hand-over for lag, in milliseconds. A new owner lags
/// while it loads the stored state.
const LAG_TERM_MS: Millis = 5_000;

/// What a host can carry as owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capability {
    /// Share of a core; zero for an owner of a version that does not report it.
    pub share: f64,
    /// Whether its event loop runs late.
    pub slow: bool,
}

impl Capability {
    /// Share for comparisons. An impossible share counts as the smallest, so that such a
    /// host owns only while no other does.
    fn rank(self) -> f64 {
        if self.share.is_finite() && (0.0..=SHARE_MAX).contains(&self.share) {
            self.share
        } else {
            0.0
        }
    }

    /// Whether a host with `self` should ask the host with `owner` for the ownership.
    pub fn should_succeed(self, owner: Self) -> bool {
        if self.slow {
            return false;
        }
        if owner.slow {
            return self.rank() >= owner.rank();
        }
        self.rank() > owner.rank() * SHARE_RATIO
    }

    /// Whether an owner with `self`, owner for `term_ms`, hands over to a host with
    /// `successor`.
    pub fn yields_to(self, successor: Self, term_ms: Millis) -> bool {
        let least_ms = if self.slow {
            LAG_TERM_MS
        } else {
            SHARE_TERM_MS
        };
        term_ms >= least_ms && successor.should_succeed(self)
    }

    /// Delay before a candidate tries to become owner, in milliseconds. `largest` is the
    /// largest share of an earlier owner, zero if none is known; it decides who tries
    /// first.
    pub fn rank_wait(self, largest: f64) -> Millis {
        let known = Self {
            share: largest,
            slow: false,
        };
        let most = if known.rank() > 0.0 {
            known.rank()
        } else {
            1.0
        };
        let missing = 1.0 - (self.rank() / most).min(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the wait is between zero and RANK_WAIT_MS"
        )]
        let wait = (missing * RANK_WAIT_MS) as Millis;
        wait
    }
}

/// Additional delay of a candidate that could not read the stored state in its last `unread`
/// terms, in milliseconds. Elected again at once, it would keep out a host that can.
pub fn step_back_ms(unread: u32) -> Millis {
    match unread {
        0 => 0,
        _ => STEP_BACK_MS << (unread - 1).min(STEP_BACK_DOUBLINGS),
    }
}

/// Record of a planned end of an ownership, as a later owner finds it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedEnd {
    /// Revision of the end.
    pub revision: u64,
    /// Whether the ownership was handed over, so that the next one began at that revision.
    pub handed_over: bool,
    /// First election after the end, by its revision, as far as the store's history tells.
    pub next: Option<u64>,
}

impl PlannedEnd {
    /// Whether no other owner came between the end and the owner with the token `fence`.
    pub fn is_last_before(self, fence: u64) -> bool {
        if self.handed_over {
            self.revision == fence
        } else {
            self.next == Some(fence)
        }
    }
}

/// Mean lag of an event loop over the last probes, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMeter {
    mean_ms: f64,
    slow: bool,
}

impl LagMeter {
    /// Records that a probe was handled `lag_ms` late; returns whether the loop counts as
    /// slow.
    pub fn record(&mut self, lag_ms: Millis) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a few seconds")]
        let lag_ms = lag_ms as f64;
        self.mean_ms += (lag_ms - self.mean_ms) * LAG_WEIGHT;
        let limit = if self.slow {
            RECOVERED_LAG_MS
        } else {
            SLOW_LAG_MS
        };
        self.slow = self.mean_ms >= limit;
        self.slow
    }

    /// Mean lag in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
