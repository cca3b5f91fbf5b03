//! Order of the requests that wait for a slot.
//!
//! Kinds share the freed slots in proportion to their worth (start-time fair
//! queueing), so that no kind starves; within a kind the earliest deadline is
//! first. A request whose expected wait, at the observed rate of freed slots,
//! exceeds its deadline is refused on arrival. When the queue is full, the
//! kind of lowest worth sheds the request with the latest deadline.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

/// Virtual time that one slot costs a kind of worth 1.
const SLOT_COST: u64 = 1 << 20;
/// Weight of a new interval in the mean time between two freed slots: one in this many.
const INTERVAL_WEIGHT: u64 = 16;

/// Attributes of a waiting request that decide its place in the queue.
#[derive(Clone, Debug)]
pub struct QueueKey {
    /// Request kind.
    pub kind: String,
    /// Worth of an answer.
    pub worth: u32,
    /// Latest time at which a slot still allows an answer by the deadline.
    pub latest: Monotonic,
}

/// A request that is refused a slot, with the expected wait in milliseconds.
#[derive(Debug, PartialEq, Eq)]
pub enum Shed<T> {
    /// It cannot get a slot in time.
    Late(T, Millis),
    /// The queue was full and the request belongs to the kind of lowest worth.
    LowestWorth(T, Millis),
}

/// Waiting requests of one kind.
#[derive(Debug)]
struct Flow<T> {
    worth: u64,
    start_tag: u64,
    waiting: BTreeMap<(Monotonic, u64), T>,
}

/// Requests that wait for a slot.
#[derive(Debug)]
pub struct Queue<T> {
    flows: HashMap<String, Flow<T>>,
    capacity: usize,
    count: usize,
    arrivals: u64,
    virtual_time: u64,
    interval_us: u64,
    last_grant: Option<Monotonic>,
    granted: u64,
}

impl<T> Queue<T> {
    /// Creates a queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            flows: HashMap::default(),
            capacity: capacity.max(1),
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
        let busy = |flow: &&Flow<T>| !flow.waiting.is_empty();
        let others: u64 = self.flows.values().filter(busy).map(|l| l.worth).sum();
        let flow = self.flows.get(kind).filter(|flow| !flow.waiting.is_empty());
        let ahead = flow.map_or(0, |flow| flow.waiting.len() as u64) + 1;
        let worth = u64::from(worth.max(1));
        let total = match flow {
            Some(_) => others,
            None => others + worth,
        };
        ahead * self.interval_us * total / worth / 1_000
    }

    /// Adds a request at `now`; returns the request that is refused for it, if any.
    pub fn push(&mut self, now: Monotonic, key: QueueKey, item: T) -> Option<Shed<T>> {
        let wait = self.wait_ms(&key.kind, key.worth);
        if now + wait > key.latest {
            return Some(Shed::Late(item, wait));
        }
        self.insert(key, item);
        if self.count <= self.capacity {
            return None;
        }
        self.shed_lowest_worth(wait)
    }

    /// Removes the next request for a slot that was freed at `now`, or one that is late.
    pub fn pop(&mut self, now: Monotonic) -> Option<Result<T, Shed<T>>> {
        let waiting = |flow: &&mut Flow<T>| !flow.waiting.is_empty();
        let flow = self.flows.values_mut().filter(waiting);
        let flow = flow.min_by_key(|flow| (flow.start_tag, std::cmp::Reverse(flow.worth)))?;
        let ((latest, _), item) = flow.waiting.pop_first()?;
        self.count -= 1;
        if latest < now {
            return Some(Err(Shed::Late(item, 0)));
        }
        self.virtual_time = flow.start_tag;
        flow.start_tag += SLOT_COST / flow.worth;
        self.note_grant(now);
        Some(Ok(item))
    }

    /// Removes a request that is late at `now`, if there is one.
    pub fn pop_late(&mut self, now: Monotonic) -> Option<Shed<T>> {
        let is_late = |flow: &&mut Flow<T>| {
            let first = flow.waiting.first_key_value();
            first.is_some_and(|((latest, _), _)| *latest < now)
        };
        let flow = self.flows.values_mut().find(is_late)?;
        let (_, item) = flow.waiting.pop_first()?;
        self.count -= 1;
        Some(Shed::Late(item, 0))
    }

    /// Restarts the measurement of the grant interval when the queue is empty: without waiting
    /// requests, grants follow the arrivals rather than the capacity.
    pub fn reset_interval(&mut self) {
        self.last_grant = None;
        self.granted = 0;
    }

    fn insert(&mut self, key: QueueKey, item: T) {
        let worth = u64::from(key.worth.max(1));
        let flow = self.flows.entry(key.kind).or_insert_with(|| Flow {
            worth,
            start_tag: 0,
            waiting: BTreeMap::new(),
        });
        flow.worth = worth;
        // An idle kind does not accumulate credit for slots that it did not request.
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.waiting.insert((key.latest, self.arrivals), item);
        self.arrivals += 1;
        self.count += 1;
    }

    fn shed_lowest_worth(&mut self, wait: Millis) -> Option<Shed<T>> {
        let waiting = |flow: &&mut Flow<T>| !flow.waiting.is_empty();
        let flow = self.flows.values_mut().filter(waiting);
        let flow = flow.min_by_key(|flow| flow.worth)?;
        let (_, item) = flow.waiting.pop_last()?;
        self.count -= 1;
        Some(Shed::LowestWorth(item, wait))
    }

    /// Updates the mean time between grants, measured over at least one millisecond.
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
            mean => mean - mean / INTERVAL_WEIGHT + interval / INTERVAL_WEIGHT,
        };
        self.last_grant = Some(now);
        self.granted = 0;
    }
}
