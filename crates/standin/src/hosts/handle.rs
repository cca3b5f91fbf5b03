//! Handle of a running list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::port::{Clock, HostRecord, HostState, SystemClock};

use super::route;
use crate::fault::Faults;
use crate::server::{Doors, StartError};

/// How a list is set up.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Settings {
    /// Name of the listed service.
    pub service: String,
    /// Time before a change shows, in milliseconds.
    pub lag_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: "worker".to_owned(),
            lag_ms: 0,
        }
    }
}

/// A running list; stops when dropped.
pub struct Hosts {
    inner: Arc<Inner>,
    doors: Doors,
    faults: Faults,
}

/// State behind the routes.
pub(super) struct Inner {
    pub(super) settings: Settings,
    clock: Arc<dyn Clock>,
    list: Mutex<List>,
}

#[derive(Default)]
struct List {
    shown: BTreeMap<String, HostRecord>,
    pending: VecDeque<(Monotonic, Change)>,
    /// Addresses by the callers' zone and the worker's name.
    views: BTreeMap<(String, String), View>,
}

/// Addresses of a worker for the callers of one zone.
#[derive(Clone)]
struct View {
    control: String,
    upstream: String,
}

enum Change {
    Put(HostRecord),
    State(String, HostState),
}

impl Hosts {
    /// Starts a list that all callers reach at `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, StartError> {
        Self::with_clock(address, &[], settings, Arc::new(SystemClock::default())).await
    }

    /// Starts a list whose changes show by `clock`, with a further address for each of `zones`.
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
        let inner = Arc::new(Inner {
            settings,
            clock,
            list: Mutex::default(),
        });
        let faults = Faults::default();
        let mounted = Arc::clone(&inner);
        let mount = Arc::new(move |rocket, zone: Option<&str>| {
            route::mount(rocket, Arc::clone(&mounted), zone)
        });
        let doors = Doors::start(address, zones, &faults, mount).await?;
        Ok(Self {
            inner,
            doors,
            faults,
        })
    }

    /// Address that all callers may use.
    pub fn address(&self) -> SocketAddr {
        self.doors.address(None)
    }

    /// Address for the callers of `zone`.
    pub fn address_for(&self, zone: &str) -> SocketAddr {
        self.doors.address(Some(zone))
    }

    /// Fault controls.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Closes all addresses.
    pub fn stop(&self) {
        self.doors.stop();
    }

    /// Opens all addresses again.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn resume(&self) -> Result<(), StartError> {
        self.doors.resume().await
    }

    /// Shows a worker, without lag.
    pub fn show(&self, record: HostRecord) {
        let mut list = self.inner.list();
        list.shown.insert(record.name.clone(), record);
    }

    /// Addresses at which the callers of `zone` reach a worker, instead of the common ones.
    pub fn show_for(&self, zone: &str, record: &HostRecord) {
        let view = View {
            control: record.control.clone(),
            upstream: record.upstream.clone(),
        };
        let key = (zone.to_owned(), record.name.clone());
        self.inner.list().views.insert(key, view);
    }

    /// Adds or replaces a worker, which shows after the lag.
    pub fn put(&self, record: HostRecord) {
        self.inner.change(Change::Put(record));
    }

    /// Changes the state of a worker, which shows after the lag.
    pub fn set_state(&self, worker: &str, state: HostState) {
        self.inner.change(Change::State(worker.to_owned(), state));
    }
}

impl Inner {
    /// Workers as the list shows them now to the callers of a zone, or to all.
    pub(super) fn shown(&self, zone: Option<&str>) -> Vec<HostRecord> {
        let now = self.clock.now();
        let mut list = self.list();
        list.catch_up(now);
        let records = list.shown.values();
        records.map(|record| list.seen_from(zone, record)).collect()
    }

    fn change(&self, change: Change) {
        let due = self.clock.now() + self.settings.lag_ms;
        self.list().pending.push_back((due, change));
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl List {
    fn seen_from(&self, zone: Option<&str>, record: &HostRecord) -> HostRecord {
        let key = zone.map(|zone| (zone.to_owned(), record.name.clone()));
        let view = key.and_then(|key| self.views.get(&key)).cloned();
        let common = || View {
            control: record.control.clone(),
            upstream: record.upstream.clone(),
        };
        let View { control, upstream } = view.unwrap_or_else(common);
        HostRecord {
            control,
            upstream,
            ..record.clone()
        }
    }

    fn catch_up(&mut self, now: Monotonic) {
        let due = self.pending.partition_point(|(due, _)| *due <= now);
        for (_, change) in self.pending.drain(..due) {
            match change {
                Change::Put(record) => {
                    self.shown.insert(record.name.clone(), record);
                }
                Change::State(worker, state) => {
                    if let Some(record) = self.shown.get_mut(&worker) {
                        record.state = state;
                    }
                }
            }
        }
    }
}
