//! The gateway daemon: the listeners and background tasks of one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::error::GatewayError;
use super::operators::{self, ApiContext};
use super::path::{CallerListener, Deps};
use crate::adapter::{HostList, Store};
use crate::config::{self, CurrentDeclarations, change};
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::http::{Exporter, Listener};
use crate::peer::{Handle, Identity, Node, Role};
use crate::port::{Clock, SystemClock};
use crate::settings::{Settings, read_token};

/// Interval of reads of the declarations while no scheduler is live, in milliseconds.
const FALLBACK_INTERVAL_MS: Millis = 2_000;

/// A running gateway.
pub struct Running {
    callers: CallerListener,
    operators: Listener,
    exporter: Exporter,
    handle: Handle,
    current: CurrentDeclarations,
    tasks: Vec<JoinHandle<()>>,
}

/// Runs a gateway until `stop` becomes true or its sender is dropped.
///
/// # Errors
///
/// When the gateway cannot be started.
pub async fn run(settings: Settings, mut stop: watch::Receiver<bool>) -> Result<(), GatewayError> {
    let running = Running::start(settings).await?;
    // An error means that the sender was dropped, which also stops the gateway.
    let _ = stop.wait_for(|stop| *stop).await;
    running.stop().await;
    Ok(())
}

impl Running {
    /// Starts a gateway; it listens on all its addresses when this returns.
    ///
    /// # Errors
    ///
    /// When a token cannot be read or an address cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Self, GatewayError> {
        let settings = Arc::new(settings);
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let platform = &settings.platform;
        let store = Store::new(&platform.store.to_string(), platform.timeout_ms);
        let current = CurrentDeclarations::default();
        let handle = start_peers(&settings, &current, &clock)?;
        let list = HostList::new(
            &platform.hosts.to_string(),
            &platform.service,
            platform.timeout_ms,
        );
        let (publish, hosts) = watch::channel(Arc::default());
        let interval = platform.hosts_interval_ms;
        let poll = tokio::spawn(list.poll(interval, publish));
        let fallback = poll_declarations(
            store.clone(),
            current.clone(),
            handle.clone(),
            clock.clone(),
        );
        let tasks = vec![poll, tokio::spawn(fallback)];
        let context = ApiContext::new(
            Arc::clone(&settings),
            current.clone(),
            handle.clone(),
            store.clone(),
            Arc::clone(&clock),
        )?;
        let operators = operators::listen(settings.gateway.operators, Arc::new(context)).await?;
        let exporter = Exporter::start(settings.gateway.metrics).await?;
        let callers = CallerListener::start(Deps {
            settings,
            current: current.clone(),
            hosts,
            store,
            clock,
        });
        let running = Self {
            callers: callers.await?,
            operators,
            exporter,
            handle,
            current,
            tasks,
        };
        running.log(Kind::Started);
        Ok(running)
    }

    /// Address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the interface for operators and for teams that submit jobs.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address of the metrics exporter.
    pub fn metrics(&self) -> SocketAddr {
        self.exporter.address()
    }

    /// Address of the peer interface.
    pub fn peers(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Declarations in force.
    pub fn current(&self) -> &CurrentDeclarations {
        &self.current
    }

    /// Handle of the peer interface.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Waits for requests in progress, up to the grace of the settings, and stops.
    pub async fn stop(self) {
        self.log(Kind::Stopping);
        self.handle.set_leaving();
        let stopped = self.entry(Kind::Stopped);
        self.callers.stop().await;
        self.operators.stop().await;
        self.exporter.stop().await;
        self.tasks.iter().for_each(JoinHandle::abort);
        self.handle.stop().await;
        stopped.emit();
    }

    fn entry(&self, kind: Kind) -> Entry {
        Entry::new(kind)
            .with("role", Role::Gateway)
            .with("callers", self.callers())
            .with("operators", self.operators())
            .with("metrics", self.metrics())
            .with("peers", self.peers())
    }

    fn log(&self, kind: Kind) {
        self.entry(kind).emit();
    }
}

/// Starts the peer interface.
fn start_peers(
    settings: &Settings,
    current: &CurrentDeclarations,
    clock: &Arc<dyn Clock>,
) -> Result<Handle, GatewayError> {
    let identity = Identity {
        name: format!("{}/gateway", settings.name),
        zone: settings.zone.clone(),
        role: Role::Gateway,
        listen: settings.gateway.peers,
        incarnation: clock.wall_ms(),
    };
    let token = read_token(&settings.peers.token_file)?;
    let current = current.clone();
    let (handle, _) = Node::start(identity, &settings.peers, token, current, Arc::clone(clock))?;
    Ok(handle)
}

/// Reads the declarations from the store while no scheduler is live to send them.
async fn poll_declarations(
    store: Store,
    current: CurrentDeclarations,
    handle: Handle,
    clock: Arc<dyn Clock>,
) {
    let mut ticks = interval(FALLBACK_INTERVAL_MS);
    loop {
        ticks.tick().await;
        let members = handle.members();
        let has_scheduler = members
            .iter()
            .any(|member| member.role == Role::Scheduler && member.is_live(handle.timeout_ms()));
        if has_scheduler {
            continue;
        }
        let sent = clock.now();
        if let Ok(declarations) = change::read(&store).await {
            config::adopt(&current, declarations, "store");
            handle.set_store_contact(sent);
        }
    }
}

fn interval(millis: Millis) -> tokio::time::Interval {
    let mut ticks = tokio::time::interval(Duration::from_millis(millis.max(1)));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    ticks
}
