//! Carrying of claims into the store.

use crate::adapter::Store;
use crate::port::{Op, StoreError, Txn};

use super::committer::{Ask, Claim, Ticket};
use super::record::{self, Held, Record};

/// Most tries of one call whose answer was lost.
const TRIES: usize = 3;
/// Operations that one claim needs.
const OPS_PER_CLAIM: usize = 3;

/// Most claims in one transaction of at most 64 operations.
pub const CLAIMS_PER_COMMIT: usize = 64 / OPS_PER_CLAIM;

/// Commits `asks` in one transaction; those that conflict are settled one by one.
pub async fn commit(store: &Store, bucket: u64, mut asks: Vec<Ask>) {
    let mut failure = String::new();
    for _ in 0..TRIES {
        if asks.is_empty() {
            return;
        }
        let ops: Vec<Op> = asks.iter().flat_map(|ask| fresh(bucket, ask)).collect();
        match store.transact(&ops).await {
            Ok(Txn::Committed { index }) => {
                for ask in asks {
                    ask.grant(bucket, index);
                }
                return;
            }
            Ok(Txn::Conflict { failed }) => {
                let conflicts = |at: usize| failed.iter().any(|op| op / OPS_PER_CLAIM == at);
                let mut rest = Vec::with_capacity(asks.len());
                for (at, ask) in asks.into_iter().enumerate() {
                    match conflicts(at) {
                        true => settle(store, bucket, ask).await,
                        false => rest.push(ask),
                    }
                }
                asks = rest;
            }
            // The same write identities go into the next try, so that a try
            // that did take effect is recognised by the conflict it causes.
            Err(error) => failure = error.to_string(),
        }
    }
    for ask in asks {
        ask.fail(bucket, &failure);
    }
}

/// Releases the claim of `ticket` if it still stands; says whether that is certain.
pub async fn release(store: &Store, ticket: &Ticket) -> bool {
    let path = record::path(ticket.bucket, &ticket.name);
    for _ in 0..TRIES {
        let index = match ticket.index {
            Some(index) => index,
            None => match store.get(&path).await.map(|entry| Held::of(entry.as_ref())) {
                Ok(Held::Spent(write, index)) if write == ticket.write => index,
                Ok(_) => return true,
                Err(_) => continue,
            },
        };
        match store
            .cas(&path, Record::released(&ticket.write), index)
            .await
        {
            Ok(_) => return true,
            // A lost answer may mean success; another try then changes nothing.
            Err(StoreError::Unanswered { .. } | StoreError::Unreachable { .. }) => {}
            Err(StoreError::Rejected { .. }) => return false,
        }
    }
    false
}

/// Decides one claim that conflicts with what the store holds.
async fn settle(store: &Store, bucket: u64, ask: Ask) {
    let mut failure = String::new();
    for _ in 0..TRIES {
        match settle_once(store, bucket, &ask).await {
            Ok(Some(Claim::Granted(ticket))) => {
                return ask.grant(ticket.bucket, ticket.index.unwrap_or(0));
            }
            Ok(Some(claim)) => return ask.answer(claim),
            Ok(None) => failure = "the key changes too fast".to_owned(),
            Err(error) => failure = error.to_string(),
        }
    }
    ask.fail(bucket, &failure);
}

async fn settle_once(store: &Store, bucket: u64, ask: &Ask) -> Result<Option<Claim>, StoreError> {
    let mut ops = Vec::with_capacity(OPS_PER_CLAIM);
    for near in buckets(bucket) {
        let path = record::path(near, &ask.name);
        let entry = store.get(&path).await?;
        match Held::of(entry.as_ref()) {
            Held::Spent(write, index) if write == ask.write => {
                return Ok(Some(Claim::Granted(ask.ticket(near, Some(index)))));
            }
            Held::Spent(..) => return Ok(Some(Claim::AlreadySent)),
            Held::Absent if near == bucket => ops.push(create(path, ask, 0)),
            Held::Absent => ops.push(Op::CheckAbsent { key: path }),
            Held::Released(index) if near == bucket => ops.push(create(path, ask, index)),
            // Writing the released value again fails if the key was claimed since.
            Held::Released(index) => ops.push(Op::Cas {
                key: path,
                value: entry.map(|entry| entry.value).unwrap_or_default(),
                index,
            }),
        }
    }
    match store.transact(&ops).await? {
        Txn::Committed { index } => Ok(Some(Claim::Granted(ask.ticket(bucket, Some(index))))),
        Txn::Conflict { .. } => Ok(None),
    }
}

fn fresh(bucket: u64, ask: &Ask) -> [Op; OPS_PER_CLAIM] {
    buckets(bucket).map(|near| {
        let key = record::path(near, &ask.name);
        match near == bucket {
            true => create(key, ask, 0),
            false => Op::CheckAbsent { key },
        }
    })
}

fn create(key: String, ask: &Ask, index: u64) -> Op {
    Op::Cas {
        key,
        value: Record::spent(&ask.write),
        index,
    }
}

fn buckets(bucket: u64) -> [u64; OPS_PER_CLAIM] {
    [bucket, bucket.wrapping_sub(1), bucket.wrapping_add(1)]
}
