//! Deployment of separate processes on loopback addresses of its own.

use std::collections::HashSet;
use std::io::{BufRead as _, BufReader};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use verbenahitch::port::EndKind;
use verbenahitch::settings::load_declarations;
use verbenahitch_standin::history::{Outage, Rules, Session, Violation, WorkerHistory, check};
use verbenahitch_standin::platform::Addresses;

/// Timeout of a condition, so that a failing test ends.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) const TEAM_TOKEN: &str = "bureau-token";

/// Daemon of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Daemon {
    Gateway,
    Scheduler,
}

impl Daemon {
    fn subcommand(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
        }
    }
}

/// A process that is killed when it is dropped.
pub(super) struct Process {
    child: Child,
}

impl Process {
    /// Identifier of the process.
    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP`, `CONT` or `KILL`.
    pub(super) fn signal(&self, name: &str) {
        let pid = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {name}");
    }

    /// Waits for the end; returns whether the exit status was zero.
    pub(super) fn wait(mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Platform and entry hosts, with one entry host for each zone name given.
pub(super) struct Deployment {
    pub(super) dir: PathBuf,
    pub(super) http: reqwest::Client,
    pub(super) addresses: Addresses,
    /// Second and third byte of the loopback addresses.
    network: [u8; 2],
    zones: Vec<String>,
    _platform: Process,
}

impl Deployment {
    /// Starts the platform and writes the settings of one entry host for each of `zones`.
    pub(super) fn start(name: &str, zones: &[&str]) -> Self {
        static NETWORKS: AtomicU8 = AtomicU8::new(0);
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("verbenahitch-{name}-{pid}"));
        std::fs::create_dir_all(&dir).expect("the temporary folder can be written");
        let pool = fixture_path("pool.jsonc");
        let mut child = Command::new(env!("CARGO_BIN_EXE_testsuite-standin"))
            .args(["platform", "--lag-ms", "200", "--zone-addresses"])
            .args(["--pool", &pool])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-ins start");
        let output = child.stdout.take().expect("the standard output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the stand-ins print a line");
        let deployment = Self {
            dir,
            http: reqwest::Client::new(),
            addresses: serde_json::from_str(&line).expect("the line holds the addresses"),
            network: [
                u8::try_from(pid % 100).expect("a remainder below 100 fits") + 100,
                NETWORKS.fetch_add(1, Ordering::Relaxed),
            ],
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            _platform: Process { child },
        };
        for host in 0..deployment.zones.len() {
            deployment.write_settings(host);
        }
        deployment
    }

    /// Address of an entry host.
    fn ip(&self, host: usize) -> Ipv4Addr {
        let [second, third] = self.network;
        let last = u8::try_from(host + 1).expect("fewer than 255 entry hosts");
        Ipv4Addr::new(127, second, third, last)
    }

    fn write_settings(&self, host: usize) {
        let ip = self.ip(host);
        let file = |name: &str, text: &str| {
            let path = self.dir.join(name);
            std::fs::write(&path, text).expect("the temporary folder can be written");
            path
        };
        let seeds: Vec<Value> = (0..self.zones.len())
            .map(|other| json!({"address": format!("{}:7002", self.ip(other))}))
            .collect();
        let platform = &self.addresses.zones[&self.zones[host]];
        let settings = json!({
            "name": format!("entry-{host}"),
            "zone": self.zones[host],
            "platform": {
                "store": platform.store,
                "hosts": platform.hosts,
                "hosts-interval-ms": 200,
            },
            "peers": {
                "token-file": file("peers.token", "peers-token"),
                "seeds": seeds,
                "heartbeat-ms": 100,
                "timeout-ms": 1_500,
            },
            "gateway": {
                "callers": format!("{ip}:8000"),
                "operators": format!("{ip}:8001"),
                "metrics": format!("{ip}:8002"),
                "peers": format!("{ip}:7001"),
            },
            "scheduler": {
                "metrics": format!("{ip}:8003"),
                "peers": format!("{ip}:7002"),
                "sync-ms": 200,
                "sync-timeout-ms": 500,
                "task-lease-ms": 15_000,
                "shard-lease-ms": 2_000,
                "permit-ms": 2_000,
                "outage-ms": 60_000,
            },
            "operators": [{"name": "ops", "token-file": file("ops.token", "ops-token")}],
            "log": {"file": self.dir.join(format!("entry-{host}.log"))},
        });
        file("team.token", TEAM_TOKEN);
        file(&format!("entry-{host}.jsonc"), &settings.to_string());
    }

    /// Starts a daemon of an entry host.
    pub(super) fn start_daemon(&self, daemon: Daemon, host: usize) -> Process {
        let settings = self.dir.join(format!("entry-{host}.jsonc"));
        let child = Command::new(env!("CARGO_BIN_EXE_testsuite-verbenahitch"))
            .arg(daemon.subcommand())
            .arg(settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Process { child }
    }

    /// Runs a subcommand, split at spaces, as the operator at an entry host's gateway.
    pub(super) fn run_as_operator(&self, host: usize, subcommand: &str) -> Output {
        self.run_subcommand(host, "ops.token", subcommand)
    }

    /// Runs a subcommand as the team at an entry host's gateway.
    pub(super) fn run_as_team(&self, host: usize, subcommand: &str) -> Output {
        self.run_subcommand(host, "team.token", subcommand)
    }

    fn run_subcommand(&self, host: usize, token: &str, subcommand: &str) -> Output {
        let mut words = subcommand.split(' ');
        Command::new(env!("CARGO_BIN_EXE_testsuite-verbenahitch"))
            .arg(words.next().expect("the subcommand is not empty"))
            .args(["--gateway", &format!("{}:8001", self.ip(host))])
            .arg("--token-file")
            .arg(self.dir.join(token))
            .arg("--json")
            .args(words)
            .output()
            .expect("the command runs")
    }

    /// Applies the declarations of the fixture and waits until they are accepted.
    pub(super) async fn apply_declarations(&self) {
        let file = fixture_path("declarations.jsonc");
        let apply = format!("apply {file}");
        wait_until("the declarations are accepted", async || {
            self.run_as_operator(0, &apply).status.success()
        })
        .await;
    }

    /// Waits until every zone's shard has an owner.
    pub(super) async fn wait_for_owners(&self) {
        let zones: HashSet<&String> = self.zones.iter().collect();
        let zones = zones.len();
        wait_until("every shard has an owner", async || {
            let status = json_output(&self.run_as_operator(0, "status"));
            status["shards"].as_array().map_or(0, Vec::len) >= zones
        })
        .await;
    }

    /// Entry host whose scheduler acquired `shard` last.
    pub(super) fn owner(&self, shard: &str) -> usize {
        let acquired = |host: &usize| {
            let file = self.dir.join(format!("entry-{host}.log"));
            let log = std::fs::read_to_string(file).unwrap_or_default();
            let shard = format!(r#""shard":"{shard}""#);
            let mut lines = log
                .lines()
                .filter(|line| line.contains(r#""name":"shard-acquired""#));
            let line = lines.rfind(|line| line.contains(&shard));
            let epoch = line.and_then(|line| {
                let line: Value = serde_json::from_str(line).ok()?;
                line["entry"]["epoch"].as_u64()
            });
            epoch.unwrap_or(0)
        };
        let hosts = 0..self.zones.len();
        hosts.max_by_key(acquired).expect("there are entry hosts")
    }

    /// Violations of the guarantees in the workers' histories, given the outages of zones.
    pub(super) async fn violations(&self, outages: Vec<Outage>) -> Vec<Violation> {
        let declarations = load_declarations(Path::new(&fixture_path("declarations.jsonc")));
        let rules = Rules::new(&declarations.expect("the fixture has no faults"));
        let session = Session {
            workers: self.histories().await,
            outages,
            ..Session::default()
        };
        check(&session, &rules)
    }

    /// URL of an entry host's port for callers.
    pub(super) fn url(&self, host: usize, path: &str) -> String {
        format!("http://{}:8000{path}", self.ip(host))
    }

    /// Number of log lines of an entry host with the event `name` that contain `text`.
    pub(super) fn log_count(&self, host: usize, name: &str, text: &str) -> usize {
        let file = self.dir.join(format!("entry-{host}.log"));
        let log = std::fs::read_to_string(file).unwrap_or_default();
        let name = format!(r#""name":"{name}""#);
        let matches = |line: &&str| line.contains(&name) && line.contains(text);
        log.lines().filter(matches).count()
    }

    /// Histories of all workers.
    pub(super) async fn histories(&self) -> Vec<WorkerHistory> {
        let url = format!("http://{}/workers/history", self.addresses.control);
        let response = self
            .http
            .get(url)
            .send()
            .await
            .expect("the stand-in answers");
        response.json().await.expect("the answer holds histories")
    }

    /// Waits until an entry host's gateway reports all `tasks` of `job` as done.
    pub(super) async fn wait_for_done(&self, host: usize, job: &str, tasks: u64) {
        wait_until(&format!("{job} is done"), async || {
            let status = json_output(&self.run_as_team(host, &format!("job {job}")));
            status["done"].as_u64() == Some(tasks)
        })
        .await;
    }

    /// Waits until a worker runs a task.
    pub(super) async fn wait_for_run(&self) {
        wait_until("a task runs", async || {
            self.histories().await.iter().any(is_busy)
        })
        .await;
    }

    /// Waits until no worker of `zone` runs a task.
    pub(super) async fn wait_until_idle(&self, zone: &str) {
        wait_until("the zone runs nothing", async || {
            let histories = self.histories().await;
            let mut of_zone = histories.iter().filter(|history| history.zone == zone);
            !of_zone.any(is_busy)
        })
        .await;
    }

    /// Posts `body` to a path of the stand-ins' control address.
    pub(super) async fn post_control(&self, path: &str, body: &Value) {
        let url = format!("http://{}{path}", self.addresses.control);
        let response = self.http.post(url).json(body).send().await;
        let status = response.expect("the stand-in answers").status();
        assert!(status.is_success(), "{path} answered {status}");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.dir).ok();
        }
    }
}

/// JSON that a subcommand printed; null if it printed none.
pub(super) fn json_output(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
}

/// Waits until `condition` holds.
pub(super) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out before this held: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether the worker runs a task.
pub(super) fn is_busy(history: &WorkerHistory) -> bool {
    history.runs.iter().any(|run| run.end.is_none())
}

/// Number of runs on all workers that ended as `kind`.
pub(super) fn ended_count(histories: &[WorkerHistory], kind: EndKind) -> usize {
    let runs = histories.iter().flat_map(|history| &history.runs);
    runs.filter(|run| run.end.is_some_and(|end| end.kind == Some(kind)))
        .count()
}

pub(super) fn fixture_path(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/session");
    folder.join(name).display().to_string()
}
