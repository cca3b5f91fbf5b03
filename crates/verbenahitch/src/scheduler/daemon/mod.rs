//! The scheduler daemon: owns shards under a store session and runs their
//! decision logic.

mod acquire;
mod commit;
mod driver;
mod host_poll;
pub(crate) mod keys;
mod owner;
mod session;
mod store_poll;

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::adapter::{HostList, Store};
use crate::config::{self, CurrentDeclarations};
use crate::event::{Entry, Kind};
use crate::http::{Exporter, ListenError};
use crate::peer::{Handle, Identity, IncomingRequest, Node, PeerError, Role};
use crate::port::{Clock, SystemClock};
use crate::settings::{Settings, TokenError, read_token};

/// Why the scheduler could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The token that authenticates processes to each other cannot be read.
    #[snafu(display("{source}"))]
    Token {
        /// Cause.
        source: TokenError,
    },
    /// The metrics cannot be served.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: ListenError,
    },
    /// The peer interface could not start.
    #[snafu(display("peer interface: {source}"))]
    Peer {
        /// Cause.
        source: PeerError,
    },
}

/// A scheduler that runs in this process.
#[derive(Debug)]
pub struct Running {
    /// Address of its peer interface.
    pub peers: SocketAddr,
    /// Declarations in force.
    pub current: CurrentDeclarations,
    stop: watch::Sender<bool>,
    main: JoinHandle<()>,
}

impl Running {
    /// Releases all shards and waits until this owner has no calls in progress.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.main.await.ok();
    }

    /// Stops immediately, as a crash would, without releasing the shards.
    pub fn abort(self) {
        self.main.abort();
    }
}

/// Runs the scheduler until `stop` becomes true.
///
/// # Errors
///
/// When it cannot start.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), DaemonError> {
    let running = start(settings).await?;
    stop.wait_for(|stop| *stop).await.ok();
    running.stop().await;
    Ok(())
}

/// Starts the scheduler; returns once its peer interface listens.
///
/// # Errors
///
/// When it cannot start.
pub async fn start(settings: Settings) -> Result<Running, DaemonError> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    let current = CurrentDeclarations::default();
    let exporter = Exporter::start(settings.scheduler.metrics);
    let exporter = exporter.await.context(MetricsSnafu)?;
    let (handle, requests) = start_node(&settings, &current, &clock)?;
    let peers = handle.address();
    Entry::new(Kind::Started)
        .with("zone", &settings.zone)
        .with("peers", peers)
        .with("metrics", exporter.address())
        .emit();
    let (stop, stopping) = watch::channel(false);
    let run = main(settings, clock, current.clone(), handle, requests, stopping);
    let main = tokio::spawn(async move {
        run.await;
        exporter.stop().await;
    });
    Ok(Running {
        peers,
        current,
        stop,
        main,
    })
}

/// Name of the scheduler process of an entry host.
fn process_name(settings: &Settings) -> String {
    format!("{}/scheduler", settings.name)
}

fn start_node(
    settings: &Settings,
    current: &CurrentDeclarations,
    clock: &Arc<dyn Clock>,
) -> Result<(Handle, mpsc::Receiver<IncomingRequest>), DaemonError> {
    let token = read_token(&settings.peers.token_file).context(TokenSnafu)?;
    let identity = Identity {
        name: process_name(settings),
        zone: settings.zone.clone(),
        role: Role::Scheduler,
        listen: settings.scheduler.peers,
        incarnation: clock.wall_ms(),
    };
    Node::start(
        identity,
        &settings.peers,
        token,
        current.clone(),
        clock.clone(),
    )
    .context(PeerSnafu)
}

async fn main(
    settings: Settings,
    clock: Arc<dyn Clock>,
    current: CurrentDeclarations,
    handle: Handle,
    requests: mpsc::Receiver<IncomingRequest>,
    stopping: watch::Receiver<bool>,
) {
    let platform = &settings.platform;
    let store = Store::new(&platform.store.to_string(), platform.timeout_ms);
    handle.serve_renewals(store.clone());
    let list = HostList::new(
        &platform.hosts.to_string(),
        &platform.service,
        platform.timeout_ms,
    );
    let mut background = tokio::task::JoinSet::new();
    let (session, sessions) = watch::channel(None);
    background.spawn(
        session::KeepAlive {
            store: store.clone(),
            handle: handle.clone(),
            clock: clock.clone(),
            name: settings.name.clone(),
            lease_ms: settings.scheduler.shard_lease_ms,
            current: session,
        }
        .run(),
    );
    let (readings, hosts) = watch::channel(None);
    let interval_ms = platform.hosts_interval_ms;
    background.spawn(host_poll::run(list, interval_ms, clock.clone(), readings));
    background.spawn(config::watch::run(
        store.clone(),
        current.clone(),
        handle.clone(),
        clock.clone(),
    ));
    let owner = owner::Owner::new(
        settings,
        store,
        clock,
        current,
        handle.clone(),
        sessions,
        hosts,
    );
    owner.run(requests, stopping).await;
    handle.stop().await;
    Entry::new(Kind::Stopped).emit();
}
