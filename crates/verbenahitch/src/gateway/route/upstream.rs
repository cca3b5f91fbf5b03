//! State of one upstream in this gateway: its slots in use, its health, and the
//! client that holds its connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::Client;
use reqwest::redirect::Policy;

use crate::domain::{Millis, Monotonic};
use crate::gateway::admission::SlotSignal;
use crate::port::HostRecord;

use super::health::Health;
use super::limit::Limit;
use super::table::RoutingConfig;

/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: Millis = 10_000;
/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: Millis = 500;

/// State of one upstream; successive routing tables share it.
#[derive(Debug)]
pub struct Upstream {
    /// Number that is unique in this process.
    pub id: u32,
    /// Name of its worker.
    pub name: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Adaptive limit of requests in progress from this gateway.
    pub limit: Limit,
    /// Failures and ejection.
    pub health: Health,
    in_flight: AtomicU32,
    leaving: AtomicBool,
    closed: AtomicBool,
    client: ArcSwap<Client>,
    silence_ms: Millis,
    slot_signal: Arc<SlotSignal>,
}

impl Upstream {
    /// Creates the state of a newly listed upstream.
    pub fn new(id: u32, record: &HostRecord, config: &RoutingConfig) -> Self {
        Self {
            id,
            name: record.name.clone(),
            address: record.upstream.clone(),
            limit: Limit::new(record.slots),
            health: Health::default(),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            client: ArcSwap::from_pointee(build_client(config.silence_ms)),
            silence_ms: config.silence_ms,
            slot_signal: Arc::clone(&config.slot_signal),
        }
    }

    /// Requests in progress from this gateway.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether a larger share of the limit is free than at `other`.
    ///
    /// Compares limits rather than slots, since the limit accounts for the slots
    /// that other gateways use.
    pub fn is_less_busy(&self, other: &Self) -> bool {
        let after = |upstream: &Self| u64::from(upstream.in_flight() + 1);
        let limit = |upstream: &Self| u64::from(upstream.limit.scaled());
        after(self) * limit(other) < after(other) * limit(self)
    }

    /// Whether the upstream may get a request at `now`.
    pub fn is_open(&self, now: Monotonic) -> bool {
        !self.is_leaving() && self.in_flight() < self.allowed(now)
    }

    /// Takes a slot, unless none is free at `now`.
    pub fn try_take(self: &Arc<Self>, now: Monotonic) -> Option<Slot> {
        if self.is_leaving() {
            return None;
        }
        let allowed = self.allowed(now);
        self.in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |taken| {
                (taken < allowed).then_some(taken + 1)
            })
            .ok()?;
        Some(Slot {
            upstream: Arc::clone(self),
        })
    }

    /// Whether the upstream has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records that the upstream is leaving; true if it was not known before.
    pub fn note_leaving(&self) -> bool {
        self.closed.store(false, Ordering::Relaxed);
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Records that the upstream's port is closed.
    pub fn note_closed(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Records that the upstream's port accepts connections; true if a leaving upstream has
    /// returned.
    pub fn note_listening(&self) -> bool {
        if !self.closed.swap(false, Ordering::Relaxed) {
            return false;
        }
        self.leaving.swap(false, Ordering::Relaxed)
    }

    /// Client that holds the upstream's connections.
    pub fn client(&self) -> Arc<Client> {
        self.client.load_full()
    }

    /// Replaces the client `expected` and its connections; requests in progress keep theirs.
    ///
    /// True if `expected` was still the current client, so that many requests on
    /// one stalled connection pool retire it once.
    pub fn retire(&self, expected: &Arc<Client>) -> bool {
        if !Arc::ptr_eq(&self.client.load(), expected) {
            return false;
        }
        let fresh = Arc::new(build_client(self.silence_ms));
        let found = self.client.compare_and_swap(expected, fresh);
        Arc::ptr_eq(&found, expected)
    }

    fn allowed(&self, now: Monotonic) -> u32 {
        self.health.allowed(now, self.limit.current())
    }
}

/// One request in progress at an upstream; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    upstream: Arc<Upstream>,
}

impl Slot {
    /// Upstream of the slot.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.upstream.slot_signal.notify();
    }
}

fn build_client(silence_ms: Millis) -> Client {
    Client::builder()
        .http1_only()
        .no_proxy()
        // A redirect or retry within the client would send a request a second
        // time without the gateway's knowledge.
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .referer(false)
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .tcp_keepalive(Duration::from_millis(silence_ms))
        .tcp_user_timeout(Duration::from_millis(silence_ms))
        .build()
        .expect("a client without TLS and proxies always builds")
}
