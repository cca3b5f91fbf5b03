//! Cancels, of jobs that the store holds and of those that may still be on their way.
//!
//! Load pattern: a caller gives up after a lost answer and cancels at another host, while the
//! submission is in the store's queue, at a host that tries again, or in a copy that arrives later.
//! That the store holds no job says nothing of these. The cancel is therefore stored in any case,
//! in one transaction that names the job's key as it was read, and each
//! [acceptance](super::acceptance) names the cancel's key. The owner keeps the cancel of an unknown
//! job, too, and applies it to one that a host of an earlier version accepts.
//!
//! The cancel of a job that is not there is attached to a lease. Callers can send any number of
//! these, so each host stores a limited number; beyond it they are refused, for the time being.

use std::cell::RefCell;

use super::intake::IntakeOutcome;
use super::keys::{self, CancelRecord, JobEntry};
use super::lease::SharedLease;
use crate::dispatch::{JobId, are_foreign};
use crate::domain::{Bucket, Millis};
use crate::port::{Clock, Item, KeyValue, KvError, Put, SystemClock, Transaction, find};

/// Length of the leases of cancels of unknown jobs, in milliseconds. Such a cancel holds for 120 s
/// at least, twice the time limit of a request.
const LEASE_MS: Millis = 150_000;

/// Cancels of unknown jobs that a host stores at once, and then in a second. After the first burst
/// all hosts together take a small part of the store's writes; a new owner reads a few hundred keys
/// for each of them.
const BURST: f64 = 20.0;
const RATE: f64 = 2.0;

/// Largest number of times that a cancel is sent: again after a lost answer, after a conflict with
/// the job and with an earlier cancel.
const ATTEMPTS: usize = 4;

/// What came of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancel of the job is stored.
    Stored,
    /// The job has ended.
    Ended,
    /// There is no such job, and none will be accepted for a while.
    Excluded,
    /// The job belongs to another account.
    Foreign,
    /// Not stored: too many cancels of unknown jobs.
    Limited,
    /// Not stored: the store is known to be away.
    StoreDown,
    /// Not stored.
    Refused,
    /// Possibly stored.
    Unknown,
}

impl CancelOutcome {
    /// Name in the log and the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stored => "stored",
            Self::Ended => "ended",
            Self::Excluded => "no-job",
            Self::Foreign => "foreign",
            Self::Limited => "limit",
            Self::StoreDown => "store-down",
            Self::Refused => "not-stored",
            Self::Unknown => "unanswered",
        }
    }
}

impl From<CancelOutcome> for IntakeOutcome {
    fn from(outcome: CancelOutcome) -> Self {
        match outcome {
            CancelOutcome::Stored | CancelOutcome::Ended => Self::Stored,
            CancelOutcome::Excluded | CancelOutcome::Foreign => Self::Missing,
            CancelOutcome::Limited | CancelOutcome::StoreDown | CancelOutcome::Refused => {
                Self::Refused
            }
            CancelOutcome::Unknown => Self::Unknown,
        }
    }
}

/// What a host needs to store cancels.
#[derive(Debug)]
pub struct Cancels {
    clock: SystemClock,
    lease: SharedLease,
    /// Limit of the cancels of unknown jobs.
    limit: RefCell<Bucket>,
}

impl Default for Cancels {
    fn default() -> Self {
        Self {
            clock: SystemClock::default(),
            lease: SharedLease::new(LEASE_MS),
            limit: RefCell::default(),
        }
    }
}

impl Cancels {
    /// Cancels a job for a caller of `account`.
    pub async fn cancel<K: KeyValue>(
        &self,
        kv: &K,
        id: JobId,
        account: Option<&str>,
    ) -> CancelOutcome {
        match kv.get(&keys::job(id)).await {
            Ok(job) => self.store(kv, id, account, job).await,
            Err(error) => failed(id, &error, false),
        }
    }

    /// Stores a cancel of `job`, as it was read.
    async fn store<K: KeyValue>(
        &self,
        kv: &K,
        id: JobId,
        account: Option<&str>,
        mut job: Option<Item>,
    ) -> CancelOutcome {
        let mut record = CancelRecord::new(account);
        let mut cancel_revision = 0;
        let mut has_token = false;
        let mut was_unanswered = false;
        for _ in 0..ATTEMPTS {
            let lease = match job.as_ref().map(|item| kind_of(item, account)) {
                Some(JobKind::Open) => 0,
                Some(JobKind::Ended) => return CancelOutcome::Ended,
                Some(JobKind::Foreign) => return CancelOutcome::Foreign,
                None => {
                    has_token = has_token || self.take_token();
                    if !has_token {
                        return CancelOutcome::Limited;
                    }
                    match self.lease.get(kv).await {
                        Ok(lease) => lease,
                        Err(error) => return failed(id, &error, was_unanswered),
                    }
                }
            };
            // Names the job as it was read, and the earlier cancel.
            let transaction = Transaction {
                expected: vec![
                    (keys::job(id), job.as_ref().map_or(0, |item| item.revision)),
                    (keys::cancel(id), cancel_revision),
                ],
                puts: vec![Put {
                    key: keys::cancel(id),
                    value: keys::encode(&record),
                    lease,
                }],
                removes: Vec::new(),
            };
            match kv.commit(&transaction).await {
                Ok(_) if job.is_some() => return CancelOutcome::Stored,
                Ok(_) => return CancelOutcome::Excluded,
                Err(KvError::Conflict { items }) => {
                    job = find(&items, &keys::job(id)).cloned();
                    let cancel = find(&items, &keys::cancel(id));
                    if let (Some(item), Some(_)) = (&job, cancel)
                        && kind_of(item, account) == JobKind::Open
                    {
                        return CancelOutcome::Stored;
                    }
                    // An earlier cancel of an unknown job is stored again, under a younger lease.
                    cancel_revision = cancel.map_or(0, |item| item.revision);
                    record = CancelRecord::new(account);
                    if let Some(item) = cancel {
                        record.join(&keys::read_cancel(item));
                    }
                }
                Err(KvError::Unanswered { cause }) if !was_unanswered => {
                    log::info!("no answer to the cancel of {id}, which is sent again: {cause}");
                    was_unanswered = true;
                }
                Err(KvError::NoLease) => self.lease.forget(),
                Err(error) => {
                    let is_uncertain = matches!(error, KvError::Unanswered { .. });
                    return failed(id, &error, is_uncertain || was_unanswered);
                }
            }
        }
        let error = KvError::Refused {
            cause: "its keys change too fast".to_owned(),
        };
        failed(id, &error, was_unanswered)
    }

    fn take_token(&self) -> bool {
        let now = self.clock.now();
        self.limit.borrow_mut().take(RATE, BURST, now.0)
    }
}

/// Outcome of a cancel whose last call failed, by whether a write of it may be carried out.
fn failed(id: JobId, error: &KvError, is_uncertain: bool) -> CancelOutcome {
    log::info!("cancel of {id} was not confirmed: {error}");
    if is_uncertain {
        CancelOutcome::Unknown
    } else {
        CancelOutcome::Refused
    }
}

/// What a cancel does with a job that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobKind {
    Open,
    Ended,
    /// It belongs to another account than the caller's.
    Foreign,
}

fn kind_of(item: &Item, caller: Option<&str>) -> JobKind {
    match item.decode() {
        Ok(JobEntry::Open(record)) if are_foreign(record.account.as_deref(), caller) => {
            JobKind::Foreign
        }
        Ok(JobEntry::Open(_)) => JobKind::Open,
        Ok(JobEntry::Ended(_)) => JobKind::Ended,
        Err(error) => {
            log::error!("{} cannot be parsed: {error}", item.key);
            JobKind::Open
        }
    }
}
