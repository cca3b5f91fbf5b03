//! Table of all processes that this one has heard of.
//!
//! State is taken from answers only, and carries the instant after which the
//! process certainly made it: the sending of the request that was answered,
//! less the age in the answer. A greeting that arrives unasked may have been
//! delayed for any time; it only tells that the sender exists.
//!
//! A record is replaced only by a later one: a higher incarnation, or a higher
//! beat of the same.

use std::collections::BTreeMap;

use super::{Beat, Member, Role, Testimony};
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Time for which a process that is no longer heard is remembered, in milliseconds.
const FORGET_MS: Millis = 3_600_000;

type Key = (String, Role);

/// Records of the other processes.
#[derive(Clone, Debug)]
pub struct Table {
    me: Key,
    timeout_ms: Millis,
    known: BTreeMap<Key, Known>,
    ids: HashMap<u64, Key>,
}

#[derive(Clone, Debug)]
struct Known {
    record: Member,
    heard: Monotonic,
    proven: Option<Monotonic>,
    live: bool,
}

/// What a record has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learnt {
    /// Nothing new.
    Nothing,
    /// A later record of a process that was heard before.
    Newer,
    /// A process that was unknown, has restarted, or was not heard for a while.
    Arrived,
    /// A record under this process's own name.
    Myself,
}

impl Table {
    /// Creates the table of the process `name`, whose peers are presumed gone
    /// after `timeout_ms` of silence.
    pub fn new(name: &str, role: Role, timeout_ms: Millis) -> Self {
        Self {
            me: (name.to_owned(), role),
            timeout_ms,
            known: BTreeMap::new(),
            ids: HashMap::default(),
        }
    }

    /// Merges a record from an answer to a request that was sent at `sent`.
    pub fn learn(&mut self, record: Member, sent: Monotonic) -> Learnt {
        let proven = sent - record.age_ms;
        let Some(known) = self.held(&record) else {
            return self.insert(record, proven, Some(proven));
        };
        if record.version() < known.record.version() {
            return Learnt::Nothing;
        }
        let later = known.renew(record.beat, proven);
        if later {
            known.record = record;
        }
        known.revive(later)
    }

    /// Merges a beat from an answer to a request that was sent at `sent`.
    pub fn beat(&mut self, beat: Beat, sent: Monotonic) -> Learnt {
        let proven = sent - beat.age_ms;
        let known = self.ids.get(&beat.id);
        let Some(known) = known.and_then(|key| self.known.get_mut(key)) else {
            return Learnt::Nothing;
        };
        if beat.beat < known.record.beat {
            return Learnt::Nothing;
        }
        let later = known.renew(beat.beat, proven);
        let record = &mut known.record;
        record.beat = beat.beat;
        record.revision = beat.revision;
        record.store_age_ms = beat.store_age_ms;
        record.permit_left_ms = beat.permit_left_ms;
        known.revive(later)
    }

    /// Merges a greeting that arrived at `now`.
    pub fn greeted(&mut self, record: Member, now: Monotonic) -> Learnt {
        let Some(known) = self.held(&record) else {
            return self.insert(record, now, None);
        };
        if record.incarnation < known.record.incarnation {
            return Learnt::Nothing;
        }
        known.heard = known.heard.max(now);
        known.record.leaving |= record.leaving;
        known.revive(record.beat > known.record.beat)
    }

    /// Marks as gone who was not heard for the timeout, and returns them.
    pub fn sweep(&mut self, now: Monotonic) -> Vec<Member> {
        let ids = &mut self.ids;
        self.known.retain(|_, known| {
            let keep = now.since(known.heard) <= FORGET_MS;
            if !keep {
                ids.remove(&known.record.id());
            }
            keep
        });
        let mut lost = Vec::new();
        for known in self.known.values_mut() {
            if known.live && now.since(known.heard) > self.timeout_ms {
                known.live = false;
                lost.push(known.at(now));
            }
        }
        lost
    }

    /// Records to pass on, with their ages.
    pub fn relayed(&self, now: Monotonic) -> Vec<Member> {
        let known = self.known.values();
        let proven = known.filter_map(|known| Some((known, known.proven?)));
        let records = proven.map(|(known, proven)| Member {
            age_ms: now.since(proven),
            ..known.record.clone()
        });
        records.collect()
    }

    /// Record of a later incarnation of the process that made `record`.
    pub fn later(&self, record: &Member) -> Option<&Member> {
        let key = (record.name.clone(), record.role);
        let known = &self.known.get(&key)?.record;
        (known.incarnation > record.incarnation).then_some(known)
    }

    /// All records as of `now`: what each process said, aged since. A process
    /// that is presumed gone is not taken to own any shard.
    pub fn members(&self, now: Monotonic) -> Vec<Member> {
        self.known.values().map(|known| known.at(now)).collect()
    }

    /// What the processes have said of the store.
    pub fn testimonies(&self) -> Vec<Testimony> {
        let testimonies = self.known.values().map(|known| Testimony {
            name: known.record.name.clone(),
            zone: known.record.zone.clone(),
            revision: known.record.revision,
            heard: known.heard,
            proven: known.proven,
            store_age_ms: known.record.store_age_ms,
        });
        testimonies.collect()
    }

    /// Entry of the same incarnation, or of a later one that hides the record.
    fn held(&mut self, record: &Member) -> Option<&mut Known> {
        let key = (record.name.clone(), record.role);
        let known = self.known.get_mut(&key)?;
        (known.record.incarnation >= record.incarnation).then_some(known)
    }

    fn insert(&mut self, record: Member, heard: Monotonic, proven: Option<Monotonic>) -> Learnt {
        let key = (record.name.clone(), record.role);
        if key == self.me {
            return Learnt::Myself;
        }
        self.ids.insert(record.id(), key.clone());
        let known = Known {
            record,
            heard,
            proven,
            live: true,
        };
        if let Some(old) = self.known.insert(key, known) {
            self.ids.remove(&old.record.id());
        }
        Learnt::Arrived
    }
}

impl Known {
    /// Notes that the record numbered `beat` was made after `proven`; says whether it is later.
    fn renew(&mut self, beat: u64, proven: Monotonic) -> bool {
        let later = beat > self.record.beat;
        self.heard = self.heard.max(proven);
        self.proven = if later {
            Some(proven)
        } else {
            self.proven.max(Some(proven))
        };
        later
    }

    fn revive(&mut self, later: bool) -> Learnt {
        if !later {
            return Learnt::Nothing;
        }
        if self.live {
            return Learnt::Newer;
        }
        self.live = true;
        Learnt::Arrived
    }

    fn at(&self, now: Monotonic) -> Member {
        let age_ms = now.since(self.heard);
        let record = &self.record;
        Member {
            age_ms,
            store_age_ms: record.store_age_ms.map(|age| age.saturating_add(age_ms)),
            permit_left_ms: record.permit_left_ms.saturating_sub(age_ms),
            shards: if self.live {
                record.shards.clone()
            } else {
                Vec::new()
            },
            ..record.clone()
        }
    }
}
