//! What operators are shown of the accounts: why the work of an account waits, and its
//! share against its weight.

use super::share::dominant;
use super::{Accounts, State};
use crate::dispatch::Dispatcher;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

/// Time between two logs of the waiting accounts, in milliseconds.
const LOG_INTERVAL_MS: Millis = 5_000;

/// Waiting time from which an account is logged, in milliseconds.
const LONG_WAIT_MS: Millis = 1_000;

/// Largest number of accounts that are logged or shown at once.
const MAX_SHOWN: usize = 32;

/// What an account uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountStatus {
    /// Name.
    pub name: String,
    /// Dominant share of what it has running.
    pub share: f64,
    /// Share that it is entitled to when all is full.
    pub entitled: f64,
    /// Part of its cap that is in use, zero without a cap.
    pub cap_used: f64,
    /// Number of its waiting steps.
    pub waiting: u32,
}

impl State {
    fn status(&self) -> AccountStatus {
        let (cap, mut used) = (self.limits.cap, self.in_use.held);
        // A resource without a limit does not count.
        for (part, limit) in [
            (&mut used.cpu_milli, cap.cpu_milli),
            (&mut used.memory_mb, cap.memory_mb),
            (&mut used.gpus, cap.gpus),
        ] {
            if limit == 0 {
                *part = 0;
            }
        }
        AccountStatus {
            name: self.limits.name.clone(),
            share: self.standing.share,
            entitled: self.standing.entitled,
            cap_used: dominant(used, cap),
            waiting: self.standing.waiting,
        }
    }

    /// The first reason for which its steps wait.
    fn wait_reason(&self) -> &'static str {
        let standing = &self.standing;
        if self.is_at_cap {
            "cap"
        } else if standing.beyond_rate == standing.waiting {
            "rate"
        } else if standing.share - standing.credit > standing.entitled {
            "share"
        } else {
            "room"
        }
    }
}

impl Accounts {
    /// Logs the accounts whose work waits, those with the longest wait first, and why.
    pub(super) fn log_waiting(&mut self, now: Monotonic) {
        if now.since(self.logged_at) < LOG_INTERVAL_MS {
            return;
        }
        self.logged_at = now;
        let states = self.states.iter();
        let mut waiting: Vec<&State> = states
            .filter(|state| state.standing.waiting > 0)
            .filter(|state| state.standing.oldest_ms >= LONG_WAIT_MS)
            .collect();
        waiting.sort_by_key(|state| std::cmp::Reverse(state.standing.oldest_ms));
        for state in waiting.into_iter().take(MAX_SHOWN) {
            let standing = &state.standing;
            let status = state.status();
            Entry::new(Kind::AccountWaiting)
                .with("account", status.name)
                .with("cause", state.wait_reason())
                .with("steps", standing.waiting)
                .with("beyond-rate", standing.beyond_rate)
                .with("oldest-ms", standing.oldest_ms)
                .with("share", status.share)
                .with("entitled", status.entitled)
                .with("credit", standing.credit)
                .with("cap-used", status.cap_used)
                .emit();
        }
    }
}

impl Dispatcher {
    /// Accounts by the greatest use, a limited number.
    pub fn account_statuses(&self) -> Vec<AccountStatus> {
        if !self.accounts.is_declared() {
            return Vec::new();
        }
        let states = self.accounts.states.iter();
        let mut statuses: Vec<AccountStatus> = states.map(State::status).collect();
        statuses.sort_by(|a, b| b.share.total_cmp(&a.share));
        statuses.truncate(MAX_SHOWN);
        statuses
    }
}
