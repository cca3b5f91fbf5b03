//! Processes on loopback whose connections can be cut or silenced.
//!
//! Each process has a loopback address of its own, and the others reach it
//! through a forwarder, which knows both ends of every connection by them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use verbenahitch::config::{Current, Declarations, Zone, ZoneState};
use verbenahitch::domain::Monotonic;
use verbenahitch::peer::{Handle, Identity, Incoming, Member, Node, Role};
use verbenahitch::port::{Clock, SystemClock};
use verbenahitch::settings::{PeerSettings, Seed};

/// Longest time that a condition may take, so that a failing test ends.
pub(super) const PATIENCE: Duration = Duration::from_secs(30);

const TOKEN: &str = "peers-of-the-test";

/// One process.
pub(super) struct Process {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) handle: Handle,
    pub(super) current: Current,
    pub(super) requests: mpsc::Receiver<Incoming>,
}

/// All processes of a test and the connections between them.
#[derive(Clone)]
pub(super) struct Network {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) heartbeat_ms: u64,
    faults: Arc<Faults>,
}

struct Faults {
    /// Pairs of addresses between which nothing passes, in either direction.
    cut: ArcSwap<Vec<(IpAddr, IpAddr)>>,
    /// Connections with a lower number pass nothing.
    silent_below: AtomicU64,
    opened: AtomicU64,
    meter: fn(usize),
}

impl Network {
    pub(super) fn new(heartbeat_ms: u64) -> Self {
        Self::metered(heartbeat_ms, |_| ())
    }

    /// Creates a network that tells `meter` the bytes of each write.
    pub(super) fn metered(heartbeat_ms: u64, meter: fn(usize)) -> Self {
        let faults = Faults {
            cut: ArcSwap::default(),
            silent_below: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            meter,
        };
        Self {
            clock: Arc::new(SystemClock::default()),
            heartbeat_ms,
            faults: Arc::new(faults),
        }
    }

    /// Starts process number `number` with `seeds` to greet.
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
        let front = self.forward(listener.local_addr().expect("it is bound"));
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
        let current = Current::default();
        let (handle, requests) = Node::start_behind(
            front,
            listener,
            identity,
            &settings,
            token.to_owned(),
            current.clone(),
            Arc::clone(&self.clock),
        )
        .expect("the node starts");
        Process {
            name,
            zone: zone.to_owned(),
            handle,
            current,
            requests,
        }
    }

    pub(super) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Lets nothing pass between the processes of `left` and those of `right`.
    pub(super) fn cut(&self, left: &[u8], right: &[u8]) {
        let pairs = left
            .iter()
            .flat_map(|l| right.iter().map(|r| (address(*l), address(*r))));
        self.faults.cut.store(Arc::new(pairs.collect()));
    }

    /// Lets everything pass again, over connections old and new.
    pub(super) fn heal(&self) {
        self.faults.cut.store(Arc::default());
    }

    /// Lets nothing pass over the connections that are open now; new ones work.
    pub(super) fn silence_open(&self) {
        let opened = self.faults.opened.load(Ordering::SeqCst);
        self.faults.silent_below.store(opened, Ordering::SeqCst);
    }

    fn forward(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let front = listener.local_addr().expect("it is bound");
        listener.set_nonblocking(true).expect("it can be polled");
        let listener = tokio::net::TcpListener::from_std(listener).expect("it can be polled");
        let faults = Arc::clone(&self.faults);
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let number = faults.opened.fetch_add(1, Ordering::SeqCst);
                let Ok(onward) = TcpStream::connect(to).await else {
                    continue;
                };
                let passes = {
                    let faults = Arc::clone(&faults);
                    move || faults.passes(number, from.ip(), to.ip())
                };
                let (read, write) = stream.into_split();
                let (far_read, far_write) = onward.into_split();
                tokio::spawn(pump(read, far_write, Arc::clone(&faults), passes.clone()));
                tokio::spawn(pump(far_read, write, Arc::clone(&faults), passes));
            }
        });
        front
    }
}

impl Faults {
    fn passes(&self, number: u64, from: IpAddr, to: IpAddr) -> bool {
        let cut = self.cut.load();
        let is_cut = cut
            .iter()
            .any(|pair| *pair == (from, to) || *pair == (to, from));
        !is_cut && number >= self.silent_below.load(Ordering::SeqCst)
    }
}

/// Passes bytes on; what arrives while nothing passes is swallowed.
async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    faults: Arc<Faults>,
    passes: impl Fn() -> bool,
) {
    let mut buffer = vec![0; 64 << 10];
    let mut broken = false;
    while let Ok(count) = read.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        (faults.meter)(count);
        // A stream that lost bytes stays silent, since it makes no sense any more.
        broken |= !passes();
        if !broken && write.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 7, number))
}

/// Waits until `condition` holds.
pub(super) async fn until(what: &str, condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(waited.await.is_ok(), "never happened: {what}");
}

impl Process {
    /// Record that this process has of `other`.
    pub(super) fn sees(&self, other: &Process) -> Option<Member> {
        let members = self.handle.members();
        members.iter().find(|m| m.name == other.name).cloned()
    }

    /// Whether `other` was heard lately.
    pub(super) fn hears(&self, other: &Process) -> bool {
        let record = self.sees(other);
        record.is_some_and(|record| record.is_live(self.handle.timeout_ms()))
    }

    pub(super) fn revision(&self) -> u64 {
        self.current.load().revision
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
