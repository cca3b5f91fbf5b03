//! Transactions, which apply all of their operations or none.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};

use super::state::State;

/// One operation on the wire.
#[derive(Debug, Deserialize)]
pub(super) struct WireOp {
    #[serde(rename = "KV")]
    kv: WireKv,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireKv {
    verb: Verb,
    key: String,
    value: Option<String>,
    #[serde(default)]
    index: u64,
    #[serde(default)]
    session: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Verb {
    Set,
    Cas,
    Delete,
    CheckSession,
    CheckNotExists,
}

/// Answer to a transaction on the wire.
#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireTxn {
    results: Vec<WireResult>,
    errors: Vec<WireError>,
}

#[derive(Debug, Serialize)]
struct WireResult {
    #[serde(rename = "KV")]
    kv: WireModified,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireModified {
    key: String,
    modify_index: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireError {
    op_index: usize,
    what: String,
}

impl WireTxn {
    pub(super) fn is_committed(&self) -> bool {
        self.errors.is_empty()
    }
}

impl WireOp {
    /// Approximate size of the decoded value, in bytes.
    pub(super) fn value_len(&self) -> usize {
        self.kv
            .value
            .as_ref()
            .map_or(0, |value| value.len() / 4 * 3)
    }
}

/// Applies `ops` to `state` under one index, or none of them.
pub(super) fn apply(state: &mut State, ops: &[WireOp]) -> WireTxn {
    let index_before = state.index();
    let mut undo = Vec::new();
    let outcomes: Vec<_> = state.group(|state| {
        let each = ops.iter().map(|op| {
            undo.push(state.snapshot(&op.kv.key));
            apply_op(state, &op.kv)
        });
        each.collect()
    });
    let mut answer = WireTxn::default();
    for (op_index, outcome) in outcomes.into_iter().enumerate() {
        match outcome {
            Ok(kv) => answer.results.extend(kv.map(|kv| WireResult { kv })),
            Err(what) => answer.errors.push(WireError { op_index, what }),
        }
    }
    if !answer.is_committed() {
        answer.results.clear();
        for snapshot in undo.into_iter().rev() {
            state.restore(snapshot);
        }
        state.reset_index(index_before);
    }
    answer
}

fn apply_op(state: &mut State, op: &WireKv) -> Result<Option<WireModified>, String> {
    let key = &op.key;
    match op.verb {
        Verb::Set => state.set(key, decode_value(op)?),
        Verb::Cas => {
            if !state.matches_index(key, op.index) {
                return Err(format!("failed to set key {key:?}, index is stale"));
            }
            state.set(key, decode_value(op)?);
        }
        Verb::Delete => {
            state.delete(key);
            return Ok(None);
        }
        Verb::CheckSession if state.is_held_by(key, &op.session) => {}
        Verb::CheckSession => {
            return Err(format!("failed session check for key {key:?}"));
        }
        Verb::CheckNotExists if state.key(key).is_none() => return Ok(None),
        Verb::CheckNotExists => return Err(format!("key {key:?} exists")),
    }
    Ok(Some(WireModified {
        key: key.clone(),
        modify_index: state.key_index(key),
    }))
}

fn decode_value(op: &WireKv) -> Result<Vec<u8>, String> {
    let text = op.value.as_deref().unwrap_or_default();
    BASE64.decode(text).map_err(|error| error.to_string())
}
