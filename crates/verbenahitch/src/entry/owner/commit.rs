//! Commits of the owner. At most one is in flight. Each is conditional on this
//! process still being the owner and on no commit by anyone else since this process's
//! last one.

use std::time::{Duration, Instant};

use super::driver::Driver;
use super::isolation::{Part, Verdict};
use super::{Outcome, OwnerEvent};
use crate::dispatch::{JobState, PressureRecord, VoterRecord, Write};
use crate::domain::{Millis, Monotonic};
use crate::entry::election::LEASE_MS;
use crate::entry::keys::{self, JobEntry};
use crate::entry::{observe, watcher};
use crate::event::{Entry, Kind};
use crate::port::{Clock, KeyValue, KvError, Platform, Put, Transaction};

/// Minimum interval between two writes of the learned pressures between images (see
/// `dispatch::headroom`), in milliseconds. Long enough to add no noticeable load to
/// the commits.
const PRESSURES_INTERVAL_MS: Millis = 3_000;

/// Largest record of the learned pressures in bytes. A thin link carries it in a fraction of the
/// interval.
const PRESSURES_MAX_BYTES: usize = 64 * 1024;

/// Largest number of jobs in one commit. With three entries per job, the conditions, the
/// commit ID, the voters and the learned pressures, they fit into the largest transaction
/// that the store accepts.
const MAX_COMMIT_JOBS: usize = 8;

/// Bytes of values from which a commit takes no further jobs: what a thin link carries within the
/// usual time limit of a call.
const COMMIT_FULL_BYTES: usize = 256 * 1024;

/// Time for which the store refuses a commit while it renews the owner's lease, after which the
/// commit is in doubt, in milliseconds. A store that is busy takes it before.
const REFUSED_MS: Millis = 3_000;

/// Commit that has not been stored yet.
#[derive(Debug)]
pub(super) struct PendingCommit {
    transaction: Transaction,
    parts: Vec<Part>,
    since: Instant,
    /// Whether an attempt got no answer, and may still take effect.
    is_uncertain: bool,
}

impl PendingCommit {
    fn age_ms(&self) -> Millis {
        u64::try_from(self.since.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Adds the record of a job to a transaction.
fn add_write(transaction: &mut Transaction, write: &Write) {
    let record = &write.record;
    let has_ended = record.state.is_final() && record.tasks.iter().all(|task| task.runs.is_empty());
    if has_ended {
        let entry = JobEntry::Ended(record.state);
        let put = Put::persistent(keys::job(write.job), keys::encode(&entry));
        transaction.puts.push(put);
        transaction.removes.push(keys::progress(write.job));
        if record.state == JobState::Cancelled {
            transaction.removes.push(keys::cancel(write.job));
        }
    } else {
        let put = Put::persistent(keys::progress(write.job), keys::encode(record));
        transaction.puts.push(put);
    }
}

impl<P: Platform> Driver<P> {
    /// Commit of what has changed, none if nothing has. A value that is too large for the store is
    /// left out before it is sent.
    pub(super) fn next_commit(&mut self, now: Monotonic) -> Option<PendingCommit> {
        let value_max = self.shared.platform.kv().value_max();
        loop {
            let commit = self.gather(now)?;
            let largest = commit.transaction.largest();
            if largest.is_none_or(|put| put.value.len() <= value_max) {
                return Some(commit);
            }
            let error = KvError::Rejected {
                cause: format!("a value has more than {value_max} bytes"),
            };
            self.isolate(&commit, Verdict::Rejected, &error, now);
        }
    }

    fn gather(&mut self, now: Monotonic) -> Option<PendingCommit> {
        while let Some(part) = self.isolation.next_single(now) {
            let commit = self.commit_single(part, now);
            if commit.is_some() {
                return commit;
            }
            self.release(part);
        }
        let writes = self.dispatcher.take_writes(MAX_COMMIT_JOBS);
        let voters = if self.isolation.is_held(Part::Voters) {
            None
        } else {
            self.dispatcher.take_voters(now)
        };
        if writes.is_empty() && voters.is_none() {
            return None;
        }
        let mut commit = self.begin_commit(&writes, voters.as_ref());
        if self.is_review_due(now) && !self.isolation.is_held(Part::Pressures) {
            self.add_pressures(&mut commit);
        }
        Some(commit)
    }

    /// Commit of one part; none if there is nothing to write of it.
    fn commit_single(&mut self, part: Part, now: Monotonic) -> Option<PendingCommit> {
        match part {
            Part::Job(id) => {
                let write = self.dispatcher.take_write(id)?;
                Some(self.begin_commit(&[write], None))
            }
            Part::Voters => {
                let voters = self.dispatcher.take_voters(now)?;
                Some(self.begin_commit(&[], Some(&voters)))
            }
            Part::Pressures => {
                let mut commit = self.begin_commit(&[], None);
                self.add_pressures(&mut commit);
                (!commit.parts.is_empty()).then_some(commit)
            }
        }
    }

    /// Commit of the first of these records that fit into one, and of the voters; the rest is
    /// returned.
    fn begin_commit(&mut self, writes: &[Write], voters: Option<&VoterRecord>) -> PendingCommit {
        // Identifies this commit if its answer is lost.
        let commit_id = format!("{:016x}", rand::random::<u64>());
        let mut transaction = Transaction {
            expected: vec![
                (keys::OWNER.to_owned(), self.term.fence),
                (keys::COMMIT.to_owned(), self.commit_revision),
            ],
            puts: vec![Put::persistent(
                keys::COMMIT.to_owned(),
                commit_id.into_bytes(),
            )],
            removes: Vec::new(),
        };
        let mut parts = Vec::new();
        if let Some(voters) = voters {
            let put = Put::persistent(keys::VOTERS.to_owned(), keys::encode(&voters));
            transaction.puts.push(put);
            parts.push(Part::Voters);
        }
        for (at, write) in writes.iter().enumerate() {
            if at > 0 && transaction.value_bytes() >= COMMIT_FULL_BYTES {
                let rest = writes[at..].iter().map(|write| write.job);
                self.dispatcher.return_writes(rest);
                break;
            }
            add_write(&mut transaction, write);
            parts.push(Part::Job(write.job));
        }
        PendingCommit {
            transaction,
            parts,
            since: Instant::now(),
            is_uncertain: false,
        }
    }

    /// Updates the metrics at most once per [`PRESSURES_INTERVAL_MS`]; returns whether that was
    /// due, and so is a comparison of the learned pressures with the stored ones.
    fn is_review_due(&mut self, now: Monotonic) -> bool {
        if now.since(self.checked_at) < PRESSURES_INTERVAL_MS {
            return false;
        }
        self.checked_at = now;
        let (workers, runs) = self.dispatcher.counts(now);
        let unassigned = self.dispatcher.take_unassigned();
        let waiting = self.dispatcher.steps_waiting();
        observe::set_owner_metrics(workers, runs, unassigned, &waiting);
        observe::set_account_metrics(&self.dispatcher.account_statuses());
        observe::record_hindsight(self.dispatcher.take_hindsight());
        observe::set_held_writes(self.isolation.held_count());
        true
    }

    /// Adds the learned pressures if they have changed.
    fn add_pressures(&mut self, commit: &mut PendingCommit) {
        let value_max = self.shared.platform.kv().value_max();
        let max_bytes = PRESSURES_MAX_BYTES.min(value_max);
        let learned = self.dispatcher.pressure_record(max_bytes);
        if learned != self.stored_pressures {
            let put = Put::persistent(keys::PRESSURES.to_owned(), keys::encode(&learned));
            commit.transaction.puts.push(put);
            commit.parts.push(Part::Pressures);
            self.stored_pressures = learned;
        }
    }

    /// Sends the pending commit, if there is one, after a delay.
    pub(super) fn send_commit(&mut self, delay: Duration) {
        let Some(commit) = &self.pending_commit else {
            return;
        };
        let transaction = commit.transaction.clone();
        let kv = self.shared.platform.kv().clone();
        let sender = self.sender.clone();
        self.calls.spawn_local(async move {
            tokio::time::sleep(delay).await;
            let result = kv.commit(&transaction).await;
            // The loop may have ended.
            let _ = sender.send(OwnerEvent::Committed(result));
        });
    }

    pub(super) fn handle_committed(&mut self, result: Result<u64, KvError>) -> Option<Outcome> {
        let now = self.clock.now();
        let commit = self.pending_commit.take()?;
        observe::record_commit(result.is_ok(), commit.since.elapsed());
        match result {
            Ok(revision) => self.commit_stored(&commit, revision, now),
            Err(KvError::Conflict { items }) => {
                // The conflict may be with an earlier, unanswered attempt of this same commit.
                let own_id = &commit.transaction.puts[0].value;
                let owner = items.iter().find(|item| item.key == keys::OWNER);
                let last = items.iter().find(|item| item.key == keys::COMMIT);
                let is_owner = owner.is_some_and(|item| item.revision == self.term.fence);
                let applied = last.filter(|item| item.bytes().ok() == Some(own_id));
                let Some(applied) = applied.filter(|_| is_owner) else {
                    return Some(if owner.is_none() {
                        Outcome::LeaseEnded
                    } else {
                        Outcome::Superseded
                    });
                };
                self.commit_stored(&commit, applied.revision, now);
            }
            Err(error) => self.commit_failed(commit, &error, now),
        }
        None
    }

    fn commit_stored(&mut self, commit: &PendingCommit, revision: u64, now: Monotonic) {
        self.commit_revision = revision;
        self.dispatcher.commit_stored(now);
        for part in &commit.parts {
            self.release(*part);
        }
    }

    /// Lets a part take part in commits with others again.
    fn release(&mut self, part: Part) {
        if !self.isolation.is_held(part) {
            return;
        }
        self.isolation.release(part);
        if let Part::Job(id) = part {
            self.dispatcher.hold_write(id, false);
        }
    }

    /// Sends a commit again that failed, or leaves out what the store does not take.
    fn commit_failed(&mut self, mut commit: PendingCommit, error: &KvError, now: Monotonic) {
        let largest = commit.transaction.largest();
        Entry::new(Kind::CommitFailed)
            .with("puts", commit.transaction.puts.len())
            .with("bytes", commit.transaction.value_bytes())
            .with("largest", largest.map(|put| &put.key))
            .with("largest-bytes", largest.map(|put| put.value.len()))
            .with("unstored-ms", commit.age_ms())
            .with_text("cause", error)
            .emit();
        commit.is_uncertain |= matches!(error, KvError::Unanswered { .. });
        match self.verdict(&commit, error, now) {
            Some(verdict) => self.isolate(&commit, verdict, error, now),
            None => {
                self.pending_commit = Some(commit);
                self.send_commit(watcher::retry_delay());
            }
        }
    }

    /// How the store does not take a commit; none if it is to be sent again as it is.
    fn verdict(&self, commit: &PendingCommit, error: &KvError, now: Monotonic) -> Option<Verdict> {
        match error {
            // Earlier attempts were answered alike, or would have been.
            KvError::Rejected { .. } => Some(Verdict::Rejected),
            KvError::Refused { .. } => {
                let is_store_up = now.since(self.renewed_at) < LEASE_MS;
                let was_held = commit
                    .parts
                    .iter()
                    .any(|part| self.isolation.is_held(*part));
                let is_in_doubt = was_held || commit.age_ms() >= REFUSED_MS;
                (is_store_up && is_in_doubt && !commit.is_uncertain).then_some(Verdict::Refused)
            }
            KvError::Unanswered { .. }
            | KvError::Conflict { .. }
            | KvError::NoLease
            | KvError::Compacted => None,
        }
    }

    /// Takes a commit back that the store does not take: its parts are sent one by one, and one
    /// that was alone is left out for a while.
    fn isolate(
        &mut self,
        commit: &PendingCommit,
        verdict: Verdict,
        error: &KvError,
        now: Monotonic,
    ) {
        for part in &commit.parts {
            match part {
                Part::Job(id) => self.dispatcher.return_writes([*id]),
                Part::Voters => self.dispatcher.return_voters(),
                Part::Pressures => self.stored_pressures = PressureRecord::default(),
            }
        }
        let pause_ms = self.isolation.note_untaken(&commit.parts, verdict, now);
        let (Some(pause_ms), [part]) = (pause_ms, commit.parts.as_slice()) else {
            return;
        };
        if let Part::Job(id) = part {
            self.dispatcher.hold_write(*id, true);
        }
        Entry::new(Kind::WriteHeld)
            .with_text("part", part)
            .with("bytes", commit.transaction.value_bytes())
            .with("pause-ms", pause_ms)
            .with_text("cause", error)
            .emit();
    }
}
