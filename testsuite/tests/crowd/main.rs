//! Crowds of clients that do not behave, against a real gateway process.
//!
//! As the crowds at an entry host on the platform: checked is only what does not depend on the
//! machine's speed, with limits that a small crowd exhausts. One test runs at a time.

#[expect(dead_code, reason = "no scheduler and no faults are needed here")]
#[path = "../testsuite/session/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use test_case::test_case;
use tokio::task::LocalSet;
use verbenahitch_standin::crowd::{Peaks, Shape, Target, connect, padded, send_in_pieces};

use deployment::{Daemon, Deployment, Process, TEAM_TOKEN};

/// Memory that the process may hold, in MB: half of the smallest entry host's, which runs two
/// daemons.
const MEMORY_MB: u64 = 80;

/// Lowered settings of the gateway: connections, and memory for them in bytes.
const CONNECTIONS: usize = 100;
const CONNECTION_MEMORY: usize = 16 << 20;

/// Descriptors of the process: the connections of three listeners, and those to others.
const DESCRIPTORS: usize = 400;

/// Clients of a crowd.
const MEMBERS: usize = 600;

/// Size of a body in bytes; a quarter of the largest one.
const BODY_SIZE: usize = 256 << 10;

/// Largest body that the settings allow by default, in bytes.
const BODY_MAX: usize = 1 << 20;

/// Attempts of an ordinary caller, and the delay between two.
const ATTEMPTS: usize = 40;
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Path of an ordinary request.
const PATH: &str = "/price-push";

/// Listener of the gateway that a crowd connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    Callers,
    Operators,
    Metrics,
}

impl Door {
    fn port(self) -> u16 {
        match self {
            Self::Callers => 8_000,
            Self::Operators => 8_001,
            Self::Metrics => 8_002,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Callers => PATH,
            Self::Operators => "/v1/jobs",
            Self::Metrics => "/metrics",
        }
    }
}

/// A gateway with its platform.
struct Gateway {
    deployment: Deployment,
    process: Process,
}

impl Gateway {
    async fn start(name: &str) -> Self {
        let deployment = Deployment::start(name, &["a"]);
        let file = deployment.dir.join("entry-0.jsonc");
        let text = std::fs::read_to_string(&file).expect("the settings were written");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        settings["gateway"]["connections"] = json!(CONNECTIONS);
        settings["gateway"]["memory-limit"] = json!(CONNECTION_MEMORY);
        std::fs::write(&file, settings.to_string()).expect("the settings can be written");
        let gateway = Self {
            process: deployment.start_daemon(Daemon::Gateway, 0),
            deployment,
        };
        gateway.deployment.apply_declarations().await;
        gateway.answer().await;
        gateway
    }

    fn address(&self, door: Door) -> SocketAddr {
        let url = self.deployment.url(0, "");
        let authority = url.trim_start_matches("http://");
        let callers: SocketAddr = authority.parse().expect("an address");
        SocketAddr::new(callers.ip(), door.port())
    }

    fn target(&self, door: Door, size: usize) -> Target {
        Target {
            address: self.address(door),
            path: door.path().to_owned(),
            numbered: false,
            fields: format!("Authorization: Bearer {TEAM_TOKEN}\r\n"),
            body: padded("{}", size),
        }
    }

    /// Repeats an ordinary request until it is answered with 200.
    async fn answer(&self) {
        let mut last = String::new();
        for _ in 0..ATTEMPTS {
            let request = self.deployment.http.post(self.deployment.url(0, PATH));
            match request.body("{}").send().await {
                Ok(answer) if answer.status() == 200 => return,
                Ok(answer) => last = answer.status().to_string(),
                Err(error) => last = format!("{error:?}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        panic!("an ordinary request was not answered: {last}");
    }

    fn is_alive(&self) -> bool {
        Path::new(&format!("/proc/{}/exe", self.process.id())).exists()
    }
}

/// Runs a test after those before it.
fn run(test: impl AsyncFnOnce()) {
    static RUNNING: Mutex<()> = Mutex::new(());
    // A failure of an earlier test says nothing about this one.
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

/// No client of a crowd ends its request, or reads its answers; the gateway stays within its
/// limits.
#[test_case(Door::Callers, Shape::Whole; "whole bodies but the last byte")]
#[test_case(Door::Callers, Shape::Pieces; "bodies in pieces of 4 KiB but the last byte")]
#[test_case(Door::Callers, Shape::Trickle; "bodies 4 KiB short and then byte by byte")]
#[test_case(Door::Callers, Shape::LargeChunks; "two chunks and no last chunk")]
#[test_case(Door::Callers, Shape::SmallChunks; "chunks of 8 bytes and no last chunk")]
#[test_case(Door::Callers, Shape::Headers; "header lines without an end")]
#[test_case(Door::Callers, Shape::Silent; "connections without a byte")]
#[test_case(Door::Callers, Shape::Ahead; "requests sent ahead and answers not read")]
#[test_case(Door::Callers, Shape::Complete; "complete bodies")]
#[test_case(Door::Operators, Shape::Whole; "operators whole bodies but the last byte")]
#[test_case(Door::Operators, Shape::LargeChunks; "operators two chunks and no last chunk")]
#[test_case(Door::Operators, Shape::SmallChunks; "operators chunks of 8 bytes and no last chunk")]
#[test_case(Door::Operators, Shape::Headers; "operators header lines without an end")]
#[test_case(Door::Operators, Shape::Silent; "operators connections without a byte")]
#[test_case(Door::Metrics, Shape::Headers; "metrics header lines without an end")]
#[test_case(Door::Metrics, Shape::Silent; "metrics connections without a byte")]
#[test_case(Door::Metrics, Shape::Ahead; "metrics scrapes sent ahead and not read")]
fn a_crowd_leaves_the_gateway_within_its_limits(door: Door, shape: Shape) {
    run(async || {
        let gateway = Gateway::start(&format!("crowd-{door:?}-{shape:?}")).await;
        let address = gateway.address(door);
        let peaks = Rc::new(Peaks::new(gateway.process.id(), address.ip()));
        tokio::task::spawn_local(Rc::clone(&peaks).watch());
        let target = gateway.target(door, BODY_SIZE);
        let sent = connect(&target, shape, MEMBERS).await;

        assert!(gateway.is_alive(), "the process has ended");
        gateway.answer().await;
        peaks.sample();
        assert!(gateway.is_alive(), "the process has ended");
        eprintln!("{door:?}-{shape:?}: {peaks:?}, {sent} of {MEMBERS} sent");
        let memory = peaks.memory();
        assert!(
            memory <= MEMORY_MB << 20,
            "{memory} bytes of memory at most, the limit is {MEMORY_MB} MB: {peaks:?}"
        );
        let open = peaks.descriptors();
        assert!(
            open <= DESCRIPTORS,
            "{open} descriptors at most, the limit is {DESCRIPTORS}"
        );
    });
}

/// A single request of the largest size is served in calm, also if it arrives in small pieces.
#[test_case(1 << 20; "at once")]
#[test_case(1 << 10; "in pieces of 1 KiB")]
fn a_request_of_the_largest_size_is_served_in_calm(piece: usize) {
    run(async || {
        let gateway = Gateway::start(&format!("calm-{piece}")).await;
        let target = gateway.target(Door::Callers, BODY_MAX);
        assert_eq!(send_in_pieces(&target, piece, false).await, 200);
    });
}
