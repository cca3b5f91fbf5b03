//! Version of the operators' document that a host serves by, and the age of what the host
//! knows.
//!
//! Load pattern: versions that follow one another within a fraction of a second; a host
//! that is cut off, frozen or restarted while a key is withdrawn; a store that refuses
//! some hosts, loses answers or forgets its history.
//!
//! A withdrawn key must not be used later than a bound after the store acknowledged its
//! withdrawal, so a host has to know how old its knowledge is. Two facts count:
//!
//! * A listing that shows the document in force confirms it at the time at which the
//!   listing was *sent*: each key of a listing, of one page or several, was read later.
//! * A strong read that was sent at `t` and shows the store at revision `r` confirms the
//!   document at `t` as soon as the watch has covered `r`: nothing that was acknowledged
//!   before `t` has a higher revision. An answer of the watch without changes is not
//!   enough, as a watch may be told nothing for a while.

use std::collections::VecDeque;
use std::sync::Arc;

use super::check::{AccountFault, check};
use super::keys::{KeyHolder, KeyTable};
use crate::collections::HashSet;
use crate::domain::{Millis, Monotonic};
use crate::entry::routes::RouteTable;
use crate::port::{KeyDigest, KeyedAccount, QueueRoute, Queues};

/// Part of the bound that is given up for a clock of this host that runs slow: the
/// platform's clocks are off by at most a fiftieth.
const DRIFT_DIVISOR: Millis = 50;

/// Largest number of strong reads that wait for the watch.
const READS_MAX: usize = 8;

/// How long a withdrawn key may still be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revocation {
    limit: Option<Millis>,
}

impl Revocation {
    /// Within `bound_ms` on every host, in touch with the store or not.
    pub fn strict(bound_ms: Millis) -> Self {
        Self {
            limit: Some(bound_ms - bound_ms / DRIFT_DIVISOR),
        }
    }

    /// Until the host hears of the withdrawal.
    pub fn unbounded() -> Self {
        Self { limit: None }
    }
}

/// One version of the operators' document, with the indices that each request uses.
#[derive(Clone, Debug)]
pub struct Declared {
    queues: Queues,
    routes: RouteTable,
    keys: Option<KeyTable>,
}

impl Declared {
    fn new(queues: Queues, former: Option<&Self>) -> Self {
        let former = former.and_then(|former| former.keys.as_ref());
        let accounts = queues.accounts.as_deref();
        Self {
            routes: RouteTable::new(&queues.routes),
            keys: accounts.map(|accounts| KeyTable::new(accounts, former)),
            queues,
        }
    }

    /// Queues and accounts.
    pub fn queues(&self) -> &Queues {
        &self.queues
    }

    /// Route with the longest prefix of `path`, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRoute, &'a str)> {
        let (position, rest) = self.routes.find(host, path)?;
        Some((&self.queues.routes[position], rest))
    }

    /// Whether `listed` has all keys.
    fn holds_only(&self, listed: &HashSet<KeyDigest>) -> bool {
        let accounts = self.queues.accounts.iter().flatten();
        let mut keys = accounts.flat_map(|keyed| &keyed.keys);
        keys.all(|key| listed.contains(key))
    }
}

fn listed_keys(accounts: &[KeyedAccount]) -> HashSet<KeyDigest> {
    let keys = accounts.iter().flat_map(|keyed| &keyed.keys);
    keys.copied().collect()
}

/// What became of a document that the store showed.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// It is in force now.
    Adopted,
    /// It was in force before.
    Held,
    /// It is no newer than the version in force, and differs from it. Of the keys in force
    /// only those that it also lists stay.
    Superseded,
    /// It has a fault. Of the keys in force only those that it also lists stay.
    Faulty(AccountFault),
}

/// Why a call is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The call has no key, and the route is not public.
    NoKey,
    /// An earlier version held the key, for this account.
    Withdrawn(Arc<str>),
    /// No version seen held the key.
    Unknown,
    /// The key may be good; what this host knows is too old to say.
    Outdated,
}

impl Denial {
    /// Name in the log and in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NoKey => "no-key",
            Self::Withdrawn(_) => "withdrawn",
            Self::Unknown => "unknown",
            Self::Outdated => "outdated",
        }
    }
}

/// Account on whose behalf a call is served; none on a public route, or where no
/// accounts are declared.
pub type Admission = Result<Option<Arc<str>>, Denial>;

/// The version in force, and when the store confirmed it.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    revocation: Revocation,
    declared: Option<Arc<Declared>>,
    /// Revision of the newest document seen, in force or not.
    revision: u64,
    /// Whether no key in force is missing from the newest document seen.
    is_current: bool,
    /// Time at which the last confirmation was asked for.
    confirmed: Option<Monotonic>,
    /// Strong reads that the watch has not covered, oldest first: time sent, revision.
    reads: VecDeque<(Monotonic, u64)>,
}

impl InForce {
    /// Nothing is in force.
    pub fn new(revocation: Revocation) -> Self {
        Self {
            revocation,
            ..Self::default()
        }
    }

    /// Version in force.
    pub fn declared(&self) -> Option<&Arc<Declared>> {
        self.declared.as_ref()
    }

    /// Whether the document with this revision has not been seen.
    pub fn is_new(&self, revision: u64) -> bool {
        self.declared.is_none() || self.revision != revision
    }

    /// Takes a document that the store holds at `revision`.
    pub fn offer(&mut self, revision: u64, queues: Queues) -> Offer {
        self.revision = revision;
        if let Err(fault) = check(queues.accounts.as_deref().unwrap_or_default()) {
            let listed = queues.accounts.as_deref().map(listed_keys);
            self.keep_listed(listed.as_ref());
            return Offer::Faulty(fault);
        }
        let held = self.declared.as_deref();
        if let Some(held) = held.filter(|held| held.queues.version >= queues.version) {
            if held.queues == queues {
                self.is_current = true;
                return Offer::Held;
            }
            let listed = queues.accounts.as_deref().map(listed_keys);
            self.keep_listed(listed.as_ref());
            return Offer::Superseded;
        }
        self.declared = Some(Arc::new(Declared::new(queues, held)));
        self.is_current = true;
        Offer::Adopted
    }

    /// Takes note of a document that cannot be read; `listed` are the keys that it lists,
    /// if these can be read.
    pub fn offer_unreadable(&mut self, revision: u64, listed: Option<&HashSet<KeyDigest>>) {
        self.revision = revision;
        self.keep_listed(listed);
    }

    /// Withdraws the keys that a document, which does not come into force, does not list.
    /// The rest of the version stays in force.
    fn keep_listed(&mut self, listed: Option<&HashSet<KeyDigest>>) {
        self.is_current = listed.is_some();
        let Some(listed) = listed else {
            return;
        };
        let Some(held) = self.declared.as_deref() else {
            return;
        };
        if held.holds_only(listed) {
            return;
        }
        let mut queues = held.queues.clone();
        for keyed in queues.accounts.iter_mut().flatten() {
            keyed.keys.retain(|key| listed.contains(key));
        }
        self.declared = Some(Arc::new(Declared::new(queues, Some(held))));
    }

    /// Takes note that the store holds no document.
    pub fn remove(&mut self) {
        self.revision = 0;
        self.is_current = false;
    }

    /// Takes note of a strong read that was sent at `asked` and showed the store at
    /// `revision`.
    pub fn read(&mut self, asked: Monotonic, revision: u64) {
        if self.reads.len() == READS_MAX {
            self.reads.pop_front();
        }
        self.reads.push_back((asked, revision));
    }

    /// Takes note that all changes up to `revision` are known.
    pub fn cover(&mut self, revision: u64) {
        while let Some(&(asked, read)) = self.reads.front()
            && read <= revision
        {
            self.reads.pop_front();
            self.confirm(asked);
        }
    }

    /// Takes note of a listing that was sent at `asked` and has been applied.
    pub fn list(&mut self, asked: Monotonic) {
        self.confirm(asked);
    }

    fn confirm(&mut self, asked: Monotonic) {
        if self.is_current && self.declared.is_some() {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Age of what this host knows, in milliseconds; `None` before the first confirmation.
    pub fn age_ms(&self, now: Monotonic) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether confirmations are needed: accounts are declared, and withdrawals are bounded.
    pub fn needs_confirmation(&self) -> bool {
        let declared = self.declared.as_ref();
        let has_accounts = declared.is_some_and(|declared| declared.keys.is_some());
        self.revocation.limit.is_some() && has_accounts
    }

    /// Whether calls with keys can be served at `now`.
    pub fn is_fresh(&self, now: Monotonic) -> bool {
        let Some(limit) = self.revocation.limit.filter(|_| self.needs_confirmation()) else {
            return true;
        };
        self.age_ms(now).is_some_and(|age| age < limit)
    }

    /// Whether a key that this host does not know can be called unknown: none was added
    /// that it should have heard of.
    fn is_recent(&self, now: Monotonic) -> bool {
        let limit = self.revocation.limit.map(|limit| limit / 2);
        limit.is_none_or(|limit| self.age_ms(now).is_some_and(|age| age < limit))
    }

    /// Decides on a call that arrived before `now`. `in_touch` says whether the last call
    /// to the store succeeded: without the store a key may have been added meanwhile.
    pub fn admit(
        &self,
        now: Monotonic,
        in_touch: bool,
        public: bool,
        key: Option<&KeyDigest>,
    ) -> Admission {
        let declared = self.declared.as_ref();
        let keys = declared.and_then(|declared| declared.keys.as_ref());
        let Some(keys) = keys.filter(|_| !public) else {
            return Ok(None);
        };
        if !self.is_fresh(now) {
            return Err(Denial::Outdated);
        }
        let denial = match key.map(|key| keys.holder(key)) {
            Some(KeyHolder::Account(name)) => return Ok(Some(name)),
            Some(KeyHolder::Withdrawn(name)) => Denial::Withdrawn(name),
            Some(KeyHolder::Unknown) => Denial::Unknown,
            None => Denial::NoKey,
        };
        let is_certain = in_touch && self.is_recent(now);
        Err(if is_certain { denial } else { Denial::Outdated })
    }
}
