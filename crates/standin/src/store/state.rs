//! Keys, locks and sessions, without I/O.

use std::collections::BTreeMap;

use verbenahitch::collections::HashMap;
use verbenahitch::domain::{Millis, Monotonic};

use super::session::Session;

/// Value, indexes and lock holder of one key.
#[derive(Clone, Debug, Default)]
pub(super) struct Kv {
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
    pub(super) lock_index: u64,
    /// Session that holds the lock.
    pub(super) session: Option<String>,
}

/// All keys and sessions of the store.
#[derive(Debug)]
pub(super) struct State {
    /// Index of the newest change.
    index: u64,
    /// Whether changes share the current index instead of advancing it.
    is_grouped: bool,
    keys: BTreeMap<String, Kv>,
    /// Index of the deletion of each deleted key, so that watches see deletions.
    deleted: BTreeMap<String, u64>,
    sessions: HashMap<String, Session>,
    /// Number of sessions created so far, from which session IDs are derived.
    created_sessions: u64,
}

/// State of a key before a transaction, for its rollback.
pub(super) struct KeySnapshot {
    key: String,
    kv: Option<Kv>,
    deleted: Option<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            index: 1,
            is_grouped: false,
            keys: BTreeMap::new(),
            deleted: BTreeMap::new(),
            sessions: HashMap::default(),
            created_sessions: 0,
        }
    }
}

impl State {
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    pub(super) fn key(&self, key: &str) -> Option<&Kv> {
        self.keys.get(key)
    }

    pub(super) fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Kv)> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Index of the newest change of a key.
    pub(super) fn key_index(&self, key: &str) -> u64 {
        let present = self.keys.get(key).map(|kv| kv.modify_index);
        let absent = || self.deleted.get(key).copied();
        present.or_else(absent).unwrap_or(1)
    }

    /// Index of the newest change under a prefix.
    pub(super) fn prefix_index(&self, prefix: &str) -> u64 {
        let present = self.with_prefix(prefix).map(|(_, kv)| kv.modify_index);
        let absent = self
            .deleted
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, index)| *index);
        present.chain(absent).max().unwrap_or(1)
    }

    pub(super) fn set(&mut self, key: &str, value: Vec<u8>) {
        let index = self.next_index();
        self.deleted.remove(key);
        let kv = self.keys.entry(key.to_owned()).or_default();
        if kv.create_index == 0 {
            kv.create_index = index;
        }
        kv.modify_index = index;
        kv.value = value;
    }

    /// Whether the newest change of `key` has `index`; zero stands for an absent key.
    pub(super) fn matches_index(&self, key: &str, index: u64) -> bool {
        self.keys.get(key).map_or(0, |kv| kv.modify_index) == index
    }

    pub(super) fn acquire(&mut self, key: &str, value: Vec<u8>, session: &str) -> bool {
        let holder = self.keys.get(key).and_then(|kv| kv.session.as_deref());
        if holder.is_some_and(|holder| holder != session) {
            return false;
        }
        let is_new_holder = holder.is_none();
        self.set(key, value);
        if let Some(kv) = self.keys.get_mut(key) {
            kv.lock_index += u64::from(is_new_holder);
            kv.session = Some(session.to_owned());
        }
        true
    }

    pub(super) fn release(&mut self, key: &str, value: Vec<u8>, session: &str) -> bool {
        if !self.is_held_by(key, session) {
            return false;
        }
        self.set(key, value);
        if let Some(kv) = self.keys.get_mut(key) {
            kv.session = None;
        }
        true
    }

    pub(super) fn is_held_by(&self, key: &str, session: &str) -> bool {
        let holder = self.keys.get(key).and_then(|kv| kv.session.as_deref());
        holder == Some(session)
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let index = self.next_index();
            self.deleted.insert(key.to_owned(), index);
        }
    }

    pub(super) fn delete_tree(&mut self, prefix: &str) {
        let keys: Vec<String> = self
            .with_prefix(prefix)
            .map(|(key, _)| key.clone())
            .collect();
        self.group(|state| {
            for key in keys {
                state.delete(&key);
            }
        });
    }

    pub(super) fn create_session(&mut self, ttl_ms: Millis, now: Monotonic) -> String {
        self.created_sessions += 1;
        let id = format!("00000000-0000-4000-8000-{:012x}", self.created_sessions);
        self.sessions.insert(id.clone(), Session::new(ttl_ms, now));
        id
    }

    pub(super) fn has_session(&self, id: &str) -> bool {
        self.sessions.contains_key(id)
    }

    pub(super) fn renew_session(&mut self, id: &str, now: Monotonic) -> bool {
        let session = self.sessions.get_mut(id);
        session.map(|session| session.renew(now)).is_some()
    }

    pub(super) fn end_session(&mut self, id: &str) {
        if self.sessions.remove(id).is_none() {
            return;
        }
        let is_held = |kv: &Kv| kv.session.as_deref() == Some(id);
        let keys = self.keys.iter().filter(|(_, kv)| is_held(kv));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        let index = self.next_index();
        for key in keys {
            if let Some(kv) = self.keys.get_mut(&key) {
                kv.session = None;
                kv.modify_index = index;
            }
        }
    }

    /// Ends the sessions that have lapsed.
    pub(super) fn expire(&mut self, now: Monotonic) {
        let lapsed = self.sessions.iter().filter(|(_, s)| s.has_lapsed(now));
        let lapsed: Vec<String> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in lapsed {
            self.end_session(&id);
        }
    }

    /// Makes several changes under one index.
    pub(super) fn group<T>(&mut self, changes: impl FnOnce(&mut Self) -> T) -> T {
        self.next_index();
        self.is_grouped = true;
        let result = changes(self);
        self.is_grouped = false;
        result
    }

    pub(super) fn snapshot(&self, key: &str) -> KeySnapshot {
        KeySnapshot {
            key: key.to_owned(),
            kv: self.keys.get(key).cloned(),
            deleted: self.deleted.get(key).copied(),
        }
    }

    pub(super) fn restore(&mut self, snapshot: KeySnapshot) {
        let KeySnapshot { key, kv, deleted } = snapshot;
        self.keys.remove(&key);
        self.deleted.remove(&key);
        if let Some(index) = deleted {
            self.deleted.insert(key.clone(), index);
        }
        if let Some(kv) = kv {
            self.keys.insert(key, kv);
        }
    }

    pub(super) fn reset_index(&mut self, index: u64) {
        self.index = index;
    }

    fn next_index(&mut self) -> u64 {
        self.index += u64::from(!self.is_grouped);
        self.index
    }
}
