//! Client of the platform's list of workers, over the HTTP interface that Consul
//! publishes for the health of a service. The list lags behind the workers' state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::watch;

use super::http::{CallError, HttpClient};
use crate::domain::{Millis, Resources};
use crate::port::{HostRecord, HostState, StoreError};

/// Client of the list; clones share its connections.
#[derive(Clone, Debug)]
pub struct HostList {
    address: String,
    service: String,
    http: HttpClient,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireHost {
    node: WireNode,
    service: WireService,
    #[serde(default)]
    checks: Vec<WireCheck>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireNode {
    node: String,
    address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    port: u16,
    meta: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireCheck {
    #[serde(rename = "CheckID", default)]
    check_id: String,
    status: String,
}

impl HostList {
    /// Creates a client of the list at `address` (`ip:port`) for the workers of `service`.
    pub fn new(address: &str, service: &str, timeout_ms: Millis) -> Self {
        Self {
            address: address.to_owned(),
            service: service.to_owned(),
            http: HttpClient::new(timeout_ms),
        }
    }

    /// Reads the whole list. Entries that lack a required field are logged and skipped.
    ///
    /// # Errors
    ///
    /// When the service that holds the list does not answer.
    pub async fn read(&self) -> Result<Vec<HostRecord>, StoreError> {
        let url = format!("http://{}/v1/health/service/{}", self.address, self.service);
        let response = self.http.send(self.http.client().get(url)).await;
        let response = response.map_err(|error| self.call_failure(error))?;
        let status = response.status();
        if !status.is_success() {
            return Err(self.unanswered(format!("status {status}")));
        }
        let bytes = response.bytes().await;
        let bytes = bytes.map_err(|error| self.unanswered(error.to_string()))?;
        let wire: Vec<WireHost> = serde_json::from_slice(&bytes)
            .map_err(|error| self.unanswered(format!("malformed list: {error}")))?;
        Ok(wire.into_iter().filter_map(host_record).collect())
    }

    /// Reads the list every `interval_ms` and publishes it, until all receivers are dropped.
    ///
    /// When a read fails, the last list that was read stays published.
    pub async fn poll(self, interval_ms: Millis, list: watch::Sender<Arc<Vec<HostRecord>>>) {
        while !list.is_closed() {
            match self.read().await {
                Ok(hosts) => {
                    list.send_if_modified(|published| {
                        let changed = **published != hosts;
                        if changed {
                            *published = Arc::new(hosts);
                        }
                        changed
                    });
                }
                Err(error) => log::warn!("cannot read the list of workers: {error}"),
            }
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    fn call_failure(&self, error: CallError) -> StoreError {
        match error {
            CallError::NotSent(reason) => StoreError::Unreachable {
                address: self.address.clone(),
                reason,
            },
            CallError::Unanswered(reason) => self.unanswered(reason),
        }
    }

    fn unanswered(&self, reason: String) -> StoreError {
        StoreError::Unanswered {
            address: self.address.clone(),
            reason,
        }
    }
}

fn host_record(host: WireHost) -> Option<HostRecord> {
    let meta = &host.service.meta;
    let number = |key: &str| meta.get(key)?.parse::<u64>().ok();
    let record = || {
        Some(HostRecord {
            name: host.node.node.clone(),
            zone: meta.get("zone")?.clone(),
            rack: meta.get("rack")?.clone(),
            control: format!("{}:{}", host.node.address, number("control-port")?),
            upstream: format!("{}:{}", host.node.address, host.service.port),
            slots: u32::try_from(number("slots")?).ok()?,
            capacity: Resources {
                millicores: number("millicores")?,
                memory_mib: number("memory-mib")?,
                accelerators: number("accelerators")?,
            },
            state: host_state(&host.checks),
        })
    };
    let record = record();
    if record.is_none() {
        log::warn!(
            "worker {} is skipped: its entry in the list has a missing or malformed field",
            host.node.node
        );
    }
    record
}

/// A node in maintenance mode is leaving; a node with any other critical check is dead.
fn host_state(checks: &[WireCheck]) -> HostState {
    let critical = |check: &&WireCheck| check.status == "critical";
    match checks.iter().find(critical) {
        Some(check) if check.check_id == "_node_maintenance" => HostState::Leaving,
        Some(_) => HostState::Dead,
        None => HostState::Live,
    }
}
