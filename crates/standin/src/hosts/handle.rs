//! Handle of a running worker list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::port::{Clock, HostRecord, HostState, SystemClock};

use super::route;
use crate::fault::Faults;
use crate::server::{Endpoints, StartError};

/// Settings of a worker list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Settings {
    /// Name of the listed service.
    pub service: String,
    /// Delay before a change becomes visible, in milliseconds.
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

/// A running worker list; stops when dropped.
pub struct Hosts {
    inner: Arc<Inner>,
    endpoints: Endpoints,
    faults: Faults,
}

/// State shared with the routes.
pub(super) struct Inner {
    pub(super) settings: Settings,
    clock: Arc<dyn Clock>,
    list: Mutex<List>,
}

#[derive(Default)]
struct List {
    visible: BTreeMap<String, HostRecord>,
    /// Changes that are not visible yet, with the time when they become so.
    pending: VecDeque<(Monotonic, Change)>,
    /// Views by the callers' zone and the worker's name.
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
    /// Starts a worker list that all callers reach at `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, StartError> {
        Self::with_clock(address, &[], settings, Arc::new(SystemClock::default())).await
    }

    /// Starts a worker list whose lag is timed by `clock`, with a separate address
    /// for each of `zones`.
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
        let endpoints = Endpoints::start(address, zones, &faults, mount).await?;
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

    /// Closes all ports.
    pub fn stop(&self) {
        self.endpoints.stop();
    }

    /// Opens all ports again.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn resume(&self) -> Result<(), StartError> {
        self.endpoints.resume().await
    }

    /// Adds or replaces a worker without the lag.
    pub fn show(&self, record: HostRecord) {
        let mut list = self.inner.list();
        list.visible.insert(record.name.clone(), record);
    }

    /// Sets separate addresses at which the callers of `zone` reach a worker.
    pub fn set_view(&self, zone: &str, record: &HostRecord) {
        let view = View {
            control: record.control.clone(),
            upstream: record.upstream.clone(),
        };
        let key = (zone.to_owned(), record.name.clone());
        self.inner.list().views.insert(key, view);
    }

    /// Adds or replaces a worker; visible after the lag.
    pub fn put(&self, record: HostRecord) {
        self.inner.change(Change::Put(record));
    }

    /// Changes the state of a worker; visible after the lag.
    pub fn set_state(&self, worker: &str, state: HostState) {
        self.inner.change(Change::State(worker.to_owned(), state));
    }
}

impl Inner {
    /// Workers as the list now shows them to the callers of `zone`; `None` for the shared address.
    pub(super) fn visible(&self, zone: Option<&str>) -> Vec<HostRecord> {
        let now = self.clock.now();
        let mut list = self.list();
        list.apply_due(now);
        let records = list.visible.values();
        records
            .map(|record| list.record_for(zone, record))
            .collect()
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
    fn record_for(&self, zone: Option<&str>, record: &HostRecord) -> HostRecord {
        let key = zone.map(|zone| (zone.to_owned(), record.name.clone()));
        let view = key.and_then(|key| self.views.get(&key)).cloned();
        let shared = || View {
            control: record.control.clone(),
            upstream: record.upstream.clone(),
        };
        let View { control, upstream } = view.unwrap_or_else(shared);
        HostRecord {
            control,
            upstream,
            ..record.clone()
        }
    }

    fn apply_due(&mut self, now: Monotonic) {
        let due = self.pending.partition_point(|(due, _)| *due <= now);
        for (_, change) in self.pending.drain(..due) {
            match change {
                Change::Put(record) => {
                    self.visible.insert(record.name.clone(), record);
                }
                Change::State(worker, state) => {
                    if let Some(record) = self.visible.get_mut(&worker) {
                        record.state = state;
                    }
                }
            }
        }
    }
}
