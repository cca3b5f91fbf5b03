//! The stand-ins of one process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::try_join_all;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use verbenahitch::port::{Clock, HostRecord, SystemClock};

use super::control;
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
    /// Availability zones whose callers get addresses of their own, so that
    /// they can be cut off; those of the workers are the ones of the common address
    /// in the list unless read through a zone's address.
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
    /// Addresses for the callers of each availability zone, which can be cut off.
    #[serde(default)]
    pub doors: BTreeMap<String, ZoneDoors>,
}

/// Addresses for the callers of one availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ZoneDoors {
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
    zones: Vec<String>,
    set: Arc<Set>,
    control: Server,
}

/// Running stand-ins.
pub(super) struct Set {
    pub(super) store: Option<Store>,
    pub(super) hosts: Option<Hosts>,
    pub(super) workers: Vec<Worker>,
}

impl Platform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// When one of them does not start.
    pub async fn start(parts: Parts) -> Result<Self, PlatformError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let of_workers = parts.workers.iter().map(|worker| worker.zone.clone());
        let all: BTreeSet<String> = of_workers.chain(parts.zones.clone()).collect();
        let all: Vec<String> = all.into_iter().collect();
        let zones = &parts.zones;
        let mut set = Set {
            store: None,
            hosts: None,
            workers: start_workers(parts.workers, zones, &clock).await?,
        };
        if let Some((address, settings)) = parts.store {
            let store = Store::with_clock(address, &all, settings, Arc::clone(&clock)).await;
            set.store = Some(store.context(StartSnafu { part: "store" })?);
        }
        if let Some((address, settings)) = parts.hosts {
            let hosts = Hosts::with_clock(address, &all, settings, clock).await;
            set.hosts = Some(hosts.context(StartSnafu { part: "list" })?);
        }
        set.list_workers();
        let set = Arc::new(set);
        let mounted = Arc::clone(&set);
        let mount = Arc::new(move |rocket| control::mount(rocket, Arc::clone(&mounted)));
        let control = Server::start(parts.control, mount).await;
        let control = control.context(StartSnafu { part: "control" })?;
        Ok(Self {
            zones: all,
            set,
            control,
        })
    }

    /// Where the stand-ins are reached.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            control: self.control.address(),
            store: self.set.store.as_ref().map(Store::address),
            hosts: self.set.hosts.as_ref().map(Hosts::address),
            workers: self.set.workers.iter().map(Worker::record).collect(),
            doors: self.zones.iter().map(|zone| self.doors(zone)).collect(),
        }
    }

    fn doors(&self, zone: &str) -> (String, ZoneDoors) {
        let store = self.set.store.as_ref();
        let hosts = self.set.hosts.as_ref();
        let doors = ZoneDoors {
            store: store.map(|store| store.address_for(zone)),
            hosts: hosts.map(|hosts| hosts.address_for(zone)),
        };
        (zone.to_owned(), doors)
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

    fn list_workers(&self) {
        let Some(hosts) = &self.hosts else {
            return;
        };
        for worker in &self.workers {
            hosts.show(worker.record());
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
