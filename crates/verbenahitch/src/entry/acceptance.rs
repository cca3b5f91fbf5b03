//! Acceptance of a job: one conditional write, which succeeds once per identifier.
//!
//! Load pattern: answers of the store are lost, writes are carried out seconds late, hosts pause
//! between two attempts, and callers send a job again at other hosts. An acceptance therefore names
//! the keys by which a refusal ([`refusals`](super::refusals)) or a cancel
//! ([`cancels`](super::cancels)) excludes its job: whichever of them the store carries out first
//! decides, whenever it was sent. A refusal gives way to a caller that returns, a cancel does not.

use super::intake::IntakeOutcome;
use super::{keys, observe};
use crate::dispatch::{JobId, are_foreign};
use crate::event::{Entry, Kind};
use crate::port::{Item, KeyValue, KvError, Put, Transaction, find};

/// Largest number of times that a write is sent: again after a lost answer, and again if its job
/// was refused before.
const ATTEMPTS: usize = 3;

/// Stores a job with its entry `value`, for the caller's account. A job that the store holds
/// counts as stored: it is from an earlier attempt.
pub async fn accept<K: KeyValue>(
    kv: &K,
    id: JobId,
    value: Vec<u8>,
    account: Option<&str>,
) -> IntakeOutcome {
    let key = keys::job(id);
    let mut transaction = Transaction {
        expected: vec![
            (key.clone(), 0),
            (keys::refused(id), 0),
            (keys::cancel(id), 0),
        ],
        puts: vec![Put::persistent(key.clone(), value)],
        removes: Vec::new(),
    };
    let mut was_unanswered = false;
    for _ in 0..ATTEMPTS {
        match kv.commit(&transaction).await {
            Ok(_) => return IntakeOutcome::Stored,
            Err(KvError::Conflict { items }) => {
                if find(&items, &key).is_some() {
                    return IntakeOutcome::Stored;
                }
                if is_cancelled(id, &items, account) {
                    // No earlier attempt is carried out from now on: each names the cancel's key.
                    Entry::new(Kind::JobRefused)
                        .with_text("job", id)
                        .with("cause", "cancelled")
                        .emit();
                    observe::record_rejection("cancelled");
                    return IntakeOutcome::Cancelled;
                }
                name_excluding(&mut transaction, &items);
            }
            Err(KvError::Unanswered { cause }) if !was_unanswered => {
                log::info!("no answer to a write of {key}, which is sent again: {cause}");
                was_unanswered = true;
            }
            Err(error) if was_unanswered => {
                log::warn!("a write of {key} may or may not have been applied: {error}");
                return IntakeOutcome::Unknown;
            }
            Err(KvError::Rejected { cause }) => {
                log::warn!("the store rejects {key} as it is: {cause}");
                return IntakeOutcome::Unstorable;
            }
            Err(error) => {
                log::info!("the store refused a write of {key}: {error}");
                return IntakeOutcome::Refused;
            }
        }
    }
    log::info!("{key} was refused elsewhere meanwhile");
    if was_unanswered {
        IntakeOutcome::Unknown
    } else {
        IntakeOutcome::Refused
    }
}

/// Whether the items of a conflict hold a cancel that applies to a job of `account`.
fn is_cancelled(id: JobId, items: &[Item], account: Option<&str>) -> bool {
    find(items, &keys::cancel(id))
        .is_some_and(|item| !are_foreign(account, keys::read_cancel(item).account.as_deref()))
}

/// Lets a transaction name the excluding keys as a conflict shows them, and remove those that
/// exist. One may be gone meanwhile, as its lease has ended.
fn name_excluding(transaction: &mut Transaction, items: &[Item]) {
    transaction.removes.clear();
    for (key, revision) in transaction.expected.iter_mut().skip(1) {
        let item = find(items, key);
        *revision = item.map_or(0, |item| item.revision);
        if item.is_some() {
            transaction.removes.push(key.clone());
        }
    }
}
