//! Client accounts: whose jobs they are, what each may have running, and its share when
//! all workers are full.
//!
//! `cap` decides whether an account has room for one more task, `ledger` counts what an
//! account has running. Accounts have small keys, which are never reused; an account that
//! is no longer declared keeps its last limits.
//!
//! A deployment whose operators declare no accounts is served as one without this module.

mod cap;
mod ledger;

use serde::{Deserialize, Serialize};

use super::job::Amount;
use crate::collections::HashMap;
use crate::domain::Monotonic;

pub use cap::{InUse, admits};
pub(super) use ledger::Claim;

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
    in_use: InUse,
}

/// All accounts that were declared or that a job names.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    keys: HashMap<String, AccountKey>,
    states: Vec<State>,
    /// Whether accounts are declared now.
    is_declared: bool,
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
