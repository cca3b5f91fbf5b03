//! The platform's metadata store, after PROTOCOL.md.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, base64, map, num, text};

/// Usual time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Items of a page.
const PAGE_ITEMS: usize = 500;

/// Bytes of values of a page.
const PAGE_BYTES: usize = 1 << 20;

/// Time for which the history is kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Arc<str>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

/// What becomes of a write that is in trouble.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// It is not answered, and done after this time if its condition still holds.
    Late(Duration),
}

/// Decides by its keys whether a write is in trouble.
type Draw = Box<dyn FnMut(&[&str]) -> Option<Trouble> + Send>;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    dropped: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    draw: Option<Draw>,
    writes: u64,
    reads: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts serving.
    pub fn start(&self) -> SocketAddr {
        let expiry = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiry.expire();
            }
        });
        let store = self.clone();
        http::serve(move |request| store.answer(&request))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no holder panics")
    }

    pub fn set_draw(&self, draw: impl FnMut(&[&str]) -> Option<Trouble> + Send + 'static) {
        self.lock().draw = Some(Box::new(draw));
    }

    pub fn end_draw(&self) {
        self.lock().draw = None;
    }

    /// Writes as the operator or a worker.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(value.print().as_bytes()).into(), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }

    /// Revision of the key `lead/owner`, which names whoever leads; zero without one.
    pub fn leader(&self) -> u64 {
        self.lock()
            .items
            .get("lead/owner")
            .map_or(0, |item| item.revision)
    }

    /// Number of writes so far.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        while state
            .history
            .front()
            .is_some_and(|event| now - event.at > HISTORY)
        {
            if let Some(event) = state.history.pop_front() {
                state.dropped = event.revision;
            }
        }
        drop(state);
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        if request.path == "/kv-watch" {
            return self.watch(request);
        }
        if request.path == "/kv-txn" {
            let trouble = {
                let mut state = self.lock();
                state.writes += 1;
                let puts = request.body.get("putItems").list();
                let keys: Vec<&str> = puts.iter().map(|put| put.get("key").str()).collect();
                state.draw.as_mut().and_then(|draw| draw(&keys))
            };
            if let Some(Trouble::Late(delay)) = trouble {
                let (store, body) = (self.clone(), request.body.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    store.lock().commit(&body);
                    store.shared.1.notify_all();
                });
                return Reply::Never;
            }
        }
        let mut state = self.lock();
        let (status, body) = state.call(request);
        drop(state);
        self.shared.1.notify_all();
        Reply::Answer(status, body)
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        state.reads += 1;
        loop {
            if after < state.dropped {
                return Reply::Answer(410, map([]));
            }
            let fits = |event: &&Event| event.revision > after && event.key.starts_with(prefix);
            let events: Vec<Json> = state.history.iter().filter(fits).map(event_row).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = num(state.revision);
                let body = map([("events", Json::List(events)), ("atRevision", revision)]);
                return Reply::Answer(200, body);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no holder panics").0;
        }
    }
}

fn row(key: &str, item: &Item) -> Json {
    map([
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

fn event_row(event: &Event) -> Json {
    match &event.item {
        Some(item) => row(&event.key, item),
        None => map([
            ("key", text(&event.key)),
            ("revision", num(event.revision)),
            ("tombstone", Json::Bool(true)),
        ]),
    }
}

impl State {
    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            item,
        });
    }

    fn put(&mut self, key: &str, value: Arc<str>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn call(&mut self, request: &Request) -> (u16, Json) {
        if let Some(lease) = request.path.strip_prefix("/kv-keep/") {
            self.reads += 1;
            return match self.leases.get_mut(&lease.parse().unwrap_or(0)) {
                Some((until, length)) => {
                    *until = Instant::now() + *length;
                    (200, map([]))
                }
                None => (404, map([])),
            };
        }
        if let Some(lease) = request.path.strip_prefix("/kv-lease-end/") {
            self.writes += 1;
            self.end_lease(lease.parse().unwrap_or(0));
            return (200, map([]));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                self.reads += 1;
                let key = request.query("key");
                self.items
                    .get(key)
                    .map_or((404, map([])), |item| (200, row(key, item)))
            }
            ("GET", "/kv-range") => {
                self.reads += 1;
                (200, self.range(request))
            }
            ("POST", "/kv-lease") => {
                self.writes += 1;
                self.revision += 1;
                let ttl_ms = request.body.get("ttlMs").num();
                let length = Duration::from_millis(ttl_ms);
                self.leases
                    .insert(self.revision, (Instant::now() + length, length));
                let lease = num(self.revision);
                (200, map([("lease", lease), ("ttlMs", num(ttl_ms))]))
            }
            ("POST", "/kv-txn") => self.commit(&request.body),
            _ => (400, map([])),
        }
    }

    fn range(&self, request: &Request) -> Json {
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (bytes + item.value.len() > PAGE_BYTES && bytes > 0) {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(row(key, item));
        }
        map([
            ("items", Json::List(items)),
            ("morePages", Json::Bool(more)),
            ("atRevision", num(self.revision)),
        ])
    }

    fn commit(&mut self, body: &Json) -> (u16, Json) {
        let expected = body.get("expected").list();
        let puts = body.get("putItems").list();
        let removes = body.get("deleteKeys").list();
        if expected.len() + puts.len() + removes.len() > 32 {
            return (400, map([]));
        }
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if expected
            .iter()
            .any(|row| row.get("revision").num() != revision(row.get("key").str()))
        {
            let keys = expected.iter().map(|row| row.get("key").str());
            let items = keys.filter_map(|key| Some(row(key, self.items.get(key)?)));
            return (412, map([("items", Json::List(items.collect()))]));
        }
        let lease_of = |put: &Json| put.get("lease").num();
        if puts
            .iter()
            .map(lease_of)
            .any(|lease| lease != 0 && !self.leases.contains_key(&lease))
        {
            return (404, map([]));
        }
        self.revision += 1;
        for put in puts {
            self.put(
                put.get("key").str(),
                put.get("value").str().into(),
                lease_of(put),
            );
        }
        for key in removes {
            self.remove(key.str());
        }
        (200, map([("revision", num(self.revision))]))
    }
}
