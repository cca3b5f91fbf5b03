//! Handle of a running store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::port::{Clock, SystemClock};

use super::calls::{CallKind, Calls, Limits, TokenBucket};
use super::route;
use super::state::State;
use crate::fault::Faults;
use crate::server::{Endpoints, StartError};

/// Interval between checks for lapsed sessions, in milliseconds.
const EXPIRY_INTERVAL_MS: Millis = 20;

/// Settings of a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Settings {
    /// Rate limits.
    pub limits: Limits,
    /// Maximum size of a value, in bytes.
    pub value_limit: usize,
    /// Maximum number of operations in a transaction.
    pub txn_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            value_limit: 1 << 20,
            txn_limit: 128,
        }
    }
}

/// A running store; stops when dropped.
pub struct Store {
    inner: Arc<Inner>,
    endpoints: Endpoints,
    faults: Faults,
}

/// State shared with the routes.
pub(super) struct Inner {
    pub(super) settings: Settings,
    data: Mutex<Data>,
    /// Index of the newest change, for waiting watches.
    changed: watch::Sender<u64>,
    clock: Arc<dyn Clock>,
}

struct Data {
    state: State,
    calls: Calls,
    reads: TokenBucket,
    writes: TokenBucket,
    limits: Limits,
    down_since: Option<Monotonic>,
    /// Duration of past downtimes, which the sessions' clock leaves out.
    down_ms: Millis,
}

/// Why a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    Down,
    Limited,
}

impl Store {
    /// Starts a store that all callers reach at `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, StartError> {
        Self::with_clock(address, &[], settings, Arc::new(SystemClock::default())).await
    }

    /// Starts a store whose sessions are timed by `clock`, with a separate
    /// address for each of `zones`.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn with_clock(
        address: SocketAddr,
        zones: &[String],
        settings: Settings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, StartError> {
        let inner = Arc::new(Inner::new(settings, clock));
        let faults = Faults::default();
        let mounted = Arc::clone(&inner);
        let mount =
            Arc::new(move |rocket, _: Option<&str>| route::mount(rocket, Arc::clone(&mounted)));
        let endpoints = Endpoints::start(address, zones, &faults, mount).await?;
        tokio::spawn(expire_sessions(Arc::downgrade(&inner)));
        Ok(Self {
            inner,
            endpoints,
            faults,
        })
    }

    /// Address that all callers may use.
    pub fn address(&self) -> SocketAddr {
        self.endpoints.address(None)
    }

    /// Address for the callers of `zone`.
    pub fn address_for(&self, zone: &str) -> SocketAddr {
        self.endpoints.address(Some(zone))
    }

    /// Fault controls.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Closes all ports and pauses the sessions' clock.
    pub fn stop(&self) {
        self.set_down(true);
        self.endpoints.stop();
    }

    /// Opens all ports again and resumes the sessions' clock.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn resume(&self) -> Result<(), StartError> {
        self.endpoints.resume().await?;
        self.set_down(false);
        Ok(())
    }

    /// Sets whether every call is answered with an error; the sessions' clock pauses meanwhile.
    pub fn set_down(&self, down: bool) {
        self.inner.set_down(down);
    }

    /// Number of calls so far, by kind.
    pub fn calls(&self) -> Calls {
        self.inner.data().calls
    }

    /// Changes the rate limits.
    pub fn set_limits(&self, limits: Limits) {
        self.inner.data().limits = limits;
    }

    /// Value of a key, bypassing fault injection and counters.
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        self.inner.data().state.key(key).map(|kv| kv.value.clone())
    }

    /// Keys under a prefix, bypassing fault injection and counters.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let data = self.inner.data();
        data.state
            .with_prefix(prefix)
            .map(|(key, _)| key.clone())
            .collect()
    }
}

impl Inner {
    fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let data = Data {
            state: State::default(),
            calls: Calls::default(),
            reads: TokenBucket::default(),
            writes: TokenBucket::default(),
            limits: settings.limits,
            down_since: None,
            down_ms: 0,
        };
        Self {
            settings,
            data: Mutex::new(data),
            changed: watch::channel(0).0,
            clock,
        }
    }

    /// Counts a call against the limits of its kind; rejects it if it exceeds them.
    pub(super) fn admit(&self, kind: CallKind) -> Result<(), Rejection> {
        let now = self.clock.now();
        let mut data = self.data();
        if data.down_since.is_some() {
            return Err(Rejection::Down);
        }
        let limits = data.limits;
        let is_admitted = match kind {
            CallKind::Read | CallKind::Watch => data.reads.take(limits.reads, now),
            _ => data.writes.take(limits.writes, now),
        };
        if !is_admitted {
            data.calls.limited += 1;
            return Err(Rejection::Limited);
        }
        data.calls.count(kind);
        Ok(())
    }

    /// Runs `act` on the state without its lapsed sessions, and wakes the watches after a change.
    pub(super) fn with_state<T>(&self, act: impl FnOnce(&mut State, Monotonic) -> T) -> T {
        let now = self.clock.now();
        let mut data = self.data();
        let now = data.session_time(now);
        data.state.expire(now);
        let result = act(&mut data.state, now);
        let index = data.state.index();
        drop(data);
        self.changed.send_if_modified(|newest| {
            let is_newer = index > *newest;
            *newest = index.max(*newest);
            is_newer
        });
        result
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn set_down(&self, down: bool) {
        let now = self.clock.now();
        let mut data = self.data();
        if down {
            data.down_since.get_or_insert(now);
        } else if let Some(since) = data.down_since.take() {
            data.down_ms += now.since(since);
        }
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Data {
    fn session_time(&self, now: Monotonic) -> Monotonic {
        self.down_since.unwrap_or(now) - self.down_ms
    }
}

async fn expire_sessions(inner: Weak<Inner>) {
    let mut interval = tokio::time::interval(Duration::from_millis(EXPIRY_INTERVAL_MS));
    loop {
        interval.tick().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        inner.with_state(|_, _| ());
    }
}
