//! Keys, locks and sessions, without I/O.

use std::collections::BTreeMap;

use verbenahitch::collections::HashMap;
use verbenahitch::domain::{Millis, Monotonic};

use super::session::Session;

/// One key.
#[derive(Clone, Debug, Default)]
pub(super) struct Kv {
    pub(super) value: Vec<u8>,
    pub(super) create: u64,
    pub(super) modify: u64,
    pub(super) lock: u64,
    pub(super) session: Option<String>,
}

/// Everything that the store holds.
#[derive(Debug)]
pub(super) struct State {
    index: u64,
    /// Whether further changes belong to the one that brought the index.
    joined: bool,
    keys: BTreeMap<String, Kv>,
    /// Index of the deletion of each deleted key, so that watches see deletions.
    deleted: BTreeMap<String, u64>,
    sessions: HashMap<String, Session>,
    created: u64,
}

/// What a key was before a transaction touched it.
pub(super) struct Saved {
    key: String,
    kv: Option<Kv>,
    deleted: Option<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            index: 1,
            joined: false,
            keys: BTreeMap::new(),
            deleted: BTreeMap::new(),
            sessions: HashMap::default(),
            created: 0,
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

    pub(super) fn under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Kv)> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Index of the newest change of a key.
    pub(super) fn key_index(&self, key: &str) -> u64 {
        let present = self.keys.get(key).map(|kv| kv.modify);
        let absent = || self.deleted.get(key).copied();
        present.or_else(absent).unwrap_or(1)
    }

    /// Index of the newest change under a prefix.
    pub(super) fn prefix_index(&self, prefix: &str) -> u64 {
        let present = self.under(prefix).map(|(_, kv)| kv.modify);
        let absent = self
            .deleted
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, index)| *index);
        present.chain(absent).max().unwrap_or(1)
    }

    pub(super) fn set(&mut self, key: &str, value: Vec<u8>) {
        let index = self.next();
        self.deleted.remove(key);
        let kv = self.keys.entry(key.to_owned()).or_default();
        if kv.create == 0 {
            kv.create = index;
        }
        kv.modify = index;
        kv.value = value;
    }

    /// Whether the newest change of `key` is `index`; zero stands for an absent key.
    pub(super) fn is_at(&self, key: &str, index: u64) -> bool {
        self.keys.get(key).map_or(0, |kv| kv.modify) == index
    }

    pub(super) fn acquire(&mut self, key: &str, value: Vec<u8>, session: &str) -> bool {
        let holder = self.keys.get(key).and_then(|kv| kv.session.as_deref());
        if holder.is_some_and(|holder| holder != session) {
            return false;
        }
        let fresh = holder.is_none();
        self.set(key, value);
        if let Some(kv) = self.keys.get_mut(key) {
            kv.lock += u64::from(fresh);
            kv.session = Some(session.to_owned());
        }
        true
    }

    pub(super) fn release(&mut self, key: &str, value: Vec<u8>, session: &str) -> bool {
        if !self.is_held(key, session) {
            return false;
        }
        self.set(key, value);
        if let Some(kv) = self.keys.get_mut(key) {
            kv.session = None;
        }
        true
    }

    pub(super) fn is_held(&self, key: &str, session: &str) -> bool {
        let holder = self.keys.get(key).and_then(|kv| kv.session.as_deref());
        holder == Some(session)
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let index = self.next();
            self.deleted.insert(key.to_owned(), index);
        }
    }

    pub(super) fn delete_tree(&mut self, prefix: &str) {
        let keys: Vec<String> = self.under(prefix).map(|(key, _)| key.clone()).collect();
        self.join(|state| {
            for key in keys {
                state.delete(&key);
            }
        });
    }

    pub(super) fn create_session(&mut self, ttl_ms: Millis, now: Monotonic) -> String {
        self.created += 1;
        let id = format!("00000000-0000-4000-8000-{:012x}", self.created);
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
        let held = |kv: &Kv| kv.session.as_deref() == Some(id);
        let keys = self.keys.iter().filter(|(_, kv)| held(kv));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        let index = self.next();
        for key in keys {
            if let Some(kv) = self.keys.get_mut(&key) {
                kv.session = None;
                kv.modify = index;
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
    pub(super) fn join<T>(&mut self, changes: impl FnOnce(&mut Self) -> T) -> T {
        self.next();
        self.joined = true;
        let result = changes(self);
        self.joined = false;
        result
    }

    pub(super) fn save(&self, key: &str) -> Saved {
        Saved {
            key: key.to_owned(),
            kv: self.keys.get(key).cloned(),
            deleted: self.deleted.get(key).copied(),
        }
    }

    pub(super) fn restore(&mut self, saved: Saved) {
        let Saved { key, kv, deleted } = saved;
        self.keys.remove(&key);
        self.deleted.remove(&key);
        if let Some(index) = deleted {
            self.deleted.insert(key.clone(), index);
        }
        if let Some(kv) = kv {
            self.keys.insert(key, kv);
        }
    }

    pub(super) fn rewind(&mut self, index: u64) {
        self.index = index;
    }

    fn next(&mut self) -> u64 {
        self.index += u64::from(!self.joined);
        self.index
    }
}
