//! The callers' listener.
//!
//! Rocket's defaults are replaced where they would cut a request short or alter
//! an answer: its signal handlers are off, since the daemon decides when to
//! stop; its grace period comes from the settings; its default header fields
//! are left out.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::config::{Config, Ident, LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use crate::adapter::Store;
use crate::config::CurrentDeclarations;
use crate::domain::Millis;
use crate::port::{Clock, HostRecord};
use crate::settings::Settings;

use super::handler;
use super::shared::Shared;
use crate::gateway::admission::{self, Admission};
use crate::gateway::error::{GatewayError, ListenSnafu};
use crate::gateway::idempotency::Idempotency;
use crate::gateway::route::{probe, refresh};

/// Time for idle connections to close after the last answer, in milliseconds.
const LINGER_MS: Millis = 20;
/// Rocket's time limit for closing connections after the grace period, in seconds.
const MERCY_S: u32 = 1;

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
    address: SocketAddr,
    shutdown: rocket::Shutdown,
    server: JoinHandle<()>,
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

        let (ready, bound) = oneshot::channel();
        let ready = Mutex::new(Some(ready));
        let announce = AdHoc::on_liftoff("address", move |rocket| {
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            if let Some(ready) = ready.lock().ok().and_then(|mut held| held.take()) {
                let _ = ready.send(address);
            }
            Box::pin(async {})
        });
        let linger = AdHoc::on_shutdown("linger", |_| {
            Box::pin(tokio::time::sleep(Duration::from_millis(LINGER_MS)))
        });
        let rocket = rocket::custom(config(&shared.settings))
            .attach(Shield::new())
            .attach(announce)
            .attach(linger)
            .mount("/", handler::routes(&shared))
            .register("/", handler::catchers())
            .ignite()
            .await
            .map_err(|error| listen(error.kind().to_string()).build())?;
        let shutdown = rocket.shutdown();
        let mut server = tokio::spawn(async move {
            rocket
                .launch()
                .await
                .map(|_| ())
                .map_err(|error| error.kind().to_string())
        });
        let address = tokio::select! {
            Ok(address) = bound => address,
            ended = &mut server => {
                let reason = match ended {
                    Ok(Err(reason)) => reason,
                    Ok(Ok(())) => "the listener ended".to_owned(),
                    Err(error) => error.to_string(),
                };
                return listen(reason).fail();
            }
        };
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
            address,
            shutdown,
            server: tokio::spawn(finish(server)),
            tasks,
        })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
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
        self.shutdown.notify();
        let _ = self.server.await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn finish(server: JoinHandle<Result<(), String>>) {
    match server.await {
        Ok(Ok(())) => {}
        Ok(Err(reason)) => log::warn!("the callers' listener failed: {reason}"),
        Err(error) => log::error!("the callers' listener panicked or was cancelled: {error}"),
    }
}

fn config(settings: &Settings) -> Config {
    let grace_s = settings.gateway.grace_ms.div_ceil(1_000);
    Config {
        address: settings.gateway.callers.ip(),
        port: settings.gateway.callers.port(),
        ident: Ident::none(),
        ip_header: None,
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: u32::try_from(grace_s).unwrap_or(u32::MAX),
            mercy: MERCY_S,
            force: false,
            ..Shutdown::default()
        },
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    }
}
