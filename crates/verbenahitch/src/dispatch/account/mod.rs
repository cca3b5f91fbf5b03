//! Client accounts: whose jobs they are, what each may have running, and its share when
//! all workers are full.
//!
//! `cap` decides whether an account has room for one more task, `ledger` counts what an
//! account has running, `rate` marks the jobs beyond an account's rate, `share` orders the
//! accounts, `status` tells operators why work waits. Accounts have small keys, which are
//! never reused; an account that is no longer declared keeps its last limits.
//!
//! A deployment whose operators declare no accounts is served as one without this module.

mod cap;
mod ledger;
mod rate;
mod share;
mod status;

use serde::{Deserialize, Serialize};

use super::job::{Amount, JobId};
use crate::collections::HashMap;
use crate::domain::{Bucket, Millis, Monotonic};

pub use cap::{InUse, admits};
pub(super) use ledger::Claim;
pub use share::ShareRank;
use share::Standing;
pub use status::AccountStatus;

/// Limits of a client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Account {
    /// Name.
    pub name: String,
    /// Share relative to the other accounts when all workers are full; also the number of
    /// jobs a second up to which its jobs precede those beyond.
    pub weight: f64,
    /// Maximum of what it may have running on all workers; zero is no limit.
    pub cap: Amount,
}

/// Key of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AccountKey(u32);

/// What is known of an account.
#[derive(Debug, Default)]
struct State {
    limits: Account,
    /// Whether its limits have been declared.
    is_known: bool,
    /// When it was last logged to be at its cap.
    cap_logged: Option<Monotonic>,
    /// Whether it met its cap in the last pass.
    is_at_cap: bool,
    in_use: InUse,
    bucket: Bucket,
    standing: Standing,
}

/// All accounts that were declared or that a job names.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    keys: HashMap<String, AccountKey>,
    states: Vec<State>,
    /// Whether accounts are declared now.
    is_declared: bool,
    /// Jobs whose rate is yet to be judged, by the time of acceptance.
    unrated: Vec<(Millis, JobId)>,
    /// Whether steps found no place in the last pass.
    is_full: bool,
    /// When the entitlements were last computed.
    weighed_at: Monotonic,
    /// When the waiting accounts were last logged.
    logged_at: Monotonic,
}

impl Accounts {
    /// Sets the accounts in force.
    pub fn declare(&mut self, accounts: &[Account]) {
        self.is_declared = !accounts.is_empty();
        for account in accounts {
            let key = self.key(&account.name);
            let state = self.state_mut(key);
            state.limits.clone_from(account);
            state.is_known = true;
        }
    }

    /// Whether accounts are declared now.
    pub fn is_declared(&self) -> bool {
        self.is_declared
    }

    /// Key of the account of that name.
    pub fn key(&mut self, name: &str) -> AccountKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let number = u32::try_from(self.states.len()).unwrap_or(u32::MAX);
        let key = AccountKey(number);
        self.states.push(State {
            limits: Account {
                name: name.to_owned(),
                weight: 1.0,
                cap: Amount::default(),
            },
            ..State::default()
        });
        self.keys.insert(name.to_owned(), key);
        key
    }

    fn state(&self, key: AccountKey) -> &State {
        &self.states[key.0 as usize]
    }

    fn state_mut(&mut self, key: AccountKey) -> &mut State {
        &mut self.states[key.0 as usize]
    }
}
