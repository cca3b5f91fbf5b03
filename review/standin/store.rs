//! The platform's metadata store, by the users' page PROTOCOL.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Json};
use crate::web::{Answer, Request, Server};

/// Time that the store takes for an answer, as in the site files.
const ANSWER: Duration = Duration::from_millis(4);

const HISTORY: Duration = Duration::from_secs(20);

/// Largest value, and largest number of entries of a transaction, as in the users' pages.
const VALUE_BYTES: usize = 1_048_576;
const ENTRIES: usize = 32;

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Item {
    value: String,
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

/// A disruption of the answers to writes: those that put a key with this prefix are carried out
/// this late, and are not answered.
#[derive(Clone)]
pub struct Lost {
    pub key: String,
    pub late: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    forgotten: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    lost: Option<Lost>,
    writes: u64,
    writes_lost: u64,
    refused_large: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            item,
        });
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let was = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        was
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in &over {
            self.end_lease(*lease);
        }
        while let Some(first) = self.history.front()
            && first.at.elapsed() > HISTORY
        {
            self.forgotten = first.revision;
            self.history.pop_front();
        }
        !over.is_empty()
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    fn shown(&self, key: &str) -> String {
        let item = &self.items[key];
        shown(key, item)
    }
}

fn shown(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        Json::Text(key.to_owned()).write(),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 1;
        state.0.lock().unwrap().next_lease = 1;
        let store = Self {
            state: Arc::clone(&state),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let answering = store.clone();
        let server = Server::start(store.address, move |request| answering.answer(&request));
        let server = server.expect("a free port");
        let address = server.address;
        std::thread::spawn(move || {
            let _server = server;
            loop {
                std::thread::sleep(Duration::from_millis(10));
                if state.0.lock().unwrap().expire() {
                    state.1.notify_all();
                }
            }
        });
        Self { address, ..store }
    }

    /// What operators and workers write.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &json::base64(value.write().as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.state.1.notify_all();
    }

    pub fn set_lost(&self, lost: Option<Lost>) {
        self.state.0.lock().unwrap().lost = lost;
    }

    /// Value of a key, as the system wrote it.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.items.get(key).map(|item| item.value.clone())
    }

    /// Lets the store hold what the system wrote earlier: this value under each of the keys.
    pub fn hold_earlier(&self, keys: impl Iterator<Item = String>, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for key in keys {
            let item = Item {
                value: value.to_owned(),
                revision,
                created: revision,
                lease: 0,
            };
            state.items.insert(key, item);
        }
    }

    /// Numbers of writes, of those without an answer, and of those refused for a large value.
    pub fn counts(&self) -> (u64, u64, u64) {
        let state = self.state.0.lock().unwrap();
        (state.writes, state.writes_lost, state.refused_large)
    }

    fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = request.query("key");
                Some(match state.items.contains_key(&key) {
                    true => {
                        let shown = state.shown(&key);
                        let revision = format!(",\"atRevision\":{}}}", state.revision);
                        (200, shown[..shown.len() - 1].to_owned() + &revision)
                    }
                    false => (404, format!("{{\"atRevision\":{}}}", state.revision)),
                })
            }
            ("GET", "/kv-range") => Some(self.range(request)),
            ("GET", "/kv-watch") => Some(self.watch(request)),
            ("POST", "/kv-txn") => self.write(request),
            ("POST", "/kv-lease") => {
                let ttl = json::read(&request.body).get("ttlMs").number();
                let ttl = ttl.clamp(1_000, 600_000);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + time, time));
                Some((200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}")))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                Some(match state.leases.get_mut(&lease) {
                    Some((until, time)) => {
                        *until = Instant::now() + *time;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let ended = self.state.0.lock().unwrap().end_lease(lease);
                self.state.1.notify_all();
                Some((if ended { 200 } else { 404 }, "{}".to_owned()))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        let from = prefix.clone().max(after.clone());
        for key in state.items.range(from..).map(|(key, _)| key) {
            if !key.starts_with(&prefix) {
                break;
            }
            if *key <= after && !after.is_empty() {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let shown = state.shown(key);
            bytes += shown.len();
            items.push(shown);
        }
        let items = items.join(",");
        let revision = state.revision;
        let body =
            format!("{{\"items\":[{items}],\"morePages\":{more},\"atRevision\":{revision}}}");
        (200, body)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = (state.history.iter())
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(|event| match &event.item {
                    Some(item) => shown(&event.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        Json::Text(event.key.clone()).write(),
                        event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"atRevision\":{revision}}}"),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, request: &Request) -> Answer {
        let body = json::read(&request.body);
        let lost = {
            let mut state = self.state.0.lock().unwrap();
            state.writes += 1;
            let puts = body.get("putItems").list();
            let is_hit = |lost: &Lost| {
                let mut keys = puts.iter().map(|put| put.get("key").text());
                keys.any(|key| key.starts_with(&lost.key))
            };
            let lost = state.lost.clone().filter(is_hit);
            state.writes_lost += u64::from(lost.is_some());
            lost
        };
        let Some(lost) = lost else {
            return Some(self.commit(&body));
        };
        let store = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(lost.late);
            store.commit(&body);
        });
        None
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let (expected, puts) = (body.get("expected").list(), body.get("putItems").list());
        let removes = body.get("deleteKeys").list();
        let is_own = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| is_own(put.get("key").text())) {
            return (403, "{}".to_owned());
        }
        let is_large = |put: &Json| put.get("value").text().len() / 4 * 3 > VALUE_BYTES + 2;
        if puts.iter().any(is_large) || expected.len() + puts.len() + removes.len() > ENTRIES {
            state.refused_large += 1;
            return (400, "{}".to_owned());
        }
        let is_met =
            |row: &Json| state.revision_of(row.get("key").text()) == row.get("revision").number();
        if !expected.iter().all(is_met) {
            let held = expected.iter().map(|row| row.get("key").text());
            let held = held.filter(|key| state.items.contains_key(*key));
            let items: Vec<String> = held.map(|key| state.shown(key)).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let leases = puts.iter().map(|put| put.get("lease").number());
        if leases
            .filter(|lease| *lease > 0)
            .any(|lease| !state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            let lease = put.get("lease").number();
            state.put(put.get("key").text(), put.get("value").text(), lease);
        }
        for key in removes {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}
