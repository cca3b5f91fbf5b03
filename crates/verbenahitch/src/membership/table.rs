//! Table of all processes that this one has heard of.
//!
//! State is taken only from answers. Each record carries a lower bound of the
//! time at which its process made it: the time at which the answered request was
//! sent, less the age given in the answer. An unsolicited greeting may have been
//! delayed for any time, so it only shows that the sender exists.
//!
//! A record is replaced only by a later one: one with a higher incarnation, or
//! with a higher beat of the same incarnation.

use std::collections::BTreeMap;

use super::{Beat, Member, Role, StoreReport};
use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Time for which the record of a process that is no longer heard is kept, in milliseconds.
const RECORD_RETENTION_MS: Millis = 3_600_000;

type Key = (String, Role);

/// Records of the other processes.
#[derive(Clone, Debug)]
pub struct Table {
    own_key: Key,
    timeout_ms: Millis,
    known: BTreeMap<Key, PeerEntry>,
    ids: HashMap<u64, Key>,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    record: Member,
    heard: Monotonic,
    made_after: Option<Monotonic>,
    live: bool,
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Nothing,
    /// A later record of a live process.
    Newer,
    /// A process that was unknown, has restarted, or had timed out.
    Arrived,
    /// A record under this process's own name.
    OwnName,
}

impl Table {
    /// Creates the table of the process `name`, whose peers count as lost when
    /// they have not been heard for `timeout_ms`.
    pub fn new(name: &str, role: Role, timeout_ms: Millis) -> Self {
        Self {
            own_key: (name.to_owned(), role),
            timeout_ms,
            known: BTreeMap::new(),
            ids: HashMap::default(),
        }
    }

    /// Merges a record from an answer to a request that was sent at `sent`.
    pub fn merge_record(&mut self, record: Member, sent: Monotonic) -> MergeOutcome {
        let made_after = sent - record.age_ms;
        let Some(known) = self.current_entry(&record) else {
            return self.insert(record, made_after, Some(made_after));
        };
        if record.version() < known.record.version() {
            return MergeOutcome::Nothing;
        }
        let later = known.advance(record.beat, made_after);
        if later {
            known.record = record;
        }
        known.mark_live(later)
    }

    /// Merges a beat from an answer to a request that was sent at `sent`.
    pub fn merge_beat(&mut self, beat: Beat, sent: Monotonic) -> MergeOutcome {
        let made_after = sent - beat.age_ms;
        let known = self.ids.get(&beat.id);
        let Some(known) = known.and_then(|key| self.known.get_mut(key)) else {
            return MergeOutcome::Nothing;
        };
        if beat.beat < known.record.beat {
            return MergeOutcome::Nothing;
        }
        let later = known.advance(beat.beat, made_after);
        let record = &mut known.record;
        record.beat = beat.beat;
        record.revision = beat.revision;
        record.store_age_ms = beat.store_age_ms;
        record.permit_left_ms = beat.permit_left_ms;
        known.mark_live(later)
    }

    /// Merges a greeting that arrived at `now`.
    pub fn merge_greeting(&mut self, record: Member, now: Monotonic) -> MergeOutcome {
        let Some(known) = self.current_entry(&record) else {
            return self.insert(record, now, None);
        };
        if record.incarnation < known.record.incarnation {
            return MergeOutcome::Nothing;
        }
        known.heard = known.heard.max(now);
        known.record.leaving |= record.leaving;
        known.mark_live(record.beat > known.record.beat)
    }

    /// Marks the processes that have timed out as lost and returns them; drops
    /// records that are too old to keep.
    pub fn sweep(&mut self, now: Monotonic) -> Vec<Member> {
        let ids = &mut self.ids;
        self.known.retain(|_, known| {
            let keep = now.since(known.heard) <= RECORD_RETENTION_MS;
            if !keep {
                ids.remove(&known.record.id());
            }
            keep
        });
        let mut lost = Vec::new();
        for known in self.known.values_mut() {
            if known.live && now.since(known.heard) > self.timeout_ms {
                known.live = false;
                lost.push(known.as_of(now));
            }
        }
        lost
    }

    /// Records to relay to peers, with their ages.
    pub fn relay_records(&self, now: Monotonic) -> Vec<Member> {
        let known = self.known.values();
        let answered = known.filter_map(|known| Some((known, known.made_after?)));
        let records = answered.map(|(known, made_after)| Member {
            age_ms: now.since(made_after),
            ..known.record.clone()
        });
        records.collect()
    }

    /// Record of a later incarnation of the process that made `record`.
    pub fn later_incarnation(&self, record: &Member) -> Option<&Member> {
        let key = (record.name.clone(), record.role);
        let known = &self.known.get(&key)?.record;
        (known.incarnation > record.incarnation).then_some(known)
    }

    /// All records, with ages and remaining times as of `now`. A process that
    /// counts as lost is listed without shards.
    pub fn members(&self, now: Monotonic) -> Vec<Member> {
        self.known.values().map(|known| known.as_of(now)).collect()
    }

    /// Reports of the processes on their contact with the store.
    pub fn store_reports(&self) -> Vec<StoreReport> {
        let reports = self.known.values().map(|known| StoreReport {
            name: known.record.name.clone(),
            zone: known.record.zone.clone(),
            revision: known.record.revision,
            heard: known.heard,
            made_after: known.made_after,
            store_age_ms: known.record.store_age_ms,
        });
        reports.collect()
    }

    /// Entry of the same incarnation, or of a later one that supersedes the record.
    fn current_entry(&mut self, record: &Member) -> Option<&mut PeerEntry> {
        let key = (record.name.clone(), record.role);
        let known = self.known.get_mut(&key)?;
        (known.record.incarnation >= record.incarnation).then_some(known)
    }

    fn insert(
        &mut self,
        record: Member,
        heard: Monotonic,
        made_after: Option<Monotonic>,
    ) -> MergeOutcome {
        let key = (record.name.clone(), record.role);
        if key == self.own_key {
            return MergeOutcome::OwnName;
        }
        self.ids.insert(record.id(), key.clone());
        let known = PeerEntry {
            record,
            heard,
            made_after,
            live: true,
        };
        if let Some(old) = self.known.insert(key, known) {
            self.ids.remove(&old.record.id());
        }
        MergeOutcome::Arrived
    }
}

impl PeerEntry {
    /// Records that the record numbered `beat` was made after `made_after`;
    /// returns whether it is later than the one held.
    fn advance(&mut self, beat: u64, made_after: Monotonic) -> bool {
        let later = beat > self.record.beat;
        self.heard = self.heard.max(made_after);
        self.made_after = if later {
            Some(made_after)
        } else {
            self.made_after.max(Some(made_after))
        };
        later
    }

    /// Marks the process as live if its record is a later one.
    fn mark_live(&mut self, later: bool) -> MergeOutcome {
        if !later {
            return MergeOutcome::Nothing;
        }
        if self.live {
            return MergeOutcome::Newer;
        }
        self.live = true;
        MergeOutcome::Arrived
    }

    fn as_of(&self, now: Monotonic) -> Member {
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
