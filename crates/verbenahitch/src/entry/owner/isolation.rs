//! Isolation of the parts of a commit that the store does not take.
//!
//! Fault pattern: the store rejects one value, such as one that is too large, and with it each
//! commit that holds it, now and later. A commit in doubt is therefore sent again in parts, each
//! alone. A part that is not taken alone is left out of the commits for a while, ever longer; the
//! others go on.

use std::collections::VecDeque;
use std::fmt;

use crate::collections::HashMap;
use crate::dispatch::JobId;
use crate::domain::{Millis, Monotonic};

/// Shortest time that a part is left out, in milliseconds.
const HOLD_MIN_MS: Millis = 500;

/// Longest time that a part is left out which the store rejects, in milliseconds.
const REJECTED_MAX_MS: Millis = 60_000;

/// Longest time that a part is left out which the store refuses for now, in milliseconds. It may
/// be the store that is at fault, so the part has to follow soon once the store takes writes again.
const REFUSED_MAX_MS: Millis = 2_000;

/// Part of a commit that others do not depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Part {
    /// Record of a job.
    Job(JobId),
    /// Record of the voters.
    Voters,
    /// Learned pressures.
    Pressures,
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(id) => id.fmt(f),
            Self::Voters => f.write_str("voters"),
            Self::Pressures => f.write_str("pressures"),
        }
    }
}

/// How a store that does not take a commit answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The same commit would be rejected again.
    Rejected,
    /// The same commit may be taken later.
    Refused,
}

impl Verdict {
    const fn hold_max_ms(self) -> Millis {
        match self {
            Self::Rejected => REJECTED_MAX_MS,
            Self::Refused => REFUSED_MAX_MS,
        }
    }
}

/// Time for which a part is left out.
#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Monotonic,
    pause_ms: Millis,
}

/// Parts that are in doubt, and those that are left out.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// Parts to be sent alone.
    suspects: VecDeque<Part>,
    /// Parts that were not taken alone, until they are.
    held: HashMap<Part, Hold>,
}

impl Isolation {
    /// Takes note of a commit of these parts that was not taken. Returns for how long a part that
    /// was alone is left out, in milliseconds.
    pub fn note_untaken(
        &mut self,
        parts: &[Part],
        verdict: Verdict,
        now: Monotonic,
    ) -> Option<Millis> {
        let [part] = parts else {
            self.suspects.extend(parts);
            return None;
        };
        let earlier_ms = self.held.get(part).map_or(0, |hold| hold.pause_ms);
        let pause_ms = (earlier_ms * 2).clamp(HOLD_MIN_MS, verdict.hold_max_ms());
        let until = now + pause_ms;
        self.held.insert(*part, Hold { until, pause_ms });
        Some(pause_ms)
    }

    /// Takes note of a part that was stored or that there is nothing left to write of.
    pub fn release(&mut self, part: Part) {
        self.held.remove(&part);
    }

    /// Whether a part is left out of commits with others.
    pub fn is_held(&self, part: Part) -> bool {
        self.held.contains_key(&part)
    }

    /// Number of parts that are left out.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Part to be sent alone next: one in doubt, or one whose time is over.
    pub fn next_single(&mut self, now: Monotonic) -> Option<Part> {
        if let Some(part) = self.suspects.pop_front() {
            return Some(part);
        }
        let mut over = self.held.iter().filter(|(_, hold)| hold.until <= now);
        over.next().map(|(part, _)| *part)
    }
}
