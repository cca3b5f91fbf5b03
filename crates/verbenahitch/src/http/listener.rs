//! A listener that serves Rocket's routes within limits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::config::{Config, Ident, LogLevel};
use rocket::local::asynchronous::Client;
use rocket::{Build, Rocket};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::connection;
use super::limits::{Limits, RECEIVE_BUFFER};
use super::pool::{CHECK_INTERVAL, Pool};

/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Delay after a connection could not be accepted, such as without a free descriptor.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// Time for which a stop waits for requests that have not arrived yet.
const ARRIVAL_GRACE: Duration = Duration::from_secs(1);

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
    pool: Arc<Pool>,
    stop: CancellationToken,
    accepting: JoinHandle<()>,
    checking: JoinHandle<()>,
}

impl Listener {
    /// Starts to serve the routes of `rocket` on `address`; its configuration is replaced. The
    /// name stands in logs and metrics.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(
        name: &'static str,
        address: SocketAddr,
        limits: Limits,
        rocket: Rocket<Build>,
    ) -> Result<Self, ListenError> {
        let listen_error = |reason: String| ListenError { address, reason };
        let client = Client::untracked(rocket.configure(config())).await;
        let client = client.map_err(|error| listen_error(error.kind().to_string()))?;
        let socket = listen(address, &limits).map_err(|error| listen_error(error.to_string()))?;
        let bound = socket.local_addr();
        let bound = bound.map_err(|error| listen_error(error.to_string()))?;
        let (pool, stop) = (Pool::new(name, limits), CancellationToken::new());
        let accepting = accept(socket, Arc::new(client), Arc::clone(&pool), stop.clone());
        Ok(Self {
            address: bound,
            accepting: tokio::spawn(accepting),
            checking: tokio::spawn(check(Arc::clone(&pool))),
            pool,
            stop,
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops; requests in progress have the grace period to finish, those that are still arriving
    /// a part of it.
    pub async fn stop(self) {
        self.stop.cancel();
        let grace = self.pool.limits().grace;
        let drain = async {
            let arrival = ARRIVAL_GRACE.min(grace);
            if tokio::time::timeout(arrival, self.pool.drained())
                .await
                .is_err()
            {
                self.pool.evict_waiting();
                let rest = grace.saturating_sub(arrival);
                if tokio::time::timeout(rest, self.pool.drained())
                    .await
                    .is_err()
                {
                    log::warn!("listener on {}: requests were cut off", self.address);
                }
            }
        };
        drain.await;
        self.checking.abort();
        if let Err(error) = self.accepting.await {
            log::error!("listener on {}: {error}", self.address);
        }
    }
}

fn listen(address: SocketAddr, limits: &Limits) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit it. Without it they are served alike, but hold more memory.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        log::warn!("the receive buffer of {address} cannot be set: {error}");
    }
    socket.bind(address)?;
    let backlog = u32::try_from(limits.connections).unwrap_or(BACKLOG);
    socket.listen(backlog.min(BACKLOG))
}

async fn accept(
    listener: TcpListener,
    client: Arc<Client>,
    pool: Arc<Pool>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (socket, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("a connection cannot be accepted: {error}");
                tokio::time::sleep(ACCEPT_DELAY).await;
                continue;
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("connection of {peer} closed, TCP_NODELAY cannot be set: {error}");
            continue;
        }
        let slot = tokio::select! {
            () = stop.cancelled() => return,
            slot = pool.open() => slot,
        };
        let (client, stop) = (Arc::clone(&client), stop.clone());
        tokio::spawn(connection::serve(socket, peer, client, slot, stop));
    }
}

async fn check(pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        pool.check();
    }
}

/// Configuration of Rocket, which neither listens nor writes to the log.
fn config() -> Config {
    Config {
        ident: Ident::none(),
        ip_header: None,
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    }
}
