//! Gateways with a stand-in store, called over their operators' interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use reqwest::{Method, Response, StatusCode};
use serde_json::{Value, json};
use verbenahitch::config::{CurrentDeclarations, token_digest};
use verbenahitch::gateway::Running;
use verbenahitch::peer::{Handle, Identity, Node, OwnedShard, Role};
use verbenahitch::port::SystemClock;
use verbenahitch::scheduler::{Answer, Request};
use verbenahitch::settings::{Settings, parse_settings};
use verbenahitch_standin::store::{Settings as StoreSettings, Store};

pub(super) const OPERATOR_TOKEN: &str = "token-of-the-operator";
pub(super) const SECOND_OPERATOR_TOKEN: &str = "token-of-the-second-operator";
pub(super) const MARKETS_TOKEN: &str = "token-of-the-markets-team";
pub(super) const PASSES_TOKEN: &str = "token-of-the-passes-team";

/// A store and the gateways that use it.
pub(super) struct Site {
    pub(super) store: Store,
    pub(super) gateways: Vec<Running>,
    directory: PathBuf,
}

/// Answer of the operators' interface.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Value,
    pub(super) retry_after: Option<String>,
}

impl Site {
    /// Starts a store and `count` gateways in the availability zone `odd`.
    pub(super) async fn start(count: usize) -> Self {
        static SITES: AtomicU64 = AtomicU64::new(0);
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let directory = directory.join(format!("site-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        for (file, token) in [
            ("first", OPERATOR_TOKEN),
            ("second", SECOND_OPERATOR_TOKEN),
            ("peers", "peers"),
        ] {
            std::fs::write(directory.join(file), format!("{token}\n"))
                .expect("the file can be written");
        }
        let free = "127.9.0.2:0".parse().expect("an address");
        let store = Store::start(free, StoreSettings::default()).await;
        let mut site = Self {
            store: store.expect("the store starts"),
            gateways: Vec::new(),
            directory,
        };
        for index in 0..count {
            site.add_gateway(&format!("entry-{index}")).await;
        }
        site
    }

    async fn add_gateway(&mut self, name: &str) {
        let seeds: Vec<SocketAddr> = self.gateways.iter().map(Running::peers).collect();
        let settings = self.settings(name, &seeds);
        let gateway = Running::start(settings).await;
        self.gateways.push(gateway.expect("the gateway starts"));
    }

    fn settings(&self, name: &str, seeds: &[SocketAddr]) -> Settings {
        let file = |name: &str| self.directory.join(name);
        let free = "127.0.0.1:0";
        let seeds: Vec<Value> = seeds.iter().map(|s| json!({ "address": s })).collect();
        let store = self.store.address();
        let document = json!({
            "name": name,
            "zone": "odd",
            "platform": { "store": store, "hosts": store, "timeout-ms": 1_000 },
            "peers": { "token-file": file("peers"), "seeds": seeds, "heartbeat-ms": 50, "timeout-ms": 600 },
            "gateway": { "callers": free, "operators": free, "metrics": free, "peers": free, "body-limit": 65_536 },
            "scheduler": { "metrics": free, "peers": free },
            "operators": [
                { "name": "first", "token-file": file("first") },
                { "name": "second", "token-file": file("second") },
            ],
        });
        parse_settings("test", &document.to_string()).expect("the settings are valid")
    }

    /// Calls the operators' interface of the gateway at `index`.
    pub(super) async fn call(
        &self,
        index: usize,
        token: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Reply {
        let url = format!("http://{}/v1/{path}", self.gateways[index].operators());
        let request = reqwest::Client::new().request(method, url);
        let request = match token {
            "" => request,
            token => request.bearer_auth(token),
        };
        let request = match body {
            Value::Null => request,
            Value::String(text) => request.body(text.clone()),
            body => request.body(body.to_string()),
        };
        let response = request.send().await.expect("the interface answers");
        Reply::read(response).await
    }

    /// Starts a scheduler process that owns `shard` and answers requests with `answer`.
    pub(super) fn start_owner(&self, shard: &str, answer: fn(&Request) -> Answer) -> Handle {
        let identity = Identity {
            name: format!("owner-of-{shard}"),
            zone: "odd".to_owned(),
            role: Role::Scheduler,
            listen: "127.0.0.1:0".parse().expect("an address"),
            incarnation: 1,
        };
        let settings = self.settings("owner", &[self.gateways[0].peers()]).peers;
        let token = "peers".to_owned();
        let clock = Arc::new(SystemClock::default());
        let started = Node::start(
            identity,
            &settings,
            token,
            CurrentDeclarations::default(),
            clock,
        );
        let (handle, mut requests) = started.expect("the node starts");
        handle.set_shards(vec![OwnedShard {
            shard: shard.to_owned(),
            epoch: 1,
            queued: 0,
            running: 0,
        }]);
        tokio::spawn(async move {
            while let Some(incoming) = requests.recv().await {
                let _ = incoming.reply.send(answer(&incoming.request));
            }
        });
        handle
    }

    pub(super) async fn get(&self, index: usize, path: &str) -> Reply {
        self.call(index, OPERATOR_TOKEN, Method::GET, path, &Value::Null)
            .await
    }

    pub(super) async fn apply(&self, index: usize, from: u64, document: &Value) -> Reply {
        let path = format!("declarations?from={from}");
        self.call(index, OPERATOR_TOKEN, Method::PUT, &path, document)
            .await
    }

    pub(super) async fn set_zone(&self, index: usize, zone: &str, state: &str) -> Reply {
        let path = format!("zones/{zone}");
        let order = json!({ "state": state });
        self.call(index, OPERATOR_TOKEN, Method::POST, &path, &order)
            .await
    }

    /// Declarations in the store; null if there are none.
    pub(super) fn stored_declarations(&self) -> Value {
        let value = self.store.peek("verbenahitch/declarations");
        value.map_or(Value::Null, |value| {
            serde_json::from_slice(&value).expect("the store holds a document")
        })
    }

    pub(super) async fn stop(self) {
        for gateway in self.gateways {
            gateway.stop().await;
        }
        std::fs::remove_dir_all(&self.directory).expect("the directory can be removed");
    }
}

impl Reply {
    async fn read(response: Response) -> Self {
        let status = response.status();
        let retry_after = response.headers().get("Retry-After");
        let retry_after = retry_after.map(|value| value.to_str().expect("text").to_owned());
        let text = response.text().await.expect("the answer is complete");
        Self {
            status,
            body: serde_json::from_str(&text).expect("the answer is JSON"),
            retry_after,
        }
    }

    pub(super) fn error(&self) -> &str {
        self.body["error"]
            .as_str()
            .expect("the answer has an error text")
    }
}

/// Declarations of two teams, each with a profile, and two availability zones.
pub(super) fn document() -> Value {
    let team = |token: &str| {
        json!({
            "quota": { "millicores": 100_000, "memory-mib": 100_000 },
            "token-digest": token_digest(token),
        })
    };
    let profile = |team: &str| {
        json!({
            "class": "batch",
            "team": team,
            "resources": { "millicores": 1_000, "memory-mib": 512 },
            "worth": 10,
            "target-ms": 1_000,
            "deadline-ms": 60_000,
            "idempotent": true,
        })
    };
    json!({
        "teams": { "markets": team(MARKETS_TOKEN), "passes": team(PASSES_TOKEN) },
        "profiles": { "recalculation": profile("markets"), "settlement": profile("passes") },
        "zones": { "odd": { "state": "in" }, "even": { "state": "in" } },
    })
}
