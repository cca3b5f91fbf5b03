//! The platform's lagging list of workers.

use serde::{Deserialize, Serialize};

use crate::domain::Resources;

/// State of a worker as the list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// Leaving: takes no new work.
    Leaving,
    /// Reported dead.
    Dead,
}

/// One worker of the list.
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
    /// Requests that the upstream serves at a time.
    pub slots: u32,
    /// Size of the worker.
    pub capacity: Resources,
    /// State as the list shows it.
    pub state: HostState,
}
