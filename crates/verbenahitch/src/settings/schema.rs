//! Keys of the settings with their defaults, units and limits.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::config::Fault;
use crate::domain::Millis;
use crate::event::Level;

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host, unique in the deployment.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The other processes of the system.
    pub peers: PeerSettings,
    /// The gateway daemon.
    pub gateway: GatewaySettings,
    /// The scheduler daemon.
    pub scheduler: SchedulerSettings,
    /// Operators that may use the operators' interface.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the list of workers.
    pub hosts: SocketAddr,
    /// Name of the workers' service in the list.
    #[serde(default = "default_service")]
    pub service: String,
    /// Time limit of a call, in milliseconds.
    #[serde(default = "default_call_timeout")]
    pub timeout_ms: Millis,
    /// Time between two readings of the list, in milliseconds.
    #[serde(default = "default_hosts_interval")]
    pub hosts_interval_ms: Millis,
}

/// The other processes of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PeerSettings {
    /// File that holds the token which processes show each other.
    pub token_file: PathBuf,
    /// Processes to greet at the start; the others become known through them.
    pub seeds: Vec<Seed>,
    /// Time between two heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: Millis,
    /// Time without a heartbeat after which a process is presumed gone, in milliseconds.
    #[serde(default = "default_peer_timeout")]
    pub timeout_ms: Millis,
}

/// A process to greet at the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Seed {
    /// Address of its peer interface.
    pub address: SocketAddr,
}

/// The gateway daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address that callers use.
    pub callers: SocketAddr,
    /// Address that operators and submitters of jobs use.
    pub operators: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address that the other processes use.
    pub peers: SocketAddr,
    /// Threads that serve requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Largest body of a request, in bytes.
    #[serde(default = "default_body")]
    pub body_limit: u64,
    /// Largest body of an upstream's answer, in bytes.
    #[serde(default = "default_answer")]
    pub answer_limit: u64,
    /// Largest head of a request, in bytes.
    #[serde(default = "default_head")]
    pub head_limit: u32,
    /// Longest idempotency key, in bytes.
    #[serde(default = "default_key")]
    pub key_limit: usize,
    /// Most requests in progress.
    #[serde(default = "default_concurrency")]
    pub concurrency: usize,
    /// Most upstreams that this gateway keeps connections to.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Retries per hundred first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Longest time without progress on an upstream's connection, in milliseconds.
    #[serde(default = "default_silence")]
    pub silence_ms: Millis,
    /// Longest time that a planned stop waits for requests in progress, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: Millis,
    /// Time for which an idempotency key is remembered at least, in milliseconds.
    #[serde(default = "default_once")]
    pub once_ms: Millis,
}

/// The scheduler daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SchedulerSettings {
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address that the other processes use.
    pub peers: SocketAddr,
    /// Threads that carry out calls.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Time between two syncs with a worker that has nothing new, in milliseconds.
    #[serde(default = "default_sync")]
    pub sync_ms: Millis,
    /// Time limit of a sync, in milliseconds.
    #[serde(default = "default_sync_timeout")]
    pub sync_timeout_ms: Millis,
    /// Lease of a task on its worker, in milliseconds.
    #[serde(default = "default_task_lease")]
    pub task_lease_ms: Millis,
    /// Lease of a shard in the store, in milliseconds.
    #[serde(default = "default_shard_lease")]
    pub shard_lease_ms: Millis,
    /// Time after which a start permit lapses, in milliseconds.
    #[serde(default = "default_permit")]
    pub permit_ms: Millis,
    /// Time for which tasks go on while the store cannot be reached, in milliseconds.
    #[serde(default = "default_outage")]
    pub outage_ms: Millis,
    /// Least time between two commits of a shard, in milliseconds.
    #[serde(default = "default_commit")]
    pub commit_ms: Millis,
    /// Tasks of a shard that are marked as startable ahead of their turn.
    #[serde(default = "default_mark_ahead")]
    pub mark_ahead: usize,
    /// Time for which a finished job can be asked about, in milliseconds.
    #[serde(default = "default_retention")]
    pub retention_ms: Millis,
}

/// An operator that may use the operators' interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name that appears in the log.
    pub name: String,
    /// File that holds the operator's bearer token.
    pub token_file: PathBuf,
}

/// Logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least level that is written.
    pub level: Level,
    /// File to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

macro_rules! defaults {
    ($($name:ident: $type:ty = $value:expr;)*) => {
        $(fn $name() -> $type { $value })*
    };
}

defaults! {
    default_service: String = "worker".to_owned();
    default_call_timeout: Millis = 1_000;
    default_hosts_interval: Millis = 1_000;
    default_heartbeat: Millis = 500;
    default_peer_timeout: Millis = 3_000;
    default_threads: usize = 2;
    default_body: u64 = 1 << 20;
    default_answer: u64 = 4 << 20;
    default_head: u32 = 16 << 10;
    default_key: usize = 128;
    default_concurrency: usize = 2_048;
    default_subset: usize = 60;
    default_retry_percent: u32 = 10;
    default_silence: Millis = 2_000;
    default_grace: Millis = 30_000;
    default_once: Millis = 3_600_000;
    default_sync: Millis = 2_000;
    default_sync_timeout: Millis = 1_000;
    default_task_lease: Millis = 10_000;
    default_shard_lease: Millis = 10_000;
    default_permit: Millis = 3_000;
    default_outage: Millis = 7_200_000;
    default_commit: Millis = 50;
    default_mark_ahead: usize = 64;
    default_retention: Millis = 600_000;
}

impl Settings {
    /// Faults between keys that are each fine by themselves.
    pub fn faults(&self) -> Vec<Fault> {
        let scheduler = &self.scheduler;
        let mut faults = Vec::new();
        let mut check = |fine: bool, path: &str, reason: String| {
            if !fine {
                let path = path.to_owned();
                faults.push(Fault { path, reason });
            }
        };
        check(
            scheduler.sync_ms + scheduler.sync_timeout_ms <= scheduler.task_lease_ms / 2,
            "scheduler.task-lease-ms",
            format!(
                "found {}, allowed is at least twice sync-ms and sync-timeout-ms together ({})",
                scheduler.task_lease_ms,
                2 * (scheduler.sync_ms + scheduler.sync_timeout_ms)
            ),
        );
        check(
            self.peers.heartbeat_ms * 2 <= self.peers.timeout_ms,
            "peers.timeout-ms",
            format!(
                "found {}, allowed is at least twice heartbeat-ms ({})",
                self.peers.timeout_ms, self.peers.heartbeat_ms
            ),
        );
        check(
            self.platform.timeout_ms * 2 <= scheduler.shard_lease_ms,
            "scheduler.shard-lease-ms",
            format!(
                "found {}, allowed is at least twice platform.timeout-ms ({})",
                scheduler.shard_lease_ms, self.platform.timeout_ms
            ),
        );
        self.shared_addresses(&mut check);
        faults
    }

    /// Reports addresses that two listeners would share; port 0 is never shared.
    fn shared_addresses(&self, check: &mut impl FnMut(bool, &str, String)) {
        let listeners = [
            ("gateway.callers", self.gateway.callers),
            ("gateway.operators", self.gateway.operators),
            ("gateway.metrics", self.gateway.metrics),
            ("gateway.peers", self.gateway.peers),
            ("scheduler.metrics", self.scheduler.metrics),
            ("scheduler.peers", self.scheduler.peers),
        ];
        for (index, (path, address)) in listeners.iter().enumerate() {
            let mut earlier = listeners[..index].iter();
            let twin = earlier.find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = twin {
                let reason = format!("found {address}, which {other} has already");
                check(false, path, reason);
            }
        }
    }
}
