//! Processes on loopback whose connections can be partitioned or silenced.
//!
//! Each process has a loopback address of its own, and the others reach it
//! through a forwarder, which identifies both ends of a connection by address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use verbenahitch::config::{CurrentDeclarations, Declarations, Zone, ZoneState};
use verbenahitch::domain::Monotonic;
use verbenahitch::peer::{Handle, Identity, IncomingRequest, Member, Node, Role};
use verbenahitch::port::{Clock, SystemClock};
use verbenahitch::settings::{PeerSettings, Seed};

/// Timeout of each wait, so that a failing test ends.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const TOKEN: &str = "peers-of-the-test";

/// One process.
pub(super) struct Process {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) handle: Handle,
    pub(super) declarations: CurrentDeclarations,
    pub(super) requests: mpsc::Receiver<IncomingRequest>,
}

/// All processes of a test and the connections between them.
#[derive(Clone)]
pub(super) struct Network {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) heartbeat_ms: u64,
    faults: Arc<Faults>,
}

struct Faults {
    /// Pairs of addresses between which nothing is forwarded, in either direction.
    blocked: ArcSwap<Vec<(IpAddr, IpAddr)>>,
    /// Number of the first connection that is not silenced.
    first_open: AtomicU64,
    connection_count: AtomicU64,
    meter: fn(usize),
}

impl Network {
    pub(super) fn new(heartbeat_ms: u64) -> Self {
        Self::with_meter(heartbeat_ms, |_| ())
    }

    /// Creates a network that calls `meter` with the byte count of each read.
    pub(super) fn with_meter(heartbeat_ms: u64, meter: fn(usize)) -> Self {
        let faults = Faults {
            blocked: ArcSwap::default(),
            first_open: AtomicU64::new(0),
            connection_count: AtomicU64::new(0),
            meter,
        };
        Self {
            clock: Arc::new(SystemClock::default()),
            heartbeat_ms,
            faults: Arc::new(faults),
        }
    }

    /// Starts process `number`, which greets `seeds`.
    pub(super) fn start(&self, number: u8, zone: &str, role: Role, seeds: &[&Process]) -> Process {
        self.start_with(number, zone, role, seeds, TOKEN, 1)
    }

    pub(super) fn start_with(
        &self,
        number: u8,
        zone: &str,
        role: Role,
        seeds: &[&Process],
        token: &str,
        incarnation: u64,
    ) -> Process {
        let name = format!("process-{number}");
        let listen = SocketAddr::new(address(number), 0);
        let listener = TcpListener::bind(listen).expect("loopback addresses are free");
        let front = self.start_forwarder(listener.local_addr().expect("the listener is bound"));
        let identity = Identity {
            name: name.clone(),
            zone: zone.to_owned(),
            role,
            listen,
            incarnation,
        };
        let seeds = seeds.iter().map(|seed| Seed {
            address: seed.handle.address(),
        });
        let settings = PeerSettings {
            token_file: "/dev/null".into(),
            seeds: seeds.collect(),
            heartbeat_ms: self.heartbeat_ms,
            timeout_ms: 12 * self.heartbeat_ms,
        };
        let declarations = CurrentDeclarations::default();
        let (handle, requests) = Node::start_on_listener(
            front,
            listener,
            identity,
            &settings,
            token.to_owned(),
            declarations.clone(),
            Arc::clone(&self.clock),
        )
        .expect("the node starts");
        Process {
            name,
            zone: zone.to_owned(),
            handle,
            declarations,
            requests,
        }
    }

    pub(super) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Blocks all traffic between the processes of `left` and those of `right`.
    pub(super) fn partition(&self, left: &[u8], right: &[u8]) {
        let pairs = left
            .iter()
            .flat_map(|l| right.iter().map(|r| (address(*l), address(*r))));
        self.faults.blocked.store(Arc::new(pairs.collect()));
    }

    /// Ends the partition; connections that lost bytes stay silent.
    pub(super) fn heal(&self) {
        self.faults.blocked.store(Arc::default());
    }

    /// Blocks all traffic on the connections that are open now; new ones work.
    pub(super) fn silence_connections(&self) {
        let count = self.faults.connection_count.load(Ordering::SeqCst);
        self.faults.first_open.store(count, Ordering::SeqCst);
    }

    fn start_forwarder(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let front = listener.local_addr().expect("the listener is bound");
        listener
            .set_nonblocking(true)
            .expect("the listener can be polled");
        let listener =
            tokio::net::TcpListener::from_std(listener).expect("the listener can be polled");
        let faults = Arc::clone(&self.faults);
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let number = faults.connection_count.fetch_add(1, Ordering::SeqCst);
                let Ok(target) = TcpStream::connect(to).await else {
                    continue;
                };
                let is_open = {
                    let faults = Arc::clone(&faults);
                    move || faults.is_open(number, from.ip(), to.ip())
                };
                let (read, write) = stream.into_split();
                let (target_read, target_write) = target.into_split();
                tokio::spawn(forward_bytes(
                    read,
                    target_write,
                    Arc::clone(&faults),
                    is_open.clone(),
                ));
                tokio::spawn(forward_bytes(
                    target_read,
                    write,
                    Arc::clone(&faults),
                    is_open,
                ));
            }
        });
        front
    }
}

impl Faults {
    fn is_open(&self, number: u64, from: IpAddr, to: IpAddr) -> bool {
        let blocked = self.blocked.load();
        let is_blocked = blocked
            .iter()
            .any(|pair| *pair == (from, to) || *pair == (to, from));
        !is_blocked && number >= self.first_open.load(Ordering::SeqCst)
    }
}

/// Forwards bytes and drops those that arrive while the connection is blocked.
async fn forward_bytes(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    faults: Arc<Faults>,
    is_open: impl Fn() -> bool,
) {
    let mut buffer = vec![0; 64 << 10];
    let mut has_gap = false;
    while let Ok(count) = read.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        (faults.meter)(count);
        // A stream with a gap cannot be decoded, so nothing more is forwarded on it.
        has_gap |= !is_open();
        if !has_gap && write.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 7, number))
}

/// Waits until `condition` holds.
pub(super) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting until {what}");
}

impl Process {
    /// Record that this process has of `other`, live or lost.
    pub(super) fn record_of(&self, other: &Process) -> Option<Member> {
        let members = self.handle.members();
        members.iter().find(|m| m.name == other.name).cloned()
    }

    /// Returns whether `other` is live by the record that this process has.
    pub(super) fn sees_live(&self, other: &Process) -> bool {
        let record = self.record_of(other);
        record.is_some_and(|record| record.is_live(self.handle.timeout_ms()))
    }

    pub(super) fn revision(&self) -> u64 {
        self.declarations.load().revision
    }
}

/// Declarations with `zones` in service.
pub(super) fn declarations(revision: u64, zones: &[&str]) -> Declarations {
    let zone = Zone {
        state: ZoneState::In,
        shards: 1,
        ramp_ms: 0,
    };
    Declarations {
        revision,
        write_id: format!("write-{revision}"),
        zones: zones
            .iter()
            .map(|name| ((*name).to_owned(), zone))
            .collect(),
        ..Declarations::default()
    }
}
