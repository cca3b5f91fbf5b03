//! The platform's list of workers, which lags behind their actual state.

use serde::{Deserialize, Serialize};

use crate::domain::Resources;

/// State of a worker as the list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// Shutting down: takes no new work.
    Leaving,
    /// Reported dead.
    Dead,
}

/// Entry of one worker in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the worker, unique over all availability zones.
    pub name: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Rack of the worker, unique over all availability zones.
    pub rack: String,
    /// Address of the platform's task interface, as `ip:port`.
    pub control: String,
    /// Address of the upstream on this worker, as `ip:port`.
    pub upstream: String,
    /// Number of requests that the upstream serves concurrently.
    pub slots: u32,
    /// Resources of the worker.
    pub capacity: Resources,
    /// State as the list shows it.
    pub state: HostState,
}
