//! The node's thread: listens, greets peers each heartbeat, executes commands.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinSet, LocalSet};

use super::error::{ListenSnafu, PeerError, ThreadSnafu};
use super::handle::{Handle, NodeCommand};
use super::local::Local;
use super::server;
use super::shared::Shared;
use crate::config::CurrentDeclarations;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::membership::{Member, Role, Table};
use crate::port::Clock;
use crate::scheduler::{Answer, Request};
use crate::settings::PeerSettings;

/// Processes of the own availability zone that one heartbeat of a scheduler greets.
///
/// A gateway starts no tasks and needs no evidence for permits. It greets only one
/// process in all, and learns of changes from the schedulers that greet it.
const SAME_ZONE_FANOUT: usize = 2;

/// Processes of other availability zones that one heartbeat of a scheduler greets.
const OTHER_ZONES_FANOUT: usize = 1;

/// Lost processes and unheard seeds to which one heartbeat tries to connect.
const LOST_FANOUT: usize = 2;

/// Maximum number of connections from other processes.
const CONNECTION_LIMIT: usize = 1_024;

/// Maximum number of requests from peers that wait to be handled.
const INCOMING_LIMIT: usize = 1_024;

/// Maximum number of commands that wait for the node's thread.
const COMMAND_LIMIT: usize = 1_024;

/// What a process publishes of itself, fixed at its start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique among the processes of its role.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Role.
    pub role: Role,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Wall-clock start in milliseconds.
    pub incarnation: u64,
}

/// A request to the owner of a shard.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Shard, as `zone-index`.
    pub shard: String,
    /// Request.
    pub request: Request,
    /// Receives the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// Peer interface of this process.
#[derive(Debug)]
pub struct Node;

struct Runner {
    local: Rc<Local>,
    seeds: Vec<SocketAddr>,
}

impl Node {
    /// Starts the peer interface, which is listening when this returns.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on, or the thread cannot be started.
    pub fn start(
        identity: Identity,
        settings: &PeerSettings,
        token: String,
        current: CurrentDeclarations,
        clock: Arc<dyn Clock>,
    ) -> Result<(Handle, mpsc::Receiver<IncomingRequest>), PeerError> {
        let address = identity.listen;
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        Self::start_on_listener(address, listener, identity, settings, token, current, clock)
    }

    /// Starts the peer interface on `listener`, which peers reach at `address`.
    ///
    /// # Errors
    ///
    /// When the listener cannot be used, or the thread cannot be started.
    pub fn start_on_listener(
        address: SocketAddr,
        listener: TcpListener,
        identity: Identity,
        settings: &PeerSettings,
        token: String,
        current: CurrentDeclarations,
        clock: Arc<dyn Clock>,
    ) -> Result<(Handle, mpsc::Receiver<IncomingRequest>), PeerError> {
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { address })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let (incoming, requests) = mpsc::channel(INCOMING_LIMIT);
        let (commands, receiver) = mpsc::channel(COMMAND_LIMIT);
        let shared = Arc::new(Shared::new(identity, address, token, current, clock));
        let handle = Handle::new(Arc::clone(&shared), commands, settings.timeout_ms);
        let settings = settings.clone();
        let run = move || {
            let runner = Runner::new(shared, incoming, &settings);
            let local = LocalSet::new();
            local.block_on(
                &runtime,
                runner.run(listener, receiver, settings.heartbeat_ms),
            );
        };
        std::thread::Builder::new()
            .name("peer".to_owned())
            .spawn(run)
            .context(ThreadSnafu)?;
        Ok((handle, requests))
    }
}

impl Runner {
    fn new(
        shared: Arc<Shared>,
        incoming: mpsc::Sender<IncomingRequest>,
        settings: &PeerSettings,
    ) -> Self {
        let identity = &shared.identity;
        let table = Table::new(&identity.name, identity.role, settings.timeout_ms);
        let seed = identity.incarnation ^ u64::from(shared.address.port());
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let seeds = settings.seeds.iter().map(|seed| seed.address);
        let seeds = seeds.filter(|seed| *seed != shared.address).collect();
        let heartbeat_ms = settings.heartbeat_ms.max(1);
        let local = Local::new(
            shared,
            table,
            rng,
            incoming,
            heartbeat_ms,
            settings.timeout_ms,
        );
        Self {
            local: Rc::new(local),
            seeds,
        }
    }

    async fn run(
        self,
        listener: TcpListener,
        mut receiver: mpsc::Receiver<NodeCommand>,
        heartbeat_ms: Millis,
    ) {
        let listener = tokio::net::TcpListener::from_std(listener)
            .expect("a listener that was just bound can be polled");
        let mut ticks = tokio::time::interval(Duration::from_millis(heartbeat_ms.max(1)));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut connections = JoinSet::new();
        let mut in_progress = JoinSet::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.heartbeat(),
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) if connections.len() < CONNECTION_LIMIT => {
                        let local = Rc::clone(&self.local);
                        connections.spawn_local(server::serve(local, stream, from));
                    }
                    Ok((_, from)) => log::warn!("refused connection from {from}: limit reached"),
                    Err(error) => log::warn!("connection could not be accepted: {error}"),
                },
                Some(_) = connections.join_next() => {}
                Some(_) = in_progress.join_next() => {}
                command = receiver.recv() => match command {
                    Some(NodeCommand::Stop { done }) => {
                        self.stop(&mut in_progress).await;
                        let _ = done.send(());
                        return;
                    }
                    Some(command) => {
                        in_progress.spawn_local(execute(Rc::clone(&self.local), command));
                    }
                    None => return,
                },
            }
        }
    }

    fn heartbeat(&self) {
        let now = self.local.shared.now();
        for lost in self.local.table.borrow_mut().sweep(now) {
            Entry::new(Kind::PeerLost)
                .with("peer", &lost.name)
                .with("role", lost.role)
                .with("zone", &lost.zone)
                .with("silent-ms", lost.age_ms)
                .emit();
        }
        self.local.publish();
        for address in self.targets() {
            tokio::task::spawn_local(Rc::clone(&self.local).greet(address));
        }
        self.prune();
    }

    /// Addresses to greet in this heartbeat.
    fn targets(&self) -> BTreeSet<SocketAddr> {
        let shared = &self.local.shared;
        let members = shared.members.load_full();
        let (live, lost): (Vec<&Member>, Vec<&Member>) = members
            .iter()
            .filter(|member| member.address != shared.address)
            .partition(|member| self.local.is_peer(member));
        let addresses = |members: &[&Member], wanted: &dyn Fn(&Member) -> bool| {
            let wanted = members.iter().filter(|member| wanted(member));
            wanted.map(|member| member.address).collect::<Vec<_>>()
        };
        let zone = &shared.identity.zone;
        let same_zone = addresses(&live, &|member| member.zone == *zone);
        let other_zones = addresses(&live, &|member| member.zone != *zone);
        let heard: BTreeSet<SocketAddr> = addresses(&live, &|_| true).into_iter().collect();
        let mut unheard = addresses(&lost, &|_| true);
        unheard.extend(self.seeds.iter().filter(|seed| !heard.contains(seed)));
        unheard.retain(|address| {
            let link = self.local.link(*address);
            !link.is_backing_off(shared.now())
        });
        let (same_zone_count, other_zones_count) = match shared.identity.role {
            Role::Scheduler => (SAME_ZONE_FANOUT, OTHER_ZONES_FANOUT),
            Role::Gateway if same_zone.is_empty() => (0, 1),
            Role::Gateway => (1, 0),
        };
        let rng = &mut *self.local.rng.borrow_mut();
        let mut targets = BTreeSet::new();
        for (mut group, count) in [
            (same_zone, same_zone_count),
            (other_zones, other_zones_count),
            (unheard, LOST_FANOUT),
        ] {
            group.shuffle(rng);
            targets.extend(group.into_iter().take(count));
        }
        targets
    }

    fn prune(&self) {
        let members = self.local.shared.members.load_full();
        self.local.prune(|address| {
            self.seeds.contains(&address) || members.iter().any(|m| m.address == address)
        });
    }

    /// Finishes the commands in progress and tells peers that this process is leaving.
    async fn stop(&self, in_progress: &mut JoinSet<()>) {
        while in_progress.join_next().await.is_some() {}
        let shared = &self.local.shared;
        shared
            .leaving
            .store(true, std::sync::atomic::Ordering::Relaxed);
        let greetings = self.targets().into_iter();
        let greetings = greetings.map(|address| Rc::clone(&self.local).greet(address));
        futures::future::join_all(greetings).await;
    }
}

async fn execute(local: Rc<Local>, command: NodeCommand) {
    match command {
        NodeCommand::Ask { shard, body, reply } => {
            let _ = reply.send(local.ask(&shard, &body).await);
        }
        NodeCommand::Announce { done } => {
            local.announce().await;
            let _ = done.send(());
        }
        NodeCommand::Renew { session, reply } => {
            let _ = reply.send(local.renew(&session).await);
        }
        NodeCommand::Stop { done } => {
            let _ = done.send(());
        }
    }
}
