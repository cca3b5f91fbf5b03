//! Writes and releases claims in the store.

use crate::adapter::Store;
use crate::port::{Op, StoreError, TxnOutcome};

use super::committer::{Claim, ClaimRequest, ClaimResult};
use super::record::{self, KeyState, Record};

/// Most tries of one operation whose answer was lost or that hit a conflict.
const MAX_TRIES: usize = 3;
/// Operations of one claim: one for its bucket and one for each neighbour.
const OPS_PER_CLAIM: usize = 3;

/// Most claims in one transaction of at most 64 operations.
pub const CLAIMS_PER_COMMIT: usize = 64 / OPS_PER_CLAIM;

/// Commits `requests` in one transaction; those that conflict are resolved one by one.
pub async fn commit(store: &Store, bucket: u64, mut requests: Vec<ClaimRequest>) {
    let mut failure = String::new();
    for _ in 0..MAX_TRIES {
        if requests.is_empty() {
            return;
        }
        let ops: Vec<Op> = requests
            .iter()
            .flat_map(|request| claim_ops(bucket, request))
            .collect();
        match store.transact(&ops).await {
            Ok(TxnOutcome::Committed { index }) => {
                for request in requests {
                    request.grant(bucket, index);
                }
                return;
            }
            Ok(TxnOutcome::Conflict { failed }) => {
                let conflicts = |at: usize| failed.iter().any(|op| op / OPS_PER_CLAIM == at);
                let mut rest = Vec::with_capacity(requests.len());
                for (at, request) in requests.into_iter().enumerate() {
                    match conflicts(at) {
                        true => resolve(store, bucket, request).await,
                        false => rest.push(request),
                    }
                }
                requests = rest;
            }
            // The next try uses the same write IDs: if this one took effect, the
            // next conflicts and finds its own write IDs.
            Err(error) => failure = error.to_string(),
        }
    }
    for request in requests {
        request.fail(bucket, &failure);
    }
}

/// Releases `claim` if it still holds its key; true once it is certain that it does not.
pub async fn release(store: &Store, claim: &Claim) -> bool {
    let path = record::store_key(claim.bucket, &claim.name);
    for _ in 0..MAX_TRIES {
        let index = match claim.index {
            Some(index) => index,
            None => match store
                .get(&path)
                .await
                .map(|entry| KeyState::read(entry.as_ref()))
            {
                Ok(KeyState::Claimed(write, index)) if write == claim.write => index,
                Ok(_) => return true,
                Err(_) => continue,
            },
        };
        match store
            .cas(&path, Record::released(&claim.write), index)
            .await
        {
            Ok(_) => return true,
            // The answer may be lost after success; another try then changes nothing.
            Err(StoreError::Unanswered { .. } | StoreError::Unreachable { .. }) => {}
            Err(StoreError::Rejected { .. }) => return false,
        }
    }
    false
}

/// Decides one request that conflicts with what the store holds.
async fn resolve(store: &Store, bucket: u64, request: ClaimRequest) {
    let mut failure = String::new();
    for _ in 0..MAX_TRIES {
        match try_resolve(store, bucket, &request).await {
            Ok(Some(ClaimResult::Granted(claim))) => {
                return request.grant(claim.bucket, claim.index.unwrap_or(0));
            }
            Ok(Some(result)) => return request.answer(result),
            Ok(None) => failure = "the key changes too fast".to_owned(),
            Err(error) => failure = error.to_string(),
        }
    }
    request.fail(bucket, &failure);
}

async fn try_resolve(
    store: &Store,
    bucket: u64,
    request: &ClaimRequest,
) -> Result<Option<ClaimResult>, StoreError> {
    let mut ops = Vec::with_capacity(OPS_PER_CLAIM);
    for each in buckets(bucket) {
        let path = record::store_key(each, &request.name);
        let entry = store.get(&path).await?;
        match KeyState::read(entry.as_ref()) {
            KeyState::Claimed(write, index) if write == request.write => {
                return Ok(Some(ClaimResult::Granted(request.claim(each, Some(index)))));
            }
            KeyState::Claimed(..) => return Ok(Some(ClaimResult::AlreadySent)),
            KeyState::Absent if each == bucket => ops.push(claim_op(path, request, 0)),
            KeyState::Absent => ops.push(Op::CheckAbsent { key: path }),
            KeyState::Released(index) if each == bucket => ops.push(claim_op(path, request, index)),
            // Rewriting the released value fails if the key was claimed in the meantime.
            KeyState::Released(index) => ops.push(Op::Cas {
                key: path,
                value: entry.map(|entry| entry.value).unwrap_or_default(),
                index,
            }),
        }
    }
    match store.transact(&ops).await? {
        TxnOutcome::Committed { index } => Ok(Some(ClaimResult::Granted(
            request.claim(bucket, Some(index)),
        ))),
        TxnOutcome::Conflict { .. } => Ok(None),
    }
}

fn claim_ops(bucket: u64, request: &ClaimRequest) -> [Op; OPS_PER_CLAIM] {
    buckets(bucket).map(|each| {
        let key = record::store_key(each, &request.name);
        match each == bucket {
            true => claim_op(key, request, 0),
            false => Op::CheckAbsent { key },
        }
    })
}

fn claim_op(key: String, request: &ClaimRequest, index: u64) -> Op {
    Op::Cas {
        key,
        value: Record::claimed(&request.write),
        index,
    }
}

fn buckets(bucket: u64) -> [u64; OPS_PER_CLAIM] {
    [bucket, bucket.wrapping_sub(1), bucket.wrapping_add(1)]
}
