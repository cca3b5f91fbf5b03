//! The stand-ins of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::try_join_all;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use verbenahitch::port::{Clock, HostRecord, SystemClock};

use super::control;
use crate::fault::{Fault, Faults};
use crate::history::WorkerHistory;
use crate::hosts::{self, Hosts};
use crate::server::{Server, StartError};
use crate::store::{self, Store};
use crate::worker::{self, Worker};

/// Which stand-ins to start, at which addresses and with which settings.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Address of the control port.
    pub control: SocketAddr,
    /// Address and settings of the store; `None` starts no store.
    pub store: Option<(SocketAddr, store::Settings)>,
    /// Address and settings of the worker list; `None` starts no list.
    pub hosts: Option<(SocketAddr, hosts::Settings)>,
    /// Settings of each worker.
    pub workers: Vec<worker::Settings>,
    /// Availability zones whose callers get separate addresses, so that they can
    /// be cut off. The worker list shows each zone its own addresses of the workers.
    pub zones: Vec<String>,
}

impl Parts {
    /// Store, worker list and workers on free loopback ports.
    pub fn new(workers: Vec<worker::Settings>) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            control: free,
            store: Some((free, store::Settings::default())),
            hosts: Some((free, hosts::Settings::default())),
            workers,
            zones: Vec::new(),
        }
    }
}

/// Addresses of the stand-ins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Addresses {
    /// Control port.
    pub control: SocketAddr,
    /// Store, if there is one.
    pub store: Option<SocketAddr>,
    /// Worker list, if there is one.
    pub hosts: Option<SocketAddr>,
    /// Workers as the worker list shows them.
    pub workers: Vec<HostRecord>,
    /// Addresses for the callers of each availability zone with separate ones.
    #[serde(default)]
    pub zones: BTreeMap<String, ZoneAddresses>,
}

/// Addresses of the platform for the callers of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ZoneAddresses {
    /// Store, if there is one.
    pub store: Option<SocketAddr>,
    /// Worker list, if there is one.
    pub hosts: Option<SocketAddr>,
}

/// Why the stand-ins did not start.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// A stand-in did not start.
    #[snafu(display("{part}: {source}"))]
    Start {
        /// Stand-in that did not start.
        part: String,
        /// Cause.
        source: StartError,
    },
}

/// Running stand-ins and their control port; stop when dropped.
pub struct Platform {
    stand_ins: Arc<StandIns>,
    control: Server,
}

/// Running stand-ins.
pub(super) struct StandIns {
    pub(super) store: Option<Store>,
    pub(super) hosts: Option<Hosts>,
    pub(super) workers: Vec<Worker>,
    zones: Vec<String>,
}

impl Platform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// When one of them does not start.
    pub async fn start(parts: Parts) -> Result<Self, PlatformError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let zones = &parts.zones;
        let mut stand_ins = StandIns {
            store: None,
            hosts: None,
            workers: start_workers(parts.workers, zones, &clock).await?,
            zones: zones.clone(),
        };
        if let Some((address, settings)) = parts.store {
            let store = Store::with_clock(address, zones, settings, Arc::clone(&clock)).await;
            stand_ins.store = Some(store.context(StartSnafu { part: "store" })?);
        }
        if let Some((address, settings)) = parts.hosts {
            let hosts = Hosts::with_clock(address, zones, settings, clock).await;
            stand_ins.hosts = Some(hosts.context(StartSnafu {
                part: "worker list",
            })?);
        }
        stand_ins.list_workers();
        let stand_ins = Arc::new(stand_ins);
        let mounted = Arc::clone(&stand_ins);
        let mount = Arc::new(move |rocket| control::mount(rocket, Arc::clone(&mounted)));
        let control = Server::start(parts.control, mount).await;
        let control = control.context(StartSnafu {
            part: "control port",
        })?;
        Ok(Self { stand_ins, control })
    }

    /// Addresses of the stand-ins.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            control: self.control.address(),
            store: self.stand_ins.store.as_ref().map(Store::address),
            hosts: self.stand_ins.hosts.as_ref().map(Hosts::address),
            workers: self.stand_ins.workers.iter().map(Worker::record).collect(),
            zones: self.stand_ins.zone_addresses(),
        }
    }

    /// Store.
    ///
    /// # Panics
    ///
    /// When the platform runs without one.
    pub fn store(&self) -> &Store {
        self.stand_ins
            .store
            .as_ref()
            .expect("the platform runs a store")
    }

    /// Worker list.
    ///
    /// # Panics
    ///
    /// When the platform runs without one.
    pub fn hosts(&self) -> &Hosts {
        self.stand_ins
            .hosts
            .as_ref()
            .expect("the platform runs a worker list")
    }

    /// All workers.
    pub fn workers(&self) -> &[Worker] {
        &self.stand_ins.workers
    }

    /// Worker of the given name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.stand_ins.worker(name)
    }

    /// Simulates a network partition of `zone`: cuts its callers off from the
    /// platform and from the other zones' workers, and the other zones' callers
    /// off from its workers.
    pub fn cut_zone(&self, zone: &str) {
        self.stand_ins.cut_zone(zone);
    }

    /// Ends all partitions.
    pub fn mend(&self) {
        self.stand_ins.mend();
    }

    /// Runs and requests of every worker so far.
    pub fn histories(&self) -> Vec<WorkerHistory> {
        self.stand_ins.histories()
    }
}

impl StandIns {
    pub(super) fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.iter().find(|worker| worker.name() == name)
    }

    pub(super) fn histories(&self) -> Vec<WorkerHistory> {
        self.workers.iter().map(Worker::history).collect()
    }

    pub(super) fn cut_zone(&self, zone: &str) {
        let cut = |zone: &str| Fault::Cut {
            zone: Some(zone.to_owned()),
        };
        for faults in self.platform_faults() {
            faults.apply(cut(zone));
        }
        for worker in &self.workers {
            let is_inside = worker.zone() == zone;
            let cut_off = |caller: &&String| (caller.as_str() == zone) != is_inside;
            for caller in self.zones.iter().filter(cut_off) {
                worker.control_faults().apply(cut(caller));
                worker.upstream_faults().apply(cut(caller));
            }
        }
    }

    pub(super) fn mend(&self) {
        let workers = self.workers.iter();
        let workers =
            workers.flat_map(|worker| [worker.control_faults(), worker.upstream_faults()]);
        for faults in self.platform_faults().chain(workers) {
            faults.apply(Fault::Mend);
        }
    }

    fn platform_faults(&self) -> impl Iterator<Item = &Faults> {
        let store = self.store.iter().map(Store::faults);
        store.chain(self.hosts.iter().map(Hosts::faults))
    }

    fn zone_addresses(&self) -> BTreeMap<String, ZoneAddresses> {
        let addresses = |zone: &String| ZoneAddresses {
            store: self.store.as_ref().map(|store| store.address_for(zone)),
            hosts: self.hosts.as_ref().map(|hosts| hosts.address_for(zone)),
        };
        let zones = self.zones.iter();
        zones.map(|zone| (zone.clone(), addresses(zone))).collect()
    }

    fn list_workers(&self) {
        let Some(hosts) = &self.hosts else {
            return;
        };
        for worker in &self.workers {
            hosts.show(worker.record());
            for zone in &self.zones {
                hosts.set_view(zone, &worker.record_for(Some(zone)));
            }
        }
    }
}

async fn start_workers(
    settings: Vec<worker::Settings>,
    zones: &[String],
    clock: &Arc<dyn Clock>,
) -> Result<Vec<Worker>, PlatformError> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let each = settings.into_iter().map(async |settings| {
        let part = settings.name.clone();
        Worker::with_clock(free, free, zones, settings, Arc::clone(clock))
            .await
            .context(StartSnafu { part })
    });
    try_join_all(each).await
}
