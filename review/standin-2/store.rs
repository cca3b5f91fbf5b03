//! The platform's store. Each host calls it at an address of its own, so that the
//! platform can tell who has renewed a lease last.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::ops::Bound;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, base64, quote};

/// Time of an answer, as the site files say.
const LATENCY: Duration = Duration::from_millis(4);

/// Largest page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// Largest value (`valueBytes`).
const VALUE_BYTES: usize = 1 << 20;

/// Calls of all hosts together in a second, as the site files say.
const WRITES_PER_S: u32 = 400;
const READS_PER_S: u32 = 2000;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Keys that were written with a lease.
    leased: BTreeMap<u64, Vec<String>>,
    renewed_by: Option<usize>,
    window: Instant,
    writes: u32,
    reads: u32,
    refused: u64,
    /// Transactions with a value that is too large.
    oversized: u64,
}

#[derive(Clone)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    pub fn new() -> Self {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            leased: BTreeMap::new(),
            renewed_by: None,
            window: Instant::now(),
            writes: 0,
            reads: 0,
            refused: 0,
            oversized: 0,
        };
        let store = Self(Arc::new(Mutex::new(state)));
        let expiry = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiry.expire();
            }
        });
        store
    }

    /// Opens an address for one host.
    pub fn open(&self, host: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        http::serve(listener, move |request| store.answer(host, &request));
        address
    }

    /// Writes as the operator, a worker or an earlier day does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.lock().expect("lock");
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
    }

    /// Removes a key, as at the end of a worker.
    pub fn remove(&self, key: &str) {
        let mut state = self.0.lock().expect("lock");
        state.revision += 1;
        state.remove(key);
    }

    /// Writes keys with one encoded value, as the system did in earlier hours.
    pub fn put_all(&self, keys: impl Iterator<Item = String>, value: &str) {
        let mut state = self.0.lock().expect("lock");
        for key in keys {
            state.revision += 1;
            state.put(&key, value, 0);
        }
    }

    /// Keys that end with a text, and their encoded values.
    pub fn find(&self, end: &str) -> Vec<(String, String)> {
        let state = self.0.lock().expect("lock");
        let rows = state.items.iter().filter(|row| row.0.ends_with(end));
        rows.map(|row| (row.0.clone(), row.1.value.clone()))
            .collect()
    }

    /// Host that has renewed a lease last.
    pub fn renewed_by(&self) -> Option<usize> {
        self.0.lock().expect("lock").renewed_by
    }

    /// Numbers of keys, of calls refused for the rate, and of transactions refused for a value
    /// beyond `valueBytes`.
    pub fn counts(&self) -> (usize, u64, u64) {
        let state = self.0.lock().expect("lock");
        (state.items.len(), state.refused, state.oversized)
    }

    fn expire(&self) {
        let mut state = self.0.lock().expect("lock");
        let now = Instant::now();
        let rows = state.leases.iter().filter(|row| row.1.0 <= now);
        let ended: Vec<u64> = rows.map(|row| *row.0).collect();
        for lease in ended {
            state.end_lease(lease);
        }
    }

    fn answer(&self, host: usize, request: &Request) -> Answer {
        std::thread::sleep(LATENCY);
        if request.path == "/kv-watch" {
            return Some(self.watch(request));
        }
        let mut state = self.0.lock().expect("lock");
        if let Some(id) = request.path.strip_prefix("/kv-keep/") {
            let lease = state.leases.get_mut(&id.parse().unwrap_or(0));
            let Some((until, length)) = lease else {
                return Some((404, "{}".to_owned()));
            };
            *until = Instant::now() + *length;
            state.renewed_by = Some(host);
            return Some((200, "{}".to_owned()));
        }
        let is_read = request.method == "GET";
        if !state.admits(is_read) {
            state.refused += 1;
            return Some((429, "{}".to_owned()));
        }
        if let Some(id) = request.path.strip_prefix("/kv-lease-end/") {
            state.end_lease(id.parse().unwrap_or(0));
            return Some((200, "{}".to_owned()));
        }
        Some(match request.path.as_str() {
            "/kv-key" => match state.items.get(request.query("key")) {
                Some(item) => (200, entry(request.query("key"), item)),
                None => (404, "{}".to_owned()),
            },
            "/kv-range" => state.range(request),
            "/kv-lease" => {
                let ttl = request
                    .body
                    .number("ttlMs")
                    .unwrap_or(1000)
                    .clamp(1000, 600_000);
                state.revision += 1;
                let (lease, length) = (state.revision, Duration::from_millis(ttl));
                state
                    .leases
                    .insert(lease, (Instant::now() + length, length));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            "/kv-txn" => state.commit(&request.body),
            _ => (400, "{}".to_owned()),
        })
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let number = |name| request.query(name).parse::<u64>().unwrap_or(0);
        let (after, prefix) = (number("after"), request.query("pathPrefix"));
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        loop {
            {
                let state = self.0.lock().expect("lock");
                let first = state.history.partition_point(|row| row.0 <= after);
                let rows = state.history[first..]
                    .iter()
                    .filter(|row| row.1.starts_with(prefix));
                let events: Vec<String> = rows
                    .map(|(revision, key, item)| match item {
                        Some(item) => entry(key, item),
                        None => format!(
                            "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
                            quote(key)
                        ),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let list = events.join(",");
                    let at = state.revision;
                    return (200, format!("{{\"events\":[{list}],\"atRevision\":{at}}}"));
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }
}

impl State {
    fn admits(&mut self, is_read: bool) -> bool {
        if self.window.elapsed() >= Duration::from_secs(1) {
            (self.window, self.writes, self.reads) = (Instant::now(), 0, 0);
        }
        let (count, most) = if is_read {
            (&mut self.reads, READS_PER_S)
        } else {
            (&mut self.writes, WRITES_PER_S)
        };
        *count += 1;
        *count <= most
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        if lease > 0 {
            self.leased.entry(lease).or_default().push(key.to_owned());
        }
        let (value, revision) = (value.to_owned(), self.revision);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        for key in self.leased.remove(&lease).unwrap_or_default() {
            if self.items.get(&key).is_some_and(|item| item.lease == lease) {
                self.remove(&key);
            }
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let begin = if after.is_empty() {
            Bound::Included(prefix.to_owned())
        } else {
            Bound::Excluded(after.to_owned())
        };
        let rows = self.items.range((begin, Bound::Unbounded));
        let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in rows.take_while(|row| row.0.starts_with(prefix)) {
            if page.len() == PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let text = entry(key, item);
            bytes += text.len();
            page.push(text);
        }
        let (list, at) = (page.join(","), self.revision);
        let body = format!("{{\"items\":[{list}],\"morePages\":{more},\"atRevision\":{at}}}");
        (200, body)
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let expected = body.list("expected");
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| row.number("revision") == Some(revision(row.text("key")));
        if !expected.iter().all(holds) {
            let rows = expected.iter().filter_map(|row| {
                let key = row.text("key");
                self.items.get(key).map(|item| entry(key, item))
            });
            let list = rows.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{list}]}}"));
        }
        let size = |row: &Json| row.text("value").len() / 4 * 3;
        if body
            .list("putItems")
            .iter()
            .any(|row| size(row) > VALUE_BYTES + 2)
        {
            self.oversized += 1;
            return (400, "{}".to_owned());
        }
        let lease = |row: &Json| row.number("lease").unwrap_or(0);
        let is_known = |row: &Json| lease(row) == 0 || self.leases.contains_key(&lease(row));
        if !body.list("putItems").iter().all(is_known) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for row in body.list("putItems") {
            self.put(row.text("key"), row.text("value"), lease(row));
        }
        for row in body.list("deleteKeys") {
            if let Json::Text(key) = row {
                self.remove(key);
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn entry(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}
