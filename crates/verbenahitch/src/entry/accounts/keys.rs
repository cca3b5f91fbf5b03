//! Keys of client accounts.
//!
//! Load pattern: one look-up a request, on hosts with a small part of a core and 160 MB;
//! from a score of keys to some ten thousand. The table holds digests, never keys.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::port::{KeyDigest, KeyedAccount};

/// Largest number of withdrawn keys that are remembered, to name their account in the log.
const WITHDRAWN_MAX: usize = 1_024;

/// Account that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyHolder {
    /// The key is in force.
    Account(Arc<str>),
    /// An earlier version held the key.
    Withdrawn(Arc<str>),
    /// No version that this process has seen held the key.
    Unknown,
}

/// Digests of the keys in force, with the names of their accounts.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    keys: HashMap<KeyDigest, Arc<str>>,
    withdrawn: HashMap<KeyDigest, Arc<str>>,
}

impl KeyTable {
    /// Indexes the keys of `accounts`. Keys that only `former` holds count as withdrawn.
    pub fn new(accounts: &[KeyedAccount], former: Option<&Self>) -> Self {
        let mut table = Self::default();
        for keyed in accounts {
            let name: Arc<str> = Arc::from(keyed.account.name.as_str());
            let keys = keyed.keys.iter();
            table.keys.extend(keys.map(|key| (*key, Arc::clone(&name))));
        }
        if let Some(former) = former {
            table.remember(&former.keys);
            table.remember(&former.withdrawn);
        }
        table
    }

    fn remember(&mut self, former: &HashMap<KeyDigest, Arc<str>>) {
        for (key, name) in former {
            if self.withdrawn.len() >= WITHDRAWN_MAX {
                return;
            }
            if !self.keys.contains_key(key) {
                self.withdrawn.insert(*key, Arc::clone(name));
            }
        }
    }

    /// Account of a key.
    pub fn holder(&self, key: &KeyDigest) -> KeyHolder {
        if let Some(name) = self.keys.get(key) {
            return KeyHolder::Account(Arc::clone(name));
        }
        match self.withdrawn.get(key) {
            Some(name) => KeyHolder::Withdrawn(Arc::clone(name)),
            None => KeyHolder::Unknown,
        }
    }
}
