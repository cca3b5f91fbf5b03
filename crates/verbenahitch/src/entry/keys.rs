//! Keys and records that entry hosts keep in the store.

use serde::{Deserialize, Serialize};

use crate::dispatch::{JobId, JobRecord, JobState, ProgressRecord, Retirement, TaskRecord};
use crate::port::{Item, short_cause};

/// Largest number of a run that a record may name: each further start needs a higher one, and no
/// task is started once a millisecond for weeks.
const RUN_MAX: u32 = 1 << 31;

/// Prefix of the keys that hosts write for callers.
pub(super) const INTAKE_PREFIX: &str = "intake/";

/// Prefix of accepted jobs.
const JOB_PREFIX: &str = "intake/job/";

/// Prefix of accepted cancels. The key of a job that the store holds stays until the job has ended
/// as cancelled, that of an unknown job for the length of its lease.
const CANCEL_PREFIX: &str = "intake/cancel/";

/// Prefix of the keys that exclude jobs which were refused.
const REFUSED_PREFIX: &str = "refused/";

/// Prefix of the owner's progress records.
pub(super) const PROGRESS_PREFIX: &str = "progress/";

/// Prefix of the owner's key.
pub(super) const OWNER_PREFIX: &str = "lead/";

/// Prefix without keys: a listing of it shows the store's revision and nothing else.
pub(super) const READ_PREFIX: &str = "read/";

/// Key of the owner; its revision is the fencing token. It is written only when the
/// ownership begins.
pub(super) const OWNER: &str = "lead/owner";

/// Key of the host that asks for the ownership.
pub(super) const SUCCESSOR: &str = "lead/successor";

/// Key that exists while the owner is slow; its value is the owner's fencing token.
pub(super) const SLOW: &str = "lead/slow";

/// Key of what the last owner left behind that ended its term as planned; its revision is
/// that of the end.
pub(super) const RETIRED: &str = "lead/retired";

/// Key that every commit of an owner changes, so that a delayed commit conflicts
/// with the ones made after it was sent.
pub(super) const COMMIT: &str = "commit/last";

/// Key of the voters: the workers that count for the owner's quorum.
pub(super) const VOTERS: &str = "quorum/voters";

/// Key of the learned pressures between images.
pub(super) const PRESSURES: &str = "learned/headroom";

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum JobEntry {
    /// The job has not ended.
    Open(JobRecord),
    /// Final state; the rest of the record is dropped.
    Ended(JobState),
}

/// Value of a cancel's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct CancelRecord {
    /// Account of the caller, none if the cancel holds for jobs of all accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

impl CancelRecord {
    /// Cancel of a caller of that account.
    pub fn new(account: Option<&str>) -> Self {
        Self {
            account: account.map(str::to_owned),
        }
    }

    /// Lets the cancel hold also for the jobs that another one holds for.
    pub fn join(&mut self, other: &Self) {
        if self.account != other.account {
            self.account = None;
        }
    }
}

/// Value of the owner's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct OwnerRecord {
    /// Name of the host.
    pub name: String,
    /// Address for calls of other hosts.
    pub address: String,
    /// Random number that identifies one election attempt of a host.
    pub nonce: u64,
    /// Share of a core that the host has; zero if a version that does not report it wrote
    /// the record.
    #[serde(default)]
    pub share: f64,
}

/// Value of the key [`SUCCESSOR`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct SuccessorRecord {
    /// Record of the host as owner.
    pub owner: OwnerRecord,
    /// Lease that the owner's key is to be attached to.
    pub lease: u64,
}

/// Value of the key [`RETIRED`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RetiredRecord {
    /// Whether the ownership was handed over.
    pub handed_over: bool,
    /// What the owner leaves behind.
    pub left: Retirement,
}

/// Encodes the value of a key.
pub(super) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    serde_json::to_vec(record).expect("records have only string keys")
}

/// Reads the record of a job.
///
/// # Errors
///
/// When it cannot be read, or is of a job that would not be accepted.
pub(super) fn read_job(item: &Item) -> Result<JobEntry, String> {
    check_job(item.decode()?)
}

/// Checks the record of a job.
///
/// # Errors
///
/// When it is of a job that would not be accepted.
pub(super) fn check_job(entry: JobEntry) -> Result<JobEntry, String> {
    if let JobEntry::Open(record) = &entry {
        record.spec.check().map_err(short_cause)?;
    }
    Ok(entry)
}

/// Reads the record of a cancel. One that cannot be read holds for jobs of all accounts: its
/// caller was told that it holds.
pub(super) fn read_cancel(item: &Item) -> CancelRecord {
    item.decode().unwrap_or_else(|error| {
        log::warn!("{} cannot be parsed: {error}", item.key);
        CancelRecord::default()
    })
}

/// Reads the progress of a job.
///
/// # Errors
///
/// When it cannot be read, or a run has a number that no owner gives.
pub(super) fn read_progress(item: &Item) -> Result<ProgressRecord, String> {
    let record: ProgressRecord = item.decode()?;
    let is_beyond = |task: &TaskRecord| {
        let runs = task.runs.iter().map(|run| run.0);
        runs.chain([task.run, task.failed, task.crashes])
            .any(|number| number > RUN_MAX)
    };
    if record.tasks.iter().any(is_beyond) {
        return Err(format!("a run has a number beyond {RUN_MAX}"));
    }
    Ok(record)
}

pub(super) fn job(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key that is created when a job is refused. Each acceptance names its revision, so that
/// one sent before the refusal is not carried out after it.
pub(super) fn refused(id: JobId) -> String {
    format!("{REFUSED_PREFIX}{id}")
}

pub(super) fn cancel(id: JobId) -> String {
    format!("{CANCEL_PREFIX}{id}")
}

pub(super) fn progress(id: JobId) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// A parsed key below [`INTAKE_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IntakeKey {
    Job(JobId),
    Cancel(JobId),
}

pub(super) fn parse_intake(key: &str) -> Option<IntakeKey> {
    if let Some(id) = key.strip_prefix(JOB_PREFIX) {
        return id.parse().ok().map(IntakeKey::Job);
    }
    let id = key.strip_prefix(CANCEL_PREFIX)?;
    id.parse().ok().map(IntakeKey::Cancel)
}

pub(super) fn parse_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS_PREFIX)?.parse().ok()
}
