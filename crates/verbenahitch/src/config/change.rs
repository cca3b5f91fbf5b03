//! Changes of the declarations in the store.
//!
//! A change is one transaction: a compare-and-swap of the document, and a change
//! record under the new revision that holds the unique write ID. When the answer
//! is lost, the change record shows whether the write took effect, even after
//! later changes.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{DECLARATIONS_KEY, Declarations, Fault, ZoneState};
use crate::adapter::Store;
use crate::port::{Entry, Op, StoreError, TxnOutcome};

/// Attempts at one write while its outcome is unknown.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Attempts at one edit that conflicts with unrelated changes.
const MAX_EDIT_ATTEMPTS: u32 = 8;

/// Number of newest revisions whose change records are kept.
const KEPT_CHANGE_RECORDS: u64 = 1_000;

/// Who makes a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Author {
    /// Unique ID of the write.
    pub write_id: String,
    /// Name of the operator.
    pub operator: String,
}

/// Why a change was not made, or may not have been.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ChangeError {
    /// The document is invalid; nothing was written.
    #[snafu(display("{}", fault_lines(faults)))]
    Faulty {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// Another change was accepted since revision `from`; nothing was written.
    #[snafu(display(
        "the change was made from revision {from}, but revision {} is accepted already",
        newer.revision
    ))]
    Stale {
        /// Revision that the change is based on.
        from: u64,
        /// Accepted declarations.
        newer: Box<Declarations>,
    },
    /// The availability zone is not declared; nothing was written.
    #[snafu(display("zone {zone:?} is not declared"))]
    UnknownZone {
        /// Requested name.
        zone: String,
    },
    /// The store failed, or every attempt met a conflict; nothing was written.
    #[snafu(display("not changed: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The outcome is unknown: the change may have been accepted.
    #[snafu(display("it is not known whether the change was accepted: {reason}"))]
    UnknownOutcome {
        /// Why.
        reason: String,
    },
}

struct Stored {
    declarations: Declarations,
    index: u64,
}

/// Reads the accepted declarations.
///
/// # Errors
///
/// When the store does not answer, or holds a malformed document.
pub async fn read(store: &Store) -> Result<Declarations, ChangeError> {
    Ok(read_stored(store).await?.declarations)
}

/// Accepts `document` as the successor of revision `from`; returns it as accepted.
///
/// # Errors
///
/// See [`ChangeError`].
pub async fn apply(
    store: &Store,
    document: Declarations,
    from: u64,
    author: &Author,
) -> Result<Declarations, ChangeError> {
    let faults = document.faults();
    if !faults.is_empty() {
        return Err(ChangeError::Faulty { faults });
    }
    let stored = read_stored(store).await?;
    if stored.declarations.revision != from {
        let newer = Box::new(stored.declarations);
        return Err(ChangeError::Stale { from, newer });
    }
    let faults = stored.declarations.succession_faults(&document);
    if !faults.is_empty() {
        return Err(ChangeError::Faulty { faults });
    }
    let next = Declarations {
        revision: from + 1,
        write_id: author.write_id.clone(),
        ..document
    };
    write(store, next, stored.index, author).await
}

/// Puts an availability zone in or out of service; returns the accepted declarations.
///
/// After a conflict with a change that does not concern the zone, it tries again.
///
/// # Errors
///
/// See [`ChangeError`].
pub async fn set_zone(
    store: &Store,
    zone: &str,
    state: ZoneState,
    author: &Author,
) -> Result<Declarations, ChangeError> {
    let mut expected = None;
    let mut conflict = None;
    for _ in 0..MAX_EDIT_ATTEMPTS {
        let mut next = read(store).await?;
        let Some(declared) = next.zones.get_mut(zone) else {
            let zone = zone.to_owned();
            return Err(ChangeError::UnknownZone { zone });
        };
        if let Some(error) = conflict.take()
            && expected != Some(*declared)
        {
            return Err(error);
        }
        if declared.state == state {
            return Ok(next);
        }
        expected = Some(*declared);
        declared.state = state;
        let from = next.revision;
        match apply(store, next, from, author).await {
            Err(error @ ChangeError::Stale { .. }) => conflict = Some(error),
            other => return other,
        }
    }
    let reason = format!("{MAX_EDIT_ATTEMPTS} other changes came first");
    Err(ChangeError::Unavailable { reason })
}

async fn write(
    store: &Store,
    next: Declarations,
    index: u64,
    author: &Author,
) -> Result<Declarations, ChangeError> {
    let from = next.revision - 1;
    let ops = operations(&next, index, author);
    let mut lost_answer = None;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.transact(&ops).await {
            Ok(TxnOutcome::Committed { .. }) => return Ok(next),
            Ok(TxnOutcome::Conflict { .. }) => {
                return resolve_conflict(store, next, from, author, lost_answer).await;
            }
            Err(StoreError::Unanswered { reason, .. }) => lost_answer = Some(reason),
            Err(error) if lost_answer.is_none() => {
                let reason = error.to_string();
                return Err(ChangeError::Unavailable { reason });
            }
            Err(_) => {}
        }
    }
    let reason = lost_answer.unwrap_or_default();
    Err(ChangeError::UnknownOutcome { reason })
}

/// Determines whether this write itself caused the conflict, by an earlier
/// attempt whose answer was lost, or another change did.
async fn resolve_conflict(
    store: &Store,
    next: Declarations,
    from: u64,
    author: &Author,
    lost_answer: Option<String>,
) -> Result<Declarations, ChangeError> {
    let failure = |error: String| match lost_answer.clone() {
        Some(_) => ChangeError::UnknownOutcome { reason: error },
        None => ChangeError::Unavailable { reason: error },
    };
    let record = store.get(&change_record_key(next.revision)).await;
    let record = record.map_err(|error| failure(error.to_string()))?;
    let winner = record.and_then(|record| serde_json::from_slice::<Author>(&record.value).ok());
    if winner.is_some_and(|winner| winner.write_id == author.write_id) {
        return Ok(next);
    }
    let newer = read(store).await;
    let newer = Box::new(newer.map_err(|error| failure(error.to_string()))?);
    Err(ChangeError::Stale { from, newer })
}

fn operations(next: &Declarations, index: u64, author: &Author) -> Vec<Op> {
    let bytes = |value: serde_json::Result<Vec<u8>>| {
        value.expect("declarations and authors can always be serialized as JSON")
    };
    let mut ops = vec![
        Op::Cas {
            key: DECLARATIONS_KEY.to_owned(),
            value: bytes(serde_json::to_vec(next)),
            index,
        },
        Op::Cas {
            key: change_record_key(next.revision),
            value: bytes(serde_json::to_vec(author)),
            index: 0,
        },
    ];
    if let Some(oldest) = next.revision.checked_sub(KEPT_CHANGE_RECORDS) {
        let key = change_record_key(oldest);
        ops.push(Op::Delete { key });
    }
    ops
}

fn change_record_key(revision: u64) -> String {
    format!("verbenahitch/changes/{revision}")
}

async fn read_stored(store: &Store) -> Result<Stored, ChangeError> {
    let unavailable = |reason: String| ChangeError::Unavailable { reason };
    let entry = store.get(DECLARATIONS_KEY).await;
    let entry = entry.map_err(|error| unavailable(error.to_string()))?;
    let Some(Entry {
        value,
        modify_index,
        ..
    }) = entry
    else {
        return Ok(Stored {
            declarations: Declarations::default(),
            index: 0,
        });
    };
    let declarations = serde_json::from_slice(&value);
    let declarations =
        declarations.map_err(|error| unavailable(format!("malformed declarations: {error}")))?;
    Ok(Stored {
        declarations,
        index: modify_index,
    })
}

fn fault_lines(faults: &[Fault]) -> String {
    let lines = faults
        .iter()
        .map(|fault| format!("{}: {}", fault.path, fault.reason));
    lines.collect::<Vec<_>>().join("\n")
}
