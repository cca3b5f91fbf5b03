//! Keys and records of the dispatching in the store.

use serde::{Deserialize, Serialize};

use crate::dispatch::{JobId, JobRecord, JobState};

/// Beginning of what callers' hosts write.
pub(super) const INTAKE: &str = "intake/";

/// Beginning of accepted jobs.
const JOBS: &str = "intake/job/";

/// Beginning of accepted cancels.
const CANCELS: &str = "intake/cancel/";

/// Beginning of what the owner writes of jobs.
pub(super) const PROGRESS: &str = "progress/";

/// Beginning of the key of the owner.
pub(super) const LEAD: &str = "lead/";

/// Key of the owner; its creation is the fencing token.
pub(super) const OWNER: &str = "lead/owner";

/// Key that every commit of an owner changes, so that a commit which is carried
/// out late finds another revision than it expects.
pub(super) const COMMIT: &str = "commit/last";

/// Key of what was learned of images.
pub(super) const LEARNED: &str = "learned/pressures";

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum JobEntry {
    /// It has not ended.
    Open(JobRecord),
    /// All that is left of it.
    Ended(JobState),
}

/// The owner as the others find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct OwnerRecord {
    /// Name of the host.
    pub name: String,
    /// Address that it takes calls on.
    pub address: String,
    /// Tells one campaign from another of the same host.
    pub nonce: u64,
}

/// Value of a key.
pub(super) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("records have only string keys")
}

pub(super) fn job(id: JobId) -> String {
    format!("{JOBS}{id}")
}

pub(super) fn cancel(id: JobId) -> String {
    format!("{CANCELS}{id}")
}

pub(super) fn progress(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// What a key of the intake is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IntakeKey {
    Job(JobId),
    Cancel(JobId),
}

pub(super) fn parse_intake(key: &str) -> Option<IntakeKey> {
    if let Some(id) = key.strip_prefix(JOBS) {
        return id.parse().ok().map(IntakeKey::Job);
    }
    let id = key.strip_prefix(CANCELS)?;
    id.parse().ok().map(IntakeKey::Cancel)
}

pub(super) fn parse_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}
