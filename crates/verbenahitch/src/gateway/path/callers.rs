//! The callers' listener.
//!
//! Rocket's default header fields are left out, as they would alter an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::shield::Shield;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::adapter::Store;
use crate::config::CurrentDeclarations;
use crate::http::{Limits, Listener};
use crate::port::{Clock, HostRecord};
use crate::settings::{GatewaySettings, Settings};

use super::handler;
use super::shared::Shared;
use crate::gateway::admission::{self, Admission};
use crate::gateway::error::{GatewayError, ListenSnafu};
use crate::gateway::idempotency::Idempotency;
use crate::gateway::route::{probe, refresh};

/// Copies of its body that a request holds: its own, and those of an attempt and a hedged one.
const BODY_COPIES: usize = 3;

/// Dependencies of the request path.
pub struct Deps {
    /// Settings of the entry host.
    pub settings: Arc<Settings>,
    /// Declarations in force.
    pub current: CurrentDeclarations,
    /// Latest list of workers.
    pub hosts: watch::Receiver<Arc<Vec<HostRecord>>>,
    /// Store of claimed idempotency keys.
    pub store: Store,
    /// Clock.
    pub clock: Arc<dyn Clock>,
}

/// Load of the request path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Callers' requests in progress.
    pub in_flight: usize,
    /// Upstreams in the routing table.
    pub upstreams: usize,
}

/// The running listener for callers.
pub struct CallerListener {
    shared: Arc<Shared>,
    listener: Listener,
    tasks: Vec<JoinHandle<()>>,
}

impl CallerListener {
    /// Starts to listen on the callers' address of the settings.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(deps: Deps) -> Result<Self, GatewayError> {
        let wanted = deps.settings.gateway.callers;
        let listen = |reason: String| ListenSnafu {
            address: wanted,
            reason,
        };
        let bucket_ms = deps.settings.gateway.once_ms;
        let idempotency = Idempotency::start(deps.store, Arc::clone(&deps.clock), bucket_ms);
        let (admission, waiters) = Admission::new(deps.settings.gateway.concurrency);
        let shared = Arc::new(Shared::new(
            deps.settings,
            deps.clock,
            idempotency,
            admission,
        ));
        refresh::rebuild(&shared, &deps.hosts.borrow(), deps.current.load());

        let rocket = rocket::build()
            .attach(Shield::new())
            .mount("/", handler::routes(&shared))
            .register("/", handler::catchers());
        let limits = limits(&shared.settings.gateway);
        let listener = Listener::start("callers", wanted, limits, rocket).await;
        let listener = listener.map_err(|error| listen(error.reason).build())?;
        let follow = refresh::follow(Arc::clone(&shared), deps.hosts, deps.current);
        let queue = admission::run_queue(Arc::clone(&shared), waiters);
        let probe = probe::run(Arc::clone(&shared));
        let tasks = vec![
            tokio::spawn(follow),
            tokio::spawn(queue),
            tokio::spawn(probe),
        ];
        Ok(Self {
            shared,
            listener,
            tasks,
        })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Refuses new requests from now on and closes connections after their answers.
    pub fn stop_accepting(&self) {
        self.shared.begin_stop();
    }

    /// Current load of the request path.
    pub fn stats(&self) -> Stats {
        Stats {
            in_flight: self.shared.in_flight(),
            upstreams: self.shared.table.load().upstreams().count(),
        }
    }

    /// Refuses new requests, waits for those in progress, and stops.
    ///
    /// Waits at most for the grace period of the settings.
    pub async fn stop(self) {
        self.stop_accepting();
        let grace = Duration::from_millis(self.shared.settings.gateway.grace_ms);
        let _ = tokio::time::timeout(grace, self.shared.wait_drained()).await;
        self.listener.stop().await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn limits(settings: &GatewaySettings) -> Limits {
    Limits {
        grace: Duration::from_millis(settings.grace_ms),
        connections: settings.connections,
        memory: settings.memory_limit,
        head: settings.head_limit as usize,
        copies: BODY_COPIES,
    }
}
