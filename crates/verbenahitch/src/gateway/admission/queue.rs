//! Order of the requests that wait for a slot.
//!
//! Kinds share the freed slots in proportion to their worth (start-time fair
//! queueing), so that no kind starves; within a kind the earliest deadline is
//! first. A request that cannot be reached before its deadline at the observed
//! pace is refused when it arrives; when the queue is full, the kind of least
//! worth sheds the request with the latest deadline.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Scale of the virtual time that one slot costs a kind.
const COST: u64 = 1 << 20;
/// Weight of a new interval in the mean time between two freed slots: one in this many.
const PACE_WEIGHT: u64 = 16;

/// What the order needs to know of a waiting request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Kind.
    pub kind: String,
    /// What its answer is worth.
    pub worth: u32,
    /// Latest time at which a slot is still of use.
    pub latest: Monotonic,
}

/// A request that left the queue without a slot.
#[derive(Debug, PartialEq, Eq)]
pub enum Shed<T> {
    /// It cannot get a slot in time.
    Late(T, Millis),
    /// The queue was full and others are worth more.
    Worthless(T, Millis),
}

#[derive(Debug)]
struct Lane<T> {
    worth: u64,
    served: u64,
    waiting: BTreeMap<(Monotonic, u64), T>,
}

/// Requests that wait for a slot.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: HashMap<String, Lane<T>>,
    most: usize,
    count: usize,
    arrivals: u64,
    virtual_time: u64,
    interval_us: u64,
    last_grant: Option<Monotonic>,
    granted: u64,
}

impl<T> Queue<T> {
    /// Creates a queue of at most `most` requests.
    pub fn new(most: usize) -> Self {
        Self {
            lanes: HashMap::default(),
            most: most.max(1),
            count: 0,
            arrivals: 0,
            virtual_time: 0,
            interval_us: 0,
            last_grant: None,
            granted: 0,
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Expected wait of a new request of `kind`, in milliseconds.
    pub fn wait_ms(&self, kind: &str, worth: u32) -> Millis {
        let busy = |lane: &&Lane<T>| !lane.waiting.is_empty();
        let others: u64 = self.lanes.values().filter(busy).map(|l| l.worth).sum();
        let lane = self.lanes.get(kind).filter(|lane| !lane.waiting.is_empty());
        let ahead = lane.map_or(0, |lane| lane.waiting.len() as u64) + 1;
        let worth = u64::from(worth.max(1));
        let total = match lane {
            Some(_) => others,
            None => others + worth,
        };
        ahead * self.interval_us * total / worth / 1_000
    }

    /// Adds a request at `now`, and returns what is refused instead, if anything.
    pub fn push(&mut self, now: Monotonic, ticket: Ticket, item: T) -> Option<Shed<T>> {
        let wait = self.wait_ms(&ticket.kind, ticket.worth);
        if now + wait > ticket.latest {
            return Some(Shed::Late(item, wait));
        }
        self.insert(ticket, item);
        if self.count <= self.most {
            return None;
        }
        self.shed_least(wait)
    }

    /// Takes the next request for a slot that was freed at `now`, or one that has become late.
    pub fn pop(&mut self, now: Monotonic) -> Option<Result<T, Shed<T>>> {
        let waiting = |lane: &&mut Lane<T>| !lane.waiting.is_empty();
        let lane = self.lanes.values_mut().filter(waiting);
        let lane = lane.min_by_key(|lane| (lane.served, std::cmp::Reverse(lane.worth)))?;
        let ((latest, _), item) = lane.waiting.pop_first()?;
        self.count -= 1;
        if latest < now {
            return Some(Err(Shed::Late(item, 0)));
        }
        self.virtual_time = lane.served;
        lane.served += COST / lane.worth;
        self.note_grant(now);
        Some(Ok(item))
    }

    /// Removes a request that has become late by `now`, if there is one.
    pub fn pop_late(&mut self, now: Monotonic) -> Option<Shed<T>> {
        let is_late = |lane: &&mut Lane<T>| {
            let first = lane.waiting.first_key_value();
            first.is_some_and(|((latest, _), _)| *latest < now)
        };
        let lane = self.lanes.values_mut().find(is_late)?;
        let (_, item) = lane.waiting.pop_first()?;
        self.count -= 1;
        Some(Shed::Late(item, 0))
    }

    /// Forgets the pace once nothing waits: freed slots then say nothing of capacity.
    pub fn rest(&mut self) {
        self.last_grant = None;
        self.granted = 0;
    }

    fn insert(&mut self, ticket: Ticket, item: T) {
        let worth = u64::from(ticket.worth.max(1));
        let lane = self.lanes.entry(ticket.kind).or_insert_with(|| Lane {
            worth,
            served: 0,
            waiting: BTreeMap::new(),
        });
        lane.worth = worth;
        // A kind that was away does not catch up on slots that it did not ask for.
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(self.virtual_time);
        }
        lane.waiting.insert((ticket.latest, self.arrivals), item);
        self.arrivals += 1;
        self.count += 1;
    }

    fn shed_least(&mut self, wait: Millis) -> Option<Shed<T>> {
        let waiting = |lane: &&mut Lane<T>| !lane.waiting.is_empty();
        let lane = self.lanes.values_mut().filter(waiting);
        let lane = lane.min_by_key(|lane| lane.worth)?;
        let (_, item) = lane.waiting.pop_last()?;
        self.count -= 1;
        Some(Shed::Worthless(item, wait))
    }

    /// Follows the time between grants over spans of at least one millisecond.
    fn note_grant(&mut self, now: Monotonic) {
        self.granted += 1;
        let Some(last) = self.last_grant else {
            self.last_grant = Some(now);
            self.granted = 0;
            return;
        };
        let span = now.since(last);
        if span == 0 {
            return;
        }
        let interval = span * 1_000 / self.granted;
        self.interval_us = match self.interval_us {
            0 => interval,
            mean => mean - mean / PACE_WEIGHT + interval / PACE_WEIGHT,
        };
        self.last_grant = Some(now);
        self.granted = 0;
    }
}
