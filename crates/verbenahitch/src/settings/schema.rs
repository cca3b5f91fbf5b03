//! Types of the settings with their defaults, and the checks across several keys.

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
    /// Access to the platform's services.
    pub platform: PlatformSettings,
    /// Communication with the other processes of the system.
    pub peers: PeerSettings,
    /// Settings of the gateway daemon.
    pub gateway: GatewaySettings,
    /// Settings of the scheduler daemon.
    pub scheduler: SchedulerSettings,
    /// Operators that are authorized to use the operators' interface.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Access to the platform's services.
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
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_timeout")]
    pub timeout_ms: Millis,
    /// Interval between two reads of the list, in milliseconds.
    #[serde(default = "default_hosts_interval")]
    pub hosts_interval_ms: Millis,
}

/// Communication with the other processes of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PeerSettings {
    /// File that holds the token by which processes authenticate to each other.
    pub token_file: PathBuf,
    /// Processes to contact at startup; the other processes are discovered through them.
    pub seeds: Vec<Seed>,
    /// Interval between two heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: Millis,
    /// Time without a heartbeat after which a process is considered lost, in milliseconds.
    #[serde(default = "default_peer_timeout")]
    pub timeout_ms: Millis,
}

/// A process to contact at startup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Seed {
    /// Address of its peer interface.
    pub address: SocketAddr,
}

/// Settings of the gateway daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for operators and submitters of jobs.
    pub operators: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address that the other processes use.
    pub peers: SocketAddr,
    /// Threads that serve requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body")]
    pub body_limit: u64,
    /// Maximum size of the body of an upstream's answer, in bytes.
    #[serde(default = "default_answer")]
    pub answer_limit: u64,
    /// Maximum size of a request head (request line and headers), in bytes.
    #[serde(default = "default_head")]
    pub head_limit: u32,
    /// Maximum length of an idempotency key, in bytes.
    #[serde(default = "default_key")]
    pub key_limit: usize,
    /// Maximum number of requests in progress.
    #[serde(default = "default_concurrency")]
    pub concurrency: usize,
    /// Maximum number of connections of each listener.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Memory for the connections, requests and answers of each listener, in bytes.
    #[serde(default = "default_memory")]
    pub memory_limit: usize,
    /// Maximum number of upstreams that this gateway keeps connections to.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Retries after failed attempts, per hundred requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Maximum time without progress on an upstream's connection, in milliseconds.
    #[serde(default = "default_silence")]
    pub silence_ms: Millis,
    /// Maximum time that a planned stop waits for requests in progress, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: Millis,
    /// Minimum time for which an idempotency key is kept, in milliseconds.
    #[serde(default = "default_once")]
    pub once_ms: Millis,
}

/// Settings of the scheduler daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SchedulerSettings {
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address that the other processes use.
    pub peers: SocketAddr,
    /// Threads that carry out the calls to other processes.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Interval between two syncs with a worker when there is nothing new to send, in milliseconds.
    #[serde(default = "default_sync")]
    pub sync_ms: Millis,
    /// Timeout of a sync, in milliseconds.
    #[serde(default = "default_sync_timeout")]
    pub sync_timeout_ms: Millis,
    /// Length of the lease of a task on its worker, in milliseconds.
    #[serde(default = "default_task_lease")]
    pub task_lease_ms: Millis,
    /// Length of the lease of a shard in the store, in milliseconds.
    #[serde(default = "default_shard_lease")]
    pub shard_lease_ms: Millis,
    /// Time after which a start permit lapses, in milliseconds.
    #[serde(default = "default_permit")]
    pub permit_ms: Millis,
    /// Time for which tasks continue while the store cannot be reached, in milliseconds.
    #[serde(default = "default_outage")]
    pub outage_ms: Millis,
    /// Minimum interval between two commits of a shard, in milliseconds.
    #[serde(default = "default_commit")]
    pub commit_ms: Millis,
    /// Number of queued tasks per profile and shard that are marked as startable in advance.
    #[serde(default = "default_mark_ahead")]
    pub mark_ahead: usize,
    /// Time for which the state of a finished job can be queried, in milliseconds.
    #[serde(default = "default_retention")]
    pub retention_ms: Millis,
}

/// An operator that may use the operators' interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator in the log.
    pub name: String,
    /// File that holds the operator's bearer token.
    pub token_file: PathBuf,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum level that is written.
    pub level: Level,
    /// File that the log is appended to; standard error if absent.
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
    default_connections: usize = 2_048;
    default_memory: usize = 128 << 20;
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
    /// Faults in the relation between keys that are each valid on their own.
    pub fn faults(&self) -> Vec<Fault> {
        let scheduler = &self.scheduler;
        let mut faults = Vec::new();
        let mut check = |valid: bool, path: &str, reason: String| {
            if !valid {
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
        self.check_listeners(&mut check);
        faults
    }

    /// Reports addresses that two listeners would share. Port 0 is exempt, because each
    /// listener then gets a free port of its own.
    fn check_listeners(&self, check: &mut impl FnMut(bool, &str, String)) {
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
            let duplicate = earlier.find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = duplicate {
                let reason = format!("found {address}, which {other} has already");
                check(false, path, reason);
            }
        }
    }
}
