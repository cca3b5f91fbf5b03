//! Changes of the owner, also while the earlier one goes on.

use std::collections::BTreeSet;

use verbenahitch::dispatch::{Dispatcher, JobRecord, Poll, VoterRecord, Write};
use verbenahitch::domain::Millis;

use super::{Event, World};

/// An earlier owner, with what belongs to it alone.
pub(super) struct Former {
    origin: Millis,
    dispatcher: Dispatcher,
    fence: u64,
    store_up: bool,
    polls: Vec<(Millis, Poll)>,
    events: Vec<(Millis, Event)>,
    writing: Vec<Write>,
    writing_voters: Option<VoterRecord>,
    cut: BTreeSet<String>,
}

impl World {
    /// Replaces the owner by a new one that reads the records and the registry.
    pub fn take_over(&mut self) {
        self.fence += 1;
        self.polls.clear();
        self.events.clear();
        self.writing.clear();
        self.writing_voters = None;
        self.origin = self.now;
        self.dispatcher = Dispatcher::new(self.bounds, self.clock().at);
        self.declare();
        self.send_registry();
        self.dispatcher.restore_voters(self.voters.clone());
        let now = self.clock();
        for (id, spec) in &self.specs {
            let record = JobRecord {
                account: self.usage.owners.get(id).cloned(),
                accepted_ms: self.accepted.get(id).copied().unwrap_or(self.now),
                ..self.record("batch", spec)
            };
            let progress = self.records.get(id).map(|write| write.record.clone());
            self.dispatcher.recover(*id, record, progress, now);
        }
    }

    /// Kills the owner; another one takes over after `millis`.
    pub fn fail_over(&mut self, millis: Millis) {
        self.is_orphaned = true;
        self.run(millis);
        self.is_orphaned = false;
        self.take_over();
    }

    /// Lets the owner do nothing for a while, as on a host without processor time.
    pub fn pause_owner(&mut self, millis: Millis) {
        self.is_orphaned = true;
        self.run(millis);
        self.is_orphaned = false;
    }

    /// Replaces the owner as planned.
    pub fn hand_over(&mut self) {
        let record = self.dispatcher.retirement(self.clock().at);
        self.take_over();
        let now = self.clock().at;
        self.dispatcher.restore_retirement(&record, now);
    }

    /// Lets the owner go on without the store, reaching only the workers in `zone`; a new
    /// owner reaches the others.
    pub fn split_owner(&mut self, zone: &[&str]) {
        let names = self.workers.keys().cloned();
        let (inside, outside) = names.partition(|name| zone.contains(&name.as_str()));
        self.store_up = false;
        self.cut = outside;
        self.former = Some(Former {
            origin: self.origin,
            dispatcher: Dispatcher::new(self.bounds, self.clock().at),
            fence: self.fence,
            store_up: true,
            polls: Vec::new(),
            events: Vec::new(),
            writing: Vec::new(),
            writing_voters: None,
            cut: inside,
        });
        self.swap_owner();
        self.take_over();
    }

    /// Cuts the owner off from a worker, or ends that.
    pub fn set_cut(&mut self, name: &str, is_cut: bool) {
        if is_cut {
            self.cut.insert(name.to_owned());
        } else {
            self.cut.remove(name);
        }
    }

    /// Exchanges the owner and the earlier one.
    pub(super) fn swap_owner(&mut self) {
        let Some(former) = &mut self.former else {
            return;
        };
        std::mem::swap(&mut self.origin, &mut former.origin);
        std::mem::swap(&mut self.dispatcher, &mut former.dispatcher);
        std::mem::swap(&mut self.fence, &mut former.fence);
        std::mem::swap(&mut self.store_up, &mut former.store_up);
        std::mem::swap(&mut self.polls, &mut former.polls);
        std::mem::swap(&mut self.events, &mut former.events);
        std::mem::swap(&mut self.writing, &mut former.writing);
        std::mem::swap(&mut self.writing_voters, &mut former.writing_voters);
        std::mem::swap(&mut self.cut, &mut former.cut);
    }
}
