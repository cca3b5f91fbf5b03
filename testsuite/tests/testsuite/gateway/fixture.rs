//! A gateway in the test's process, with its settings, hosts and declarations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use verbenahitch::adapter::Store;
use verbenahitch::config::{CurrentDeclarations, Declarations};
use verbenahitch::domain::Resources;
use verbenahitch::gateway::{CallerListener, Deps};
use verbenahitch::port::{HostRecord, HostState, SystemClock};
use verbenahitch::settings::Settings;

/// Deadline of every kind, longer than any test takes, in milliseconds.
pub const DEADLINE_MS: u64 = 300_000;
/// Time after which a request without an answer fails the test.
pub const STUCK_TIMEOUT: Duration = Duration::from_secs(30);
/// Address without a listener.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// A gateway under test.
pub struct Gateway {
    pub callers: CallerListener,
    pub current: CurrentDeclarations,
    pub hosts: watch::Sender<Arc<Vec<HostRecord>>>,
    pub http: reqwest::Client,
}

/// Setup of a gateway.
pub struct Setup {
    pub name: &'static str,
    pub zone: &'static str,
    pub store: String,
    pub declarations: Value,
    /// Keys that override the gateway's settings.
    pub gateway: Value,
    pub hosts: Vec<HostRecord>,
}

impl Setup {
    /// Gateway in zone `a` with `upstreams` in zone `a`.
    pub fn over(upstreams: &[SocketAddr]) -> Self {
        Self {
            name: "gw-1",
            zone: "a",
            store: UNUSED_ADDRESS.to_owned(),
            declarations: declarations(),
            gateway: json!({}),
            hosts: upstreams.iter().map(|at| host("a", *at)).collect(),
        }
    }

    pub fn with(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.gateway[key] = value.into();
        self
    }

    pub async fn start(self) -> Gateway {
        let mut text = json!({
            "name": self.name,
            "zone": self.zone,
            "platform": { "store": UNUSED_ADDRESS, "hosts": UNUSED_ADDRESS },
            "peers": { "token-file": "unused", "seeds": [] },
            "gateway": {
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
                "metrics": "127.0.0.1:0", "peers": "127.0.0.1:0",
                "silence-ms": 300, "grace-ms": 10_000
            },
            "scheduler": { "metrics": "127.0.0.1:0", "peers": "127.0.0.1:0" }
        });
        for (key, value) in self.gateway.as_object().unwrap() {
            text["gateway"][key] = value.clone();
        }
        let settings: Settings = serde_json::from_value(text).unwrap();
        let current = CurrentDeclarations::default();
        let declarations: Declarations = serde_json::from_value(self.declarations).unwrap();
        assert_eq!(declarations.faults(), []);
        current.advance(Arc::new(declarations));
        let (hosts, list) = watch::channel(Arc::new(self.hosts));
        let deps = Deps {
            settings: Arc::new(settings),
            current: current.clone(),
            hosts: list,
            store: Store::new(&self.store, 200),
            clock: Arc::new(SystemClock::default()),
        };
        Gateway {
            callers: CallerListener::start(deps).await.unwrap(),
            current,
            hosts,
            http: reqwest::Client::builder()
                .no_proxy()
                .timeout(STUCK_TIMEOUT)
                .build()
                .unwrap(),
        }
    }
}

impl Gateway {
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.callers.address())
    }

    pub fn post(&self, path: &str) -> reqwest::RequestBuilder {
        self.http.post(self.url(path)).body("order")
    }

    /// Sends bytes on a new connection, closes the sending side if `end`, and reads to the end.
    pub async fn raw(&self, bytes: &str, end: bool) -> String {
        let mut stream = TcpStream::connect(self.callers.address()).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        if end {
            stream.shutdown().await.unwrap();
        }
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let _ = tokio::time::timeout(STUCK_TIMEOUT, read)
            .await
            .expect("the request is stuck");
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Answer to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub not_run: bool,
    pub outcome: Option<String>,
    pub retry_after: Option<String>,
    pub body: String,
}

pub async fn send(request: reqwest::RequestBuilder) -> Answer {
    let response = request.send().await.unwrap();
    let field = |name| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    Answer {
        status: response.status().as_u16(),
        not_run: field("verbenahitch-not-run").as_deref() == Some("true"),
        outcome: field("verbenahitch-outcome"),
        retry_after: field("retry-after"),
        body: response.text().await.unwrap(),
    }
}

/// Declarations with an idempotent kind, a kind that is not, and two zones in service.
pub fn declarations() -> Value {
    let profile = |worth: u32, idempotent: bool| {
        json!({
            "class": "latency-critical", "team": "t", "worth": worth,
            "resources": { "millicores": 1, "memory-mib": 1, "accelerators": 0 },
            "target-ms": 50, "deadline-ms": DEADLINE_MS, "idempotent": idempotent
        })
    };
    json!({
        "revision": 1,
        "teams": { "t": { "quota": { "millicores": 1, "memory-mib": 1, "accelerators": 0 },
                          "token-digest": "0".repeat(64) } },
        "profiles": { "quote": profile(100, true), "charge": profile(100, false),
                      "sync": profile(5, true) },
        "kinds": { "quote": { "path": "/quote", "profile": "quote" },
                   "charge": { "path": "/charge", "profile": "charge" },
                   "refund": { "path": "/refund", "profile": "charge" },
                   "sync": { "path": "/sync", "profile": "sync" } },
        "zones": { "a": { "state": "in" }, "b": { "state": "in" } }
    })
}

pub fn host(zone: &str, upstream: SocketAddr) -> HostRecord {
    HostRecord {
        name: format!("w-{}", upstream.port()),
        zone: zone.to_owned(),
        rack: format!("{zone}-r"),
        control: UNUSED_ADDRESS.to_owned(),
        upstream: upstream.to_string(),
        slots: 8,
        capacity: Resources::default(),
        state: HostState::Live,
    }
}
