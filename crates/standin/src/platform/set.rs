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

/// Which stand-ins to start, and where.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Address of the control port.
    pub control: SocketAddr,
    /// Address and setup of the store, if one is wanted.
    pub store: Option<(SocketAddr, store::Settings)>,
    /// Address and setup of the list, if one is wanted.
    pub hosts: Option<(SocketAddr, hosts::Settings)>,
    /// Setup of each worker.
    pub workers: Vec<worker::Settings>,
    /// Availability zones whose callers get addresses of their own, so that they
    /// can be cut off. The list shows each zone its own addresses of the workers.
    pub zones: Vec<String>,
}

impl Parts {
    /// Store, list and workers on free loopback ports.
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

/// Where the stand-ins are reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Addresses {
    /// Control port.
    pub control: SocketAddr,
    /// Store, if there is one.
    pub store: Option<SocketAddr>,
    /// List of workers, if there is one.
    pub hosts: Option<SocketAddr>,
    /// Workers as the list shows them.
    pub workers: Vec<HostRecord>,
    /// Addresses for the callers of each availability zone that has its own.
    #[serde(default)]
    pub zones: BTreeMap<String, ZoneAddresses>,
}

/// Where the callers of one availability zone reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ZoneAddresses {
    /// Store, if there is one.
    pub store: Option<SocketAddr>,
    /// List of workers, if there is one.
    pub hosts: Option<SocketAddr>,
}

/// Why a set of stand-ins did not start.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// A stand-in did not start.
    #[snafu(display("{part}: {source}"))]
    Start {
        /// Stand-in.
        part: String,
        /// Cause.
        source: StartError,
    },
}

/// Running stand-ins with their control port; stop when dropped.
pub struct Platform {
    set: Arc<Set>,
    control: Server,
}

/// Running stand-ins.
pub(super) struct Set {
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
        let mut set = Set {
            store: None,
            hosts: None,
            workers: start_workers(parts.workers, zones, &clock).await?,
            zones: zones.clone(),
        };
        if let Some((address, settings)) = parts.store {
            let store = Store::with_clock(address, zones, settings, Arc::clone(&clock)).await;
            set.store = Some(store.context(StartSnafu { part: "store" })?);
        }
        if let Some((address, settings)) = parts.hosts {
            let hosts = Hosts::with_clock(address, zones, settings, clock).await;
            set.hosts = Some(hosts.context(StartSnafu { part: "list" })?);
        }
        set.list_workers();
        let set = Arc::new(set);
        let mounted = Arc::clone(&set);
        let mount = Arc::new(move |rocket| control::mount(rocket, Arc::clone(&mounted)));
        let control = Server::start(parts.control, mount).await;
        let control = control.context(StartSnafu { part: "control" })?;
        Ok(Self { set, control })
    }

    /// Where the stand-ins are reached.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            control: self.control.address(),
            store: self.set.store.as_ref().map(Store::address),
            hosts: self.set.hosts.as_ref().map(Hosts::address),
            workers: self.set.workers.iter().map(Worker::record).collect(),
            zones: self.set.zone_addresses(),
        }
    }

    /// Store.
    ///
    /// # Panics
    ///
    /// When the set has none.
    pub fn store(&self) -> &Store {
        self.set.store.as_ref().expect("the set has a store")
    }

    /// List of workers.
    ///
    /// # Panics
    ///
    /// When the set has none.
    pub fn hosts(&self) -> &Hosts {
        self.set.hosts.as_ref().expect("the set has a list")
    }

    /// All workers.
    pub fn workers(&self) -> &[Worker] {
        &self.set.workers
    }

    /// Worker of the given name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.set.worker(name)
    }

    /// Cuts the callers of `zone` off from the platform and all other zones'
    /// workers, and the other zones' callers off from its workers.
    pub fn cut_zone(&self, zone: &str) {
        self.set.cut_zone(zone);
    }

    /// Ends all cuts.
    pub fn mend(&self) {
        self.set.mend();
    }

    /// What every worker did so far.
    pub fn histories(&self) -> Vec<WorkerHistory> {
        self.set.histories()
    }
}

impl Set {
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
            let from_here = worker.zone() == zone;
            let cut_off = |caller: &&String| (caller.as_str() == zone) != from_here;
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
                hosts.show_for(zone, &worker.record_for(Some(zone)));
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
