//! Entry hosts of the demo: settings, tokens and daemons.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use rand::Rng;
use snafu::ResultExt;
use verbenahitch::client::Client;
use verbenahitch::config::{Declarations, token_digest};
use verbenahitch::settings::{Seed, Settings, parse_settings};
use verbenahitch::{gateway, scheduler};

use super::error::{
    DeclarationsSnafu, DemoError, GatewaySnafu, OperatorSnafu, SchedulerSnafu, WriteSnafu,
};
use crate::platform::Platform;

/// Directory of token files, removed when dropped.
pub(super) struct TokenDirectory {
    path: PathBuf,
}

impl TokenDirectory {
    /// Creates token files for peers, operators and the teams of `declarations`,
    /// and sets the teams' digests in `declarations`.
    pub(super) fn create(declarations: &mut Declarations) -> Result<Self, DemoError> {
        let name = format!("verbenahitch-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).context(WriteSnafu { path: &path })?;
        let directory = Self { path };
        directory.create_token("peers")?;
        directory.create_token("operator")?;
        for (name, team) in &mut declarations.teams {
            team.token_digest = token_digest(&directory.create_token(name)?);
        }
        Ok(directory)
    }

    pub(super) fn token_file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn create_token(&self, name: &str) -> Result<String, DemoError> {
        let token = format!("{:032x}", rand::rng().random::<u128>());
        let path = self.token_file(name);
        std::fs::write(&path, &token).context(WriteSnafu { path })?;
        Ok(token)
    }
}

impl Drop for TokenDirectory {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.path) {
            log::warn!(
                "{}: cannot remove the token directory: {error}",
                self.path.display()
            );
        }
    }
}

/// Gateway and scheduler of one entry host.
pub(super) struct EntryHost {
    pub(super) zone: String,
    gateway: gateway::Running,
    scheduler: scheduler::Running,
}

impl EntryHost {
    pub(super) async fn start(settings: Settings) -> Result<Self, DemoError> {
        let zone = settings.zone.clone();
        let scheduler = scheduler::start(settings.clone()).await;
        let scheduler = scheduler.context(SchedulerSnafu)?;
        let gateway = gateway::Running::start(settings).await;
        Ok(Self {
            zone,
            gateway: gateway.context(GatewaySnafu)?,
            scheduler,
        })
    }

    /// Address that callers use.
    pub(super) fn callers(&self) -> SocketAddr {
        self.gateway.callers()
    }

    /// Client of the operators' interface that uses the token in `file`.
    pub(super) fn client(&self, file: &Path) -> Result<Client, DemoError> {
        Client::new(self.gateway.operators(), Some(file)).context(OperatorSnafu)
    }

    /// Whether the gateway has declarations in force.
    pub(super) fn has_declarations(&self) -> bool {
        self.gateway.current().load().revision > 0
    }

    /// Stops both daemons; requests in progress are finished.
    pub(super) async fn stop(self) {
        self.gateway.stop().await;
        self.scheduler.stop().await;
    }
}

/// Settings of one entry host for each item of `zones`, each on its own loopback address.
pub(super) fn settings(
    zones: &[&str],
    platform: &Platform,
    tokens: &TokenDirectory,
) -> Result<Vec<Settings>, DemoError> {
    let network = std::process::id() % 16_000;
    let ip = |host: usize| {
        let [_, _, high, low] = network.to_be_bytes();
        let host = u8::try_from(host + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, high + 64, low, host))
    };
    let seeds: Vec<Seed> = (0..zones.len())
        .map(|host| Seed {
            address: SocketAddr::new(ip(host), SCHEDULER_PORT),
        })
        .collect();
    let each = zones.iter().enumerate().map(|(host, zone)| {
        let address = |port| SocketAddr::new(ip(host), port);
        let settings = serde_json::json!({
            "name": format!("entry-{zone}{host}"),
            "zone": zone,
            "platform": {
                "store": platform.store().address(),
                "hosts": platform.hosts().address(),
            },
            "peers": { "token-file": tokens.token_file("peers"), "seeds": seeds },
            "gateway": {
                "callers": address(8_000),
                "operators": address(8_001),
                "metrics": address(8_002),
                "peers": address(7_001),
            },
            "scheduler": { "metrics": address(8_003), "peers": address(SCHEDULER_PORT) },
            "operators": [{ "name": "demo", "token-file": tokens.token_file("operator") }],
        });
        parse_settings("demo", &settings.to_string()).context(DeclarationsSnafu)
    });
    each.collect()
}

/// Port of the schedulers' peer interface.
const SCHEDULER_PORT: u16 = 7_002;
