//! Changing the declarations in the store.
//!
//! A change is one transaction: compare-and-swap of the document, and a note of
//! the new revision with the unique identity of the write. When the answer is
//! lost, the note tells whether the write took effect, also if another change
//! came after it.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{DECLARATIONS_KEY, Declarations, Fault, ZoneState};
use crate::adapter::Store;
use crate::port::{Entry, Op, StoreError, Txn};

/// Attempts at one write whose answer is lost.
const ATTEMPTS: u32 = 4;

/// Attempts at one edit that loses races which do not concern it.
const RACES: u32 = 8;

/// Revisions whose notes are kept.
const KEPT_NOTES: u64 = 1_000;

/// Who makes a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Author {
    /// Unique identity of the write.
    pub write_id: String,
    /// Name of the operator.
    pub operator: String,
}

/// Why a change was not made, or may not have been.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ChangeError {
    /// The document has faults; nothing was written.
    #[snafu(display("{}", listed(faults)))]
    Faulty {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The declarations moved on; nothing was written.
    #[snafu(display(
        "the change was made from revision {from}, but revision {} is accepted already",
        newer.revision
    ))]
    Stale {
        /// Revision that the change was made from.
        from: u64,
        /// What is accepted.
        newer: Box<Declarations>,
    },
    /// The availability zone is not declared; nothing was written.
    #[snafu(display("zone {zone:?} is not declared"))]
    UnknownZone {
        /// Name that was asked for.
        zone: String,
    },
    /// The store took nothing; nothing was written.
    #[snafu(display("not changed: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The change may or may not have been accepted.
    #[snafu(display("it is not known whether the change was accepted: {reason}"))]
    Unclear {
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
/// When the store gives no answer, or holds a malformed document.
pub async fn read(store: &Store) -> Result<Declarations, ChangeError> {
    Ok(stored(store).await?.declarations)
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
    let stored = stored(store).await?;
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

/// Puts an availability zone in or out of service; returns what is accepted then.
///
/// Changes of others that leave the zone alone do not stop this one.
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
    let mut seen = None;
    let mut race = None;
    for _ in 0..RACES {
        let mut next = read(store).await?;
        let Some(declared) = next.zones.get_mut(zone) else {
            let zone = zone.to_owned();
            return Err(ChangeError::UnknownZone { zone });
        };
        if let Some(error) = race.take()
            && seen != Some(*declared)
        {
            return Err(error);
        }
        if declared.state == state {
            return Ok(next);
        }
        seen = Some(*declared);
        declared.state = state;
        let from = next.revision;
        match apply(store, next, from, author).await {
            Err(error @ ChangeError::Stale { .. }) => race = Some(error),
            other => return other,
        }
    }
    let reason = format!("{RACES} other changes came first");
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
    let mut unclear = None;
    for _ in 0..ATTEMPTS {
        match store.transact(&ops).await {
            Ok(Txn::Committed { .. }) => return Ok(next),
            Ok(Txn::Conflict { .. }) => {
                return resolve(store, next, from, author, unclear).await;
            }
            Err(StoreError::Unanswered { reason, .. }) => unclear = Some(reason),
            Err(error) if unclear.is_none() => {
                let reason = error.to_string();
                return Err(ChangeError::Unavailable { reason });
            }
            Err(_) => {}
        }
    }
    let reason = unclear.unwrap_or_default();
    Err(ChangeError::Unclear { reason })
}

/// Tells whose write made the revision that this one was to make.
async fn resolve(
    store: &Store,
    next: Declarations,
    from: u64,
    author: &Author,
    unclear: Option<String>,
) -> Result<Declarations, ChangeError> {
    let failed = |error: String| match unclear.clone() {
        Some(_) => ChangeError::Unclear { reason: error },
        None => ChangeError::Unavailable { reason: error },
    };
    let note = store.get(&note_key(next.revision)).await;
    let note = note.map_err(|error| failed(error.to_string()))?;
    let maker = note.and_then(|note| serde_json::from_slice::<Author>(&note.value).ok());
    if maker.is_some_and(|maker| maker.write_id == author.write_id) {
        return Ok(next);
    }
    let newer = read(store).await;
    let newer = Box::new(newer.map_err(|error| failed(error.to_string()))?);
    Err(ChangeError::Stale { from, newer })
}

fn operations(next: &Declarations, index: u64, author: &Author) -> Vec<Op> {
    let bytes = |value: serde_json::Result<Vec<u8>>| {
        value.expect("declarations and authors always have a JSON form")
    };
    let mut ops = vec![
        Op::Cas {
            key: DECLARATIONS_KEY.to_owned(),
            value: bytes(serde_json::to_vec(next)),
            index,
        },
        Op::Cas {
            key: note_key(next.revision),
            value: bytes(serde_json::to_vec(author)),
            index: 0,
        },
    ];
    if let Some(old) = next.revision.checked_sub(KEPT_NOTES) {
        let key = note_key(old);
        ops.push(Op::Delete { key });
    }
    ops
}

fn note_key(revision: u64) -> String {
    format!("verbenahitch/changes/{revision}")
}

async fn stored(store: &Store) -> Result<Stored, ChangeError> {
    let unavailable = |reason: String| ChangeError::Unavailable { reason };
    let entry = store.get(DECLARATIONS_KEY).await;
    let entry = entry.map_err(|error| unavailable(error.to_string()))?;
    let Some(Entry { value, modify, .. }) = entry else {
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
        index: modify,
    })
}

fn listed(faults: &[Fault]) -> String {
    let lines = faults.iter().map(|f| format!("{}: {}", f.path, f.reason));
    lines.collect::<Vec<_>>().join("\n")
}
