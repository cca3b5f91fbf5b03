//! HTTP servers that can be stopped and started again on the same port.

mod endpoints;
mod logger;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use rocket::config::{LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket, Shutdown};
use snafu::{OptionExt, Snafu};
use tokio::sync::oneshot;

pub use endpoints::{Endpoints, ZoneMount};

/// Keep-alive timeout of an idle connection, in seconds.
const KEEP_ALIVE_S: u32 = 600;

/// Mounts routes, state and fairings.
pub type Mount = dyn Fn(Rocket<Build>) -> Rocket<Build> + Send + Sync;

/// Why a server did not start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start a server at {address}"))]
pub struct StartError {
    address: SocketAddr,
}

/// One server; stops when dropped.
pub struct Server {
    address: SocketAddr,
    mount: Arc<Mount>,
    running: Mutex<Option<Shutdown>>,
}

impl Server {
    /// Starts a server at `address`; port 0 picks a free port, which a restart reuses.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, mount: Arc<Mount>) -> Result<Self, StartError> {
        let (address, shutdown) = launch(address, &*mount).await?;
        Ok(Self {
            address,
            mount,
            running: Mutex::new(Some(shutdown)),
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub fn stop(&self) {
        let shutdown = self.running().take();
        if let Some(shutdown) = shutdown {
            shutdown.notify();
        }
    }

    /// Opens the port again after [`Server::stop`].
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn resume(&self) -> Result<(), StartError> {
        if self.running().is_some() {
            return Ok(());
        }
        let (_, shutdown) = launch(self.address, &*self.mount).await?;
        *self.running() = Some(shutdown);
        Ok(())
    }

    fn running(&self) -> std::sync::MutexGuard<'_, Option<Shutdown>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn launch(address: SocketAddr, mount: &Mount) -> Result<(SocketAddr, Shutdown), StartError> {
    logger::install();
    let (report, ready) = oneshot::channel();
    let report = Mutex::new(Some(report));
    let liftoff = AdHoc::on_liftoff("address", move |rocket| {
        let port = rocket.config().port;
        if let Some(report) = report.lock().ok().and_then(|mut report| report.take()) {
            let _sent = report.send(port);
        }
        Box::pin(async {})
    });
    let rocket = mount(rocket::custom(config(address))).attach(liftoff);
    let rocket = rocket.ignite().await.ok().context(StartSnafu { address })?;
    let shutdown = rocket.shutdown();
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            // Expected after a forced shutdown, since handlers that never answer outlive it.
            log::debug!("server at {address} ended with an error: {}", error.kind());
        }
    });
    let port = ready.await.ok().context(StartSnafu { address })?;
    Ok((SocketAddr::new(address.ip(), port), shutdown))
}

fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: 0,
            mercy: 0,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
