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

/// Folder of tokens, removed when dropped.
pub(super) struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates a folder with the tokens of peers, operators and the teams of
    /// `declarations`, which get the teams' digests.
    pub(super) fn create(declarations: &mut Declarations) -> Result<Self, DemoError> {
        let name = format!("verbenahitch-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).context(WriteSnafu { path: &path })?;
        let folder = Self { path };
        folder.token("peers")?;
        folder.token("operator")?;
        for (name, team) in &mut declarations.teams {
            team.token_digest = token_digest(&folder.token(name)?);
        }
        Ok(folder)
    }

    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn token(&self, name: &str) -> Result<String, DemoError> {
        let token = format!("{:032x}", rand::rng().random::<u128>());
        let path = self.file(name);
        std::fs::write(&path, &token).context(WriteSnafu { path })?;
        Ok(token)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.path) {
            log::warn!("{}: {error}", self.path.display());
        }
    }
}

/// Running daemons of one entry host.
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

    /// Client of its operators' interface with the token in `file`.
    pub(super) fn client(&self, file: &Path) -> Result<Client, DemoError> {
        Client::new(self.gateway.operators(), Some(file)).context(OperatorSnafu)
    }

    /// Whether its gateway has the declarations in force.
    pub(super) fn is_declared(&self) -> bool {
        self.gateway.current().load().revision > 0
    }

    /// Stops both daemons; requests in progress are finished.
    pub(super) async fn stop(self) {
        self.gateway.stop().await;
        self.scheduler.stop().await;
    }
}

/// Settings of an entry host in each of `zones`, on loopback addresses of their own.
pub(super) fn settings(
    zones: &[&str],
    platform: &Platform,
    folder: &Folder,
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
        let at = |port| SocketAddr::new(ip(host), port);
        let settings = serde_json::json!({
            "name": format!("entry-{zone}{host}"),
            "zone": zone,
            "platform": {
                "store": platform.store().address(),
                "hosts": platform.hosts().address(),
            },
            "peers": { "token-file": folder.file("peers"), "seeds": seeds },
            "gateway": {
                "callers": at(8_000),
                "operators": at(8_001),
                "metrics": at(8_002),
                "peers": at(7_001),
            },
            "scheduler": { "metrics": at(8_003), "peers": at(SCHEDULER_PORT) },
            "operators": [{ "name": "demo", "token-file": folder.file("operator") }],
        });
        parse_settings("demo", &settings.to_string()).context(DeclarationsSnafu)
    });
    each.collect()
}

/// Port of the schedulers' peer interface.
const SCHEDULER_PORT: u16 = 7_002;
