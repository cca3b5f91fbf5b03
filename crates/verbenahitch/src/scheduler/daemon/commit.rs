//! Group commit of a shard: one transaction that requires the shard's lock.
//!
//! Every transaction updates the shard's batch key by compare-and-swap. A
//! delayed transaction therefore cannot take effect after a later one, and the
//! value of the key shows whether a transaction with a lost answer took effect.

use super::keys::{self, BatchValue};
use crate::adapter::Store;
use crate::collections::HashSet;
use crate::domain::{JobId, ShardId};
use crate::port::{Op, StoreError, TxnOutcome};
use crate::scheduler::{Batch, CommitError, Write};

/// Writer of one shard for one epoch.
#[derive(Debug)]
pub(super) struct Writer {
    store: Store,
    shard: ShardId,
    session: String,
    epoch: u64,
    /// Modify index of the batch key.
    index: u64,
    /// Jobs whose record is still in the inbox.
    in_inbox: HashSet<JobId>,
}

impl Writer {
    /// Creates the writer of `epoch`; `index` is the modify index of the batch key.
    pub(super) fn new(store: Store, shard: ShardId, session: &str, epoch: u64, index: u64) -> Self {
        Self {
            store,
            shard,
            session: session.to_owned(),
            epoch,
            index,
            in_inbox: HashSet::default(),
        }
    }

    /// Registers a job whose record is in the inbox; its first write deletes it there.
    pub(super) fn expect_in_inbox(&mut self, id: JobId) {
        self.in_inbox.insert(id);
    }

    /// Writes a batch.
    ///
    /// # Errors
    ///
    /// When the store gives no answer or another process owns the shard.
    pub(super) async fn commit(&mut self, batch: &Batch) -> Result<(), CommitError> {
        let ops = batch.writes.iter().flat_map(|write| self.ops(write));
        self.transact(batch.number, ops.collect()).await?;
        for write in &batch.writes {
            if let Write::Put(record) = write {
                self.in_inbox.remove(&record.id);
            }
        }
        Ok(())
    }

    fn ops(&self, write: &Write) -> Vec<Op> {
        match write {
            Write::Put(record) => {
                let mut ops = vec![Op::Set {
                    key: keys::job(&self.shard, &record.id),
                    value: keys::encode(record),
                }];
                if self.in_inbox.contains(&record.id) {
                    let key = keys::inbox_job(&self.shard, &record.id);
                    ops.push(Op::Delete { key });
                }
                ops
            }
            Write::Move { record, to } => vec![
                Op::Delete {
                    key: keys::job(&self.shard, &record.id),
                },
                Op::Set {
                    key: keys::inbox_job(to, &record.id),
                    value: keys::encode(record),
                },
                Op::Set {
                    key: keys::name(&record.id),
                    value: to.to_string().into_bytes(),
                },
            ],
            Write::Remove(id) => vec![
                Op::Delete {
                    key: keys::job(&self.shard, id),
                },
                Op::Delete {
                    key: keys::name(id),
                },
            ],
            Write::Workers(addresses) => vec![Op::Set {
                key: keys::workers(&self.shard),
                value: keys::encode(addresses),
            }],
        }
    }

    async fn transact(&mut self, number: u64, writes: Vec<Op>) -> Result<(), CommitError> {
        let value = keys::encode(&BatchValue {
            epoch: self.epoch,
            number,
        });
        let mut ops = vec![
            Op::CheckSession {
                key: keys::owner(&self.shard),
                session: self.session.clone(),
            },
            Op::Cas {
                key: keys::batch(&self.shard),
                value: value.clone(),
                index: self.index,
            },
        ];
        ops.extend(writes);
        match self.store.transact(&ops).await {
            Ok(TxnOutcome::Committed { index }) => {
                self.index = index;
                Ok(())
            }
            Ok(TxnOutcome::Conflict { .. }) | Err(StoreError::Unanswered { .. }) => {
                self.resolve_outcome(&value).await
            }
            Err(error) => {
                log::warn!("commit of shard {} failed: {error}", self.shard);
                Err(CommitError::Unavailable)
            }
        }
    }

    /// Reads from the store whether the transaction that wrote `value` took effect.
    async fn resolve_outcome(&mut self, value: &[u8]) -> Result<(), CommitError> {
        let batch = self.store.get(&keys::batch(&self.shard)).await;
        let owner = self.store.get(&keys::owner(&self.shard)).await;
        let (Ok(batch), Ok(owner)) = (batch, owner) else {
            return Err(CommitError::Unavailable);
        };
        if let Some(entry) = &batch {
            self.index = entry.modify_index;
            if entry.value == value {
                return Ok(());
            }
        }
        let holder = owner.and_then(|entry| entry.session);
        if holder.as_deref() == Some(self.session.as_str()) {
            Err(CommitError::Unavailable)
        } else {
            Err(CommitError::NotOwner)
        }
    }
}
