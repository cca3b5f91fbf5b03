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
    /// Write ID of the claim.
    pub write: String,
    /// Whether the request provably did not run.
    #[serde(default)]
    pub released: bool,
}

/// State of a key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No entry.
    Absent,
    /// A released claim, with the index of its last change.
    Released(u64),
    /// A claim, with its write ID and the index of its last change.
    Claimed(String, u64),
}

impl Record {
    /// Value of a claim.
    pub fn claimed(write: &str) -> Vec<u8> {
        encode(write, false)
    }

    /// Value of a released claim.
    pub fn released(write: &str) -> Vec<u8> {
        encode(write, true)
    }
}

impl KeyState {
    /// Reads the state from an entry; an unreadable value counts as a claim.
    pub fn read(entry: Option<&Entry>) -> Self {
        let Some(entry) = entry else {
            return Self::Absent;
        };
        match serde_json::from_slice::<Record>(&entry.value) {
            Ok(record) if record.released => Self::Released(entry.modify_index),
            Ok(record) => Self::Claimed(record.write, entry.modify_index),
            Err(_) => Self::Claimed(String::new(), entry.modify_index),
        }
    }
}

/// Name that is unique for a request kind and a caller's key.
pub fn name(kind: &str, key: &str) -> String {
    URL_SAFE_NO_PAD.encode(format!("{kind}\n{key}"))
}

/// Bucket of the wall-clock time.
pub fn bucket(wall_ms: Millis, bucket_ms: Millis) -> u64 {
    wall_ms / bucket_ms.max(1)
}

/// Store key of `name` in `bucket`.
pub fn store_key(bucket: u64, name: &str) -> String {
    format!("{PREFIX}/{bucket}/{name}")
}

/// Prefix of all store keys in `bucket`.
pub fn bucket_prefix(bucket: u64) -> String {
    format!("{PREFIX}/{bucket}/")
}

fn encode(write: &str, released: bool) -> Vec<u8> {
    let record = Record {
        write: write.to_owned(),
        released,
    };
    serde_json::to_vec(&record).expect("a record of plain fields is always valid JSON")
}
