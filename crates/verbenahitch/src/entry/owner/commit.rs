//! Commits of the owner. At most one is in flight. Each is conditional on this
//! process still being the owner and on no commit by anyone else since this process's
//! last one.

use std::time::Duration;

use super::driver::Driver;
use super::{Outcome, OwnerEvent};
use crate::dispatch::{JobState, VoterRecord, Write};
use crate::domain::Millis;
use crate::entry::keys::{self, JobEntry};
use crate::entry::{observe, watcher};
use crate::event::{Entry, Kind};
use crate::port::{Clock, KeyValue, KvError, Platform, Put, Transaction};

/// Minimum interval between two writes of the learned pressures between images (see
/// `dispatch::headroom`), in milliseconds. Long enough to add no noticeable load to
/// the commits.
const PRESSURES_INTERVAL_MS: Millis = 3_000;

impl<P: Platform> Driver<P> {
    pub(super) fn build_transaction(
        &self,
        writes: &[Write],
        voters: Option<&VoterRecord>,
    ) -> Transaction {
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
        if let Some(voters) = voters {
            let put = Put::persistent(keys::VOTERS.to_owned(), keys::encode(&voters));
            transaction.puts.push(put);
        }
        for write in writes {
            let record = &write.record;
            let has_ended =
                record.state.is_final() && record.tasks.iter().all(|task| task.runs.is_empty());
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
        transaction
    }

    /// Adds the learned pressures if they have changed and updates the metrics, at most once
    /// per [`PRESSURES_INTERVAL_MS`].
    pub(super) fn add_pressures(&mut self, transaction: &mut Transaction) {
        let now = self.clock.now();
        if now.since(self.checked_at) < PRESSURES_INTERVAL_MS {
            return;
        }
        self.checked_at = now;
        let (workers, runs) = self.dispatcher.counts(now);
        let unassigned = self.dispatcher.take_unassigned();
        let waiting = self.dispatcher.steps_waiting();
        observe::set_owner_metrics(workers, runs, unassigned, &waiting);
        observe::set_account_metrics(&self.dispatcher.account_statuses());
        observe::record_hindsight(self.dispatcher.take_hindsight());
        let learned = self.dispatcher.learned_pressures();
        if learned != self.stored_pressures {
            let put = Put::persistent(keys::PRESSURES.to_owned(), keys::encode(&learned));
            transaction.puts.push(put);
            self.stored_pressures = learned;
        }
    }

    /// Sends the pending commit after a delay.
    pub(super) fn send_commit(&mut self, delay: Duration) {
        let Some((transaction, _)) = &self.pending_commit else {
            return;
        };
        let transaction = transaction.clone();
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
        if let Some((_, since)) = &self.pending_commit {
            observe::record_commit(result.is_ok(), since.elapsed());
        }
        match result {
            Ok(revision) => {
                self.commit_revision = revision;
                self.pending_commit = None;
                self.dispatcher.commit_stored(now);
            }
            Err(KvError::Conflict { items }) => {
                // The conflict may be with an earlier, unanswered attempt of this same commit.
                let own_id = self
                    .pending_commit
                    .as_ref()
                    .map(|(t, _)| t.puts[0].value.clone());
                let owner = items.iter().find(|item| item.key == keys::OWNER);
                let last = items.iter().find(|item| item.key == keys::COMMIT);
                let is_owner = owner.is_some_and(|item| item.revision == self.term.fence);
                let applied = last.filter(|item| item.bytes().ok() == own_id.as_deref());
                let Some(applied) = applied.filter(|_| is_owner) else {
                    return Some(if owner.is_none() {
                        Outcome::LeaseEnded
                    } else {
                        Outcome::Superseded
                    });
                };
                self.commit_revision = applied.revision;
                self.pending_commit = None;
                self.dispatcher.commit_stored(now);
            }
            Err(error) => {
                self.log_failed(&error);
                self.send_commit(watcher::retry_delay());
            }
        }
        None
    }

    fn log_failed(&self, error: &KvError) {
        let Some((transaction, since)) = &self.pending_commit else {
            return;
        };
        let largest = transaction.largest();
        Entry::new(Kind::CommitFailed)
            .with("puts", transaction.puts.len())
            .with("bytes", transaction.value_bytes())
            .with("largest", largest.map(|put| &put.key))
            .with("largest-bytes", largest.map(|put| put.value.len()))
            .with(
                "unstored-ms",
                u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
            )
            .with_text("cause", error)
            .emit();
    }
}
