//! A `rocket` listener that reports the address it is bound to and stops on request.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;

use rocket::config::{Config, Ident, LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket};
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time after the grace period in which connections are closed, in seconds.
const MERCY_S: u32 = 1;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time that a stop waits for requests in progress, in seconds.
    pub grace_s: u32,
}

/// Why an address cannot be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {reason}"))]
pub struct ListenError {
    /// Address from the settings.
    pub address: SocketAddr,
    /// Cause.
    pub reason: String,
}

/// A running listener.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    shutdown: rocket::Shutdown,
    server: JoinHandle<()>,
}

impl Listener {
    /// Starts `rocket` on `address`; its own configuration is replaced.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        limits: Limits,
        rocket: Rocket<Build>,
    ) -> Result<Self, ListenError> {
        let listen_error = |reason: String| ListenError { address, reason };
        let (ready, bound) = oneshot::channel();
        let ready = Mutex::new(Some(ready));
        let report_address = AdHoc::on_liftoff("address", move |rocket| {
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            if let Some(ready) = ready.lock().ok().and_then(|mut held| held.take()) {
                let _ = ready.send(address);
            }
            Box::pin(async {})
        });
        let rocket = rocket
            .configure(config(address, limits))
            .attach(report_address);
        let ignited = rocket.ignite().await;
        let ignited = ignited.map_err(|error| listen_error(error.kind().to_string()))?;
        let shutdown = ignited.shutdown();
        let (ended, failure) = oneshot::channel();
        let server = tokio::spawn(async move {
            if let Err(error) = ignited.launch().await {
                let _ = ended.send(error.kind().to_string());
            }
        });
        let address = tokio::select! {
            Ok(address) = bound => address,
            reason = failure => {
                return Err(listen_error(
                    reason.unwrap_or_else(|_| "the listener stopped before binding".to_owned()),
                ));
            }
        };
        Ok(Self {
            address,
            shutdown,
            server,
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops; requests in progress have the grace period to finish.
    pub async fn stop(self) {
        self.shutdown.notify();
        if let Err(error) = self.server.await {
            log::error!("listener on {}: {error}", self.address);
        }
    }
}

fn config(address: SocketAddr, limits: Limits) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        ip_header: None,
        shutdown: Shutdown {
            ctrlc: false,
            signals: HashSet::new(),
            grace: limits.grace_s,
            mercy: MERCY_S,
            force: false,
            ..Shutdown::default()
        },
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    }
}
