//! Commits of the owner: one under way at a time, each on the condition that this
//! process still owns the dispatching and that the commit before it was the last.

use std::time::Duration;

use super::driver::Driver;
use super::{Outcome, OwnerEvent};
use crate::dispatch::{JobState, Write};
use crate::domain::Millis;
use crate::entry::keys::{self, JobEntry};
use crate::entry::{follow, observe};
use crate::port::{Clock, KeyValue, KvError, Platform, Put, Transaction};

/// Time between two records of what was learned, in milliseconds. Few enough not to
/// show among the commits.
const LEARNED_MS: Millis = 3_000;

impl<P: Platform> Driver<P> {
    pub(super) fn transaction(&self, writes: &[Write]) -> Transaction {
        let mark = format!("{:016x}", rand::random::<u64>());
        let mut transaction = Transaction {
            expected: vec![
                (keys::OWNER.to_owned(), self.term.fence),
                (keys::COMMIT.to_owned(), self.commit_revision),
            ],
            puts: vec![Put::lasting(keys::COMMIT.to_owned(), mark.into_bytes())],
            removes: Vec::new(),
        };
        for write in writes {
            let record = &write.record;
            let is_over =
                record.state.is_final() && record.tasks.iter().all(|task| task.runs.is_empty());
            if is_over {
                let entry = JobEntry::Ended(record.state);
                let put = Put::lasting(keys::job(write.job), keys::encode(&entry));
                transaction.puts.push(put);
                transaction.removes.push(keys::progress(write.job));
                if record.state == JobState::Cancelled {
                    transaction.removes.push(keys::cancel(write.job));
                }
            } else {
                let put = Put::lasting(keys::progress(write.job), keys::encode(record));
                transaction.puts.push(put);
            }
        }
        transaction
    }

    /// Adds what was learned of images, from time to time.
    pub(super) fn add_learned(&mut self, transaction: &mut Transaction) {
        let now = self.clock.now();
        if now.since(self.learned_at) < LEARNED_MS {
            return;
        }
        self.learned_at = now;
        let (workers, runs) = self.dispatcher.counts(now);
        observe::owned(workers, runs);
        let learned = self.dispatcher.learned();
        if learned != self.learned {
            let put = Put::lasting(keys::LEARNED.to_owned(), keys::encode(&learned));
            transaction.puts.push(put);
            self.learned = learned;
        }
    }

    /// Sends the commit under way, after a pause.
    pub(super) fn send_commit(&mut self, pause: Duration) {
        let Some((transaction, _)) = &self.commit else {
            return;
        };
        let transaction = transaction.clone();
        let kv = self.shared.platform.kv().clone();
        let sender = self.sender.clone();
        self.calls.spawn_local(async move {
            tokio::time::sleep(pause).await;
            let result = kv.commit(&transaction).await;
            // The loop may have ended meanwhile.
            let _ = sender.send(OwnerEvent::Committed(result));
        });
    }

    pub(super) fn committed(&mut self, result: Result<u64, KvError>) -> Option<Outcome> {
        let now = self.clock.now();
        if let Some((_, since)) = &self.commit {
            observe::committed(result.is_ok(), since.elapsed());
        }
        match result {
            Ok(revision) => {
                self.commit_revision = revision;
                self.commit = None;
                self.dispatcher.written(now);
            }
            Err(KvError::Conflict { items }) => {
                // An earlier attempt without an answer may have been carried out.
                let own = self.commit.as_ref().map(|(t, _)| t.puts[0].value.clone());
                let owner = items.iter().find(|item| item.key == keys::OWNER);
                let last = items.iter().find(|item| item.key == keys::COMMIT);
                let is_owner = owner.is_some_and(|item| item.created == self.term.fence);
                let done = last.filter(|item| Some(&item.value) == own.as_ref());
                let Some(done) = done.filter(|_| is_owner) else {
                    return Some(if owner.is_none() {
                        Outcome::LeaseEnded
                    } else {
                        Outcome::Superseded
                    });
                };
                self.commit_revision = done.revision;
                self.commit = None;
                self.dispatcher.written(now);
            }
            Err(error) => {
                log::info!("a commit is repeated: {error}");
                self.send_commit(follow::retry_wait());
            }
        }
        None
    }
}
