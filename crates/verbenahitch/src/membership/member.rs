//! Records of processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::domain::{Millis, Monotonic};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves callers and operators.
    Gateway,
    /// Owns shards of workers.
    Scheduler,
}

/// A shard that a process owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnedShard {
    /// Shard, as `zone-index`.
    pub shard: String,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Tasks that wait for a worker.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
}

/// Record of one process, as of its last heartbeat that is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// Name, unique among the processes of its role.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Role.
    pub role: Role,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Wall-clock start in milliseconds; a restart has a higher one.
    pub incarnation: u64,
    /// Number of this record in the incarnation.
    pub beat: u64,
    /// Revision of the declarations in force.
    pub revision: u64,
    /// Milliseconds since the store last answered it; `None` for never.
    pub store_age_ms: Option<Millis>,
    /// Milliseconds for which it may still start tasks.
    pub permit_left_ms: Millis,
    /// Shards that it owns.
    pub shards: Vec<OwnedShard>,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// Milliseconds since this record was last heard.
    pub age_ms: Millis,
}

/// Part of a record that changes with every heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beat {
    /// Hash of name, role and incarnation.
    pub id: u64,
    /// Revision of the declarations in force.
    pub revision: u64,
    /// Number of the record in the incarnation.
    pub beat: u64,
    /// Milliseconds since the record was last heard.
    pub age_ms: Millis,
    /// Milliseconds since the store last answered; `None` for never.
    pub store_age_ms: Option<Millis>,
    /// Milliseconds for which it may still start tasks.
    pub permit_left_ms: Millis,
}

/// Report of a process on its contact with the store, with bounds on when it was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreReport {
    /// Name of the process.
    pub name: String,
    /// Availability zone of the process.
    pub zone: String,
    /// Revision that it had in force.
    pub revision: u64,
    /// Latest time at which the process may have been heard; its true age can be higher.
    pub heard: Monotonic,
    /// Time after which the report was certainly made; `None` if unknown.
    pub made_after: Option<Monotonic>,
    /// Milliseconds since the store last answered it, when it reported; `None` for never.
    pub store_age_ms: Option<Millis>,
}

impl Member {
    /// Whether the process was heard within `timeout_ms`.
    pub fn is_live(&self, timeout_ms: Millis) -> bool {
        self.age_ms <= timeout_ms
    }

    /// Order of the records of one process.
    pub fn version(&self) -> (u64, u64) {
        (self.incarnation, self.beat)
    }

    /// Identity of the incarnation in a [`Beat`].
    pub fn id(&self) -> u64 {
        let text = format!("{} {:?} {}", self.name, self.role, self.incarnation);
        let digest = Sha256::digest(text);
        let (head, _) = digest.split_at(size_of::<u64>());
        head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }

    /// Beat of the record, for relaying.
    pub fn to_beat(&self) -> Beat {
        Beat {
            id: self.id(),
            revision: self.revision,
            beat: self.beat,
            age_ms: self.age_ms,
            store_age_ms: self.store_age_ms,
            permit_left_ms: self.permit_left_ms,
        }
    }
}
