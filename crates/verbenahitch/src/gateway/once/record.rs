//! Keys and values of claims in the store.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::domain::Millis;
use crate::port::Entry;

const PREFIX: &str = "verbenahitch/once";

/// Value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Write identity of the claim.
    pub write: String,
    /// Whether the request provably did not run.
    #[serde(default)]
    pub released: bool,
}

/// What the store holds under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Held {
    /// Nothing.
    Absent,
    /// A claim that was released, with the index of its newest change.
    Released(u64),
    /// A claim, with the index of its newest change.
    Spent(String, u64),
}

impl Record {
    /// Value of a claim that stands.
    pub fn spent(write: &str) -> Vec<u8> {
        encode(write, false)
    }

    /// Value of a claim that was released.
    pub fn released(write: &str) -> Vec<u8> {
        encode(write, true)
    }
}

impl Held {
    /// Reads what a key holds; a value of another form counts as a claim.
    pub fn of(entry: Option<&Entry>) -> Self {
        let Some(entry) = entry else {
            return Self::Absent;
        };
        match serde_json::from_slice::<Record>(&entry.value) {
            Ok(record) if record.released => Self::Released(entry.modify),
            Ok(record) => Self::Spent(record.write, entry.modify),
            Err(_) => Self::Spent(String::new(), entry.modify),
        }
    }
}

/// Name of a caller's key of one request kind; no two pairs share one.
pub fn name(kind: &str, key: &str) -> String {
    URL_SAFE_NO_PAD.encode(format!("{kind}\n{key}"))
}

/// Bucket of the wall-clock time.
pub fn bucket(wall_ms: Millis, length_ms: Millis) -> u64 {
    wall_ms / length_ms.max(1)
}

/// Key in the store of `name` in `bucket`.
pub fn path(bucket: u64, name: &str) -> String {
    format!("{PREFIX}/{bucket}/{name}")
}

/// Prefix in the store of all keys in `bucket`.
pub fn tree(bucket: u64) -> String {
    format!("{PREFIX}/{bucket}/")
}

fn encode(write: &str, released: bool) -> Vec<u8> {
    let record = Record {
        write: write.to_owned(),
        released,
    };
    serde_json::to_vec(&record).expect("a record of plain fields is always valid JSON")
}
