//! Testbed of an experiment: daemons as separate processes, and the stand-ins.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use snafu::ResultExt;
use verbenahitch::client::Client;
use verbenahitch::config::{Declarations, token_digest};
use verbenahitch::settings::parse_declarations;

use super::experiment::{
    ClientSnafu, FileSnafu, MeasureError, ProcessSnafu, StandinSnafu, TimeoutSnafu,
};
use crate::platform::{Parts, Platform};
use crate::store::Limits;
use crate::worker;

/// Timeout for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

const TEAM_TOKEN: &str = "measured-team";

/// The only shard.
pub(super) const SHARD: &str = "a-0";

/// Duration of the shard's lease, in milliseconds.
pub(super) const SHARD_LEASE_MS: u64 = 10_000;

/// Running testbed; dropping it kills its processes and removes its files.
pub(super) struct Testbed {
    pub(super) platform: Platform,
    folder: PathBuf,
    network: [u8; 2],
    daemons: Vec<Child>,
}

impl Testbed {
    /// Starts the stand-ins with `workers`, without daemons.
    pub(super) async fn start(
        number: u8,
        workers: Vec<worker::Settings>,
    ) -> Result<Self, MeasureError> {
        let platform = Platform::start(Parts::new(workers)).await;
        let platform = platform.context(StandinSnafu)?;
        platform.store().set_limits(Limits {
            reads: 0,
            writes: 0,
        });
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("verbenahitch-measure-{pid}-{number}"));
        std::fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
        let testbed = Self {
            platform,
            folder,
            network: [u8::try_from(pid % 100).unwrap_or(0) + 10, number],
            daemons: Vec::new(),
        };
        testbed.write_file("peers.token", "measured-peers")?;
        testbed.write_file("operator.token", "measured-operator")?;
        testbed.write_file("team.token", TEAM_TOKEN)?;
        Ok(testbed)
    }

    /// Starts the daemons, applies the declarations and waits until the shard has an owner.
    pub(super) async fn start_daemons(&mut self, program: &Path) -> Result<(), MeasureError> {
        for daemon in ["scheduler", "gateway"] {
            self.spawn(program, daemon, 1)?;
        }
        let operator = self.operator_client()?;
        let declarations = declarations();
        wait_until("the declarations are applied", async || {
            operator.apply(&declarations, 0).await.is_ok()
        })
        .await?;
        wait_until("the shard has an owner", async || {
            let status = operator.status().await.unwrap_or_default();
            status["shards"]
                .as_array()
                .is_some_and(|all| !all.is_empty())
        })
        .await
    }

    /// Starts a second scheduler and waits until the first entry host lists it as a member.
    pub(super) async fn start_standby(&mut self, program: &Path) -> Result<(), MeasureError> {
        self.spawn(program, "scheduler", 2)?;
        let operator = self.operator_client()?;
        wait_until("the second scheduler is live", async || {
            let status = operator.status().await.unwrap_or_default();
            status["members"]
                .as_array()
                .is_some_and(|all| all.len() >= 3)
        })
        .await
    }

    /// Kills the scheduler that was started first.
    pub(super) fn kill_owner(&mut self) {
        if let Some(owner) = self.daemons.first_mut() {
            owner.kill().ok();
            owner.wait().ok();
        }
    }

    fn spawn(&mut self, program: &Path, daemon: &str, host: u8) -> Result<(), MeasureError> {
        let settings = self.settings(host).to_string();
        let settings = self.write_file(&format!("entry-{host}.jsonc"), &settings)?;
        let child = Command::new(program)
            .arg(daemon)
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .context(ProcessSnafu { path: program })?;
        self.daemons.push(child);
        Ok(())
    }

    /// Process IDs of the daemons in the order of their starts: scheduler, gateway, any standby.
    pub(super) fn pids(&self) -> Vec<u32> {
        self.daemons.iter().map(Child::id).collect()
    }

    /// Client of the submitters' interface.
    pub(super) fn team_client(&self) -> Result<Client, MeasureError> {
        self.client("team.token")
    }

    /// Address that callers use.
    pub(super) fn callers(&self) -> SocketAddr {
        self.address(1, 8_000)
    }

    /// Client of the operators' interface.
    pub(super) fn operator_client(&self) -> Result<Client, MeasureError> {
        self.client("operator.token")
    }

    fn client(&self, token: &str) -> Result<Client, MeasureError> {
        let token = self.folder.join(token);
        Client::new(self.address(1, 8_001), Some(&token)).context(ClientSnafu)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [second, third] = self.network;
        SocketAddr::from((Ipv4Addr::new(127, second, third, host), port))
    }

    fn write_file(&self, name: &str, text: &str) -> Result<PathBuf, MeasureError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    fn settings(&self, host: u8) -> serde_json::Value {
        let file = |name: &str| self.folder.join(name);
        json!({
            "name": format!("measured-{host}"),
            "zone": "a",
            "platform": {
                "store": self.platform.store().address(),
                "hosts": self.platform.hosts().address(),
            },
            "peers": {
                "token-file": file("peers.token"),
                "seeds": [{"address": self.address(1, 7_001)}, {"address": self.address(1, 7_002)}],
            },
            "gateway": {
                "callers": self.address(host, 8_000),
                "operators": self.address(host, 8_001),
                "metrics": self.address(host, 8_002),
                "peers": self.address(host, 7_001),
            },
            "scheduler": {
                "metrics": self.address(host, 8_003),
                "peers": self.address(host, 7_002),
                "shard-lease-ms": SHARD_LEASE_MS,
            },
            "operators": [{"name": "operator", "token-file": file("operator.token")}],
            "log": {"file": file(&format!("log-{host}"))},
        })
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill().ok();
            daemon.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Waits until `condition` holds.
pub(super) async fn wait_until(
    what: &'static str,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), MeasureError> {
    let start = Instant::now();
    while !condition().await {
        if start.elapsed() > WAIT_TIMEOUT {
            return TimeoutSnafu { what }.fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn declarations() -> Declarations {
    let document = json!({
        "profiles": {
            "request": {
                "class": "latency-critical", "team": "measured",
                "resources": {"millicores": 100, "memory-mib": 64},
                "worth": 10, "target-ms": 100, "deadline-ms": 5_000, "idempotent": true
            },
            "task": {
                "class": "batch", "team": "measured",
                "resources": {"millicores": 100, "memory-mib": 64},
                "worth": 10, "target-ms": 1_000, "deadline-ms": 86_400_000, "idempotent": true
            }
        },
        "kinds": {"request": {"path": "/request", "profile": "request"}},
        "teams": {"measured": {
            "quota": {"millicores": 100_000_000, "memory-mib": 100_000_000},
            "token-digest": token_digest(TEAM_TOKEN)
        }},
        "zones": {"a": {"state": "in", "ramp-ms": 0}}
    });
    parse_declarations("measured", &document.to_string()).expect("the declarations are valid")
}
