//! Client of the platform's key-value service over the HTTP interface that
//! Consul publishes.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::http::{CallError, HttpClient, error_chain};
use crate::domain::Millis;
use crate::port::{Entry, Op, StoreError, TxnOutcome};

/// Time added to the requested wait of a watch for its HTTP timeout, in milliseconds.
const WATCH_MARGIN_MS: Millis = 2_000;

/// Client of the store; clones share its connections.
#[derive(Clone, Debug)]
pub struct Store {
    address: String,
    http: HttpClient,
}

/// State of a key, or of all keys under a prefix, at one index.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Index to pass to the next watch.
    pub index: u64,
    /// Entries, in the order of their keys.
    pub entries: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    key: String,
    value: Option<String>,
    modify_index: u64,
    lock_index: u64,
    #[serde(default)]
    session: Option<String>,
}

#[derive(Serialize)]
struct WireOp<'a> {
    #[serde(rename = "KV")]
    kv: WireKv<'a>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireKv<'a> {
    verb: &'static str,
    key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    index: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<&'a str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTxn {
    #[serde(default)]
    results: Option<Vec<WireResult>>,
    #[serde(default)]
    errors: Option<Vec<WireError>>,
}

#[derive(Deserialize)]
struct WireResult {
    #[serde(rename = "KV")]
    kv: Option<WireModified>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireModified {
    modify_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireError {
    op_index: usize,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireSession<'a> {
    name: &'a str,
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: &'static str,
    lock_delay: &'static str,
}

#[derive(Deserialize)]
struct WireSessionId {
    #[serde(rename = "ID")]
    id: String,
}

impl Store {
    /// Creates a client of the store at `address` (`ip:port`); calls time out after `timeout_ms`.
    pub fn new(address: &str, timeout_ms: Millis) -> Self {
        Self {
            address: address.to_owned(),
            http: HttpClient::new(timeout_ms),
        }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let url = self.url(&format!("kv/{key}"));
        let response = self.send(self.http.client().get(url)).await?;
        Ok(self.decode_entries(response).await?.entries.pop())
    }

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let url = self.url(&format!("kv/{prefix}?recurse=true"));
        let response = self.send(self.http.client().get(url)).await?;
        Ok(self.decode_entries(response).await?.entries)
    }

    /// Waits up to `wait_ms` until the index of `key` exceeds `index`, then reads the key.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn watch(
        &self,
        key: &str,
        index: u64,
        wait_ms: Millis,
    ) -> Result<Snapshot, StoreError> {
        let url = self.url(&format!("kv/{key}?index={index}&wait={wait_ms}ms"));
        let timeout = Duration::from_millis(wait_ms + WATCH_MARGIN_MS);
        let call = self.http.client().get(url).timeout(timeout).send();
        let response = match call.await {
            Ok(response) => response,
            Err(error) => {
                if error.is_timeout() {
                    self.http.replace_pool();
                }
                return Err(self.unreachable(error_chain(&error)));
            }
        };
        self.decode_entries(response).await
    }

    /// Sets `key` if its last change has the index `index`; index 0 requires that it is absent.
    ///
    /// # Errors
    ///
    /// When the store does not answer; [`StoreError`] shows whether the call may have taken effect.
    pub async fn cas(&self, key: &str, value: Vec<u8>, index: u64) -> Result<bool, StoreError> {
        self.put(&format!("kv/{key}?cas={index}"), value).await
    }

    /// Locks `key` for `session` and sets its value; false if another session holds the lock.
    ///
    /// # Errors
    ///
    /// When the store does not answer; [`StoreError`] shows whether the call may have taken effect.
    pub async fn acquire(
        &self,
        key: &str,
        value: Vec<u8>,
        session: &str,
    ) -> Result<bool, StoreError> {
        self.put(&format!("kv/{key}?acquire={session}"), value)
            .await
    }

    /// Unlocks `key` if `session` holds the lock, and sets its value.
    ///
    /// # Errors
    ///
    /// When the store does not answer; [`StoreError`] shows whether the call may have taken effect.
    pub async fn release(
        &self,
        key: &str,
        value: Vec<u8>,
        session: &str,
    ) -> Result<bool, StoreError> {
        self.put(&format!("kv/{key}?release={session}"), value)
            .await
    }

    /// Deletes all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// When the store does not answer; [`StoreError`] shows whether the call may have taken effect.
    pub async fn delete_tree(&self, prefix: &str) -> Result<(), StoreError> {
        let url = self.url(&format!("kv/{prefix}?recurse=true"));
        self.send(self.http.client().delete(url)).await?;
        Ok(())
    }

    /// Applies all of `ops` atomically, or none.
    ///
    /// # Errors
    ///
    /// When the store does not answer; [`StoreError`] shows whether the call may have taken effect.
    pub async fn transact(&self, ops: &[Op]) -> Result<TxnOutcome, StoreError> {
        let wire: Vec<WireOp<'_>> = ops.iter().map(wire_op).collect();
        let request = self.http.client().put(self.url("txn")).json(&wire);
        let response = match self.http.send(request).await {
            Ok(response) if response.status() == StatusCode::CONFLICT => response,
            Ok(response) => self.check_status(response).await?,
            Err(error) => return Err(self.call_failure(error)),
        };
        let txn: WireTxn = self.decode_body(response).await?;
        let failed: Vec<usize> = txn
            .errors
            .iter()
            .flatten()
            .map(|error| error.op_index)
            .collect();
        if !failed.is_empty() {
            return Ok(TxnOutcome::Conflict { failed });
        }
        let indices = txn
            .results
            .iter()
            .flatten()
            .filter_map(|result| result.kv.as_ref());
        let index = indices.map(|kv| kv.modify_index).max().unwrap_or(0);
        Ok(TxnOutcome::Committed { index })
    }

    /// Creates a session that lapses `ttl_ms` after its last renewal; returns its ID.
    ///
    /// # Errors
    ///
    /// When the store does not answer; a session that it created nevertheless lapses by itself.
    pub async fn create_session(&self, name: &str, ttl_ms: Millis) -> Result<String, StoreError> {
        let body = WireSession {
            name,
            ttl: format!("{ttl_ms}ms"),
            behavior: "release",
            lock_delay: "0s",
        };
        let request = self
            .http
            .client()
            .put(self.url("session/create"))
            .json(&body);
        let response = self.send(request).await?;
        let session: WireSessionId = self.decode_body(response).await?;
        Ok(session.id)
    }

    /// Renews a session; false if it has lapsed.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn renew_session(&self, session: &str) -> Result<bool, StoreError> {
        let url = self.url(&format!("session/renew/{session}"));
        match self.http.send(self.http.client().put(url)).await {
            Ok(response) if response.status() == StatusCode::NOT_FOUND => Ok(false),
            Ok(response) => self.check_status(response).await.map(|_| true),
            Err(error) => Err(self.call_failure(error)),
        }
    }

    /// Ends a session, which unlocks its keys.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn destroy_session(&self, session: &str) -> Result<(), StoreError> {
        let url = self.url(&format!("session/destroy/{session}"));
        self.send(self.http.client().put(url)).await?;
        Ok(())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    async fn put(&self, path: &str, value: Vec<u8>) -> Result<bool, StoreError> {
        let request = self.http.client().put(self.url(path)).body(value);
        let response = self.send(request).await?;
        self.decode_body(response).await
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, StoreError> {
        match self.http.send(request).await {
            Ok(response) if response.status() == StatusCode::NOT_FOUND => Ok(response),
            Ok(response) => self.check_status(response).await,
            Err(error) => Err(self.call_failure(error)),
        }
    }

    async fn check_status(&self, response: Response) -> Result<Response, StoreError> {
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let reason = response.text().await.unwrap_or_default();
        match status {
            StatusCode::TOO_MANY_REQUESTS => Err(self.unreachable(reason)),
            _ if status.is_server_error() => Err(self.unanswered(reason)),
            _ => Err(StoreError::Rejected {
                address: self.address.clone(),
                status: status.as_u16(),
                reason,
            }),
        }
    }

    async fn decode_entries(&self, response: Response) -> Result<Snapshot, StoreError> {
        let index = response
            .headers()
            .get("X-Consul-Index")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        if response.status() == StatusCode::NOT_FOUND {
            let entries = Vec::new();
            return Ok(Snapshot { index, entries });
        }
        let response = self.check_status(response).await?;
        let wire: Vec<WireEntry> = self.decode_body(response).await?;
        let entries = wire.into_iter().map(|entry| self.decode_entry(entry));
        let entries = entries.collect::<Result<_, _>>()?;
        Ok(Snapshot { index, entries })
    }

    fn decode_entry(&self, wire: WireEntry) -> Result<Entry, StoreError> {
        let value = BASE64
            .decode(wire.value.unwrap_or_default())
            .map_err(|error| self.malformed(&error))?;
        Ok(Entry {
            key: wire.key,
            value,
            modify_index: wire.modify_index,
            lock_index: wire.lock_index,
            session: wire.session.filter(|session| !session.is_empty()),
        })
    }

    async fn decode_body<T: serde::de::DeserializeOwned>(
        &self,
        response: Response,
    ) -> Result<T, StoreError> {
        let bytes = match response.bytes().await {
            Ok(bytes) => bytes,
            Err(error) => {
                if error.is_timeout() {
                    self.http.replace_pool();
                }
                return Err(self.unanswered(error_chain(&error)));
            }
        };
        serde_json::from_slice(&bytes).map_err(|error| self.malformed(&error))
    }

    fn call_failure(&self, error: CallError) -> StoreError {
        match error {
            CallError::NotSent(reason) => self.unreachable(reason),
            CallError::Unanswered(reason) => self.unanswered(reason),
        }
    }

    fn unreachable(&self, reason: String) -> StoreError {
        StoreError::Unreachable {
            address: self.address.clone(),
            reason,
        }
    }

    fn unanswered(&self, reason: String) -> StoreError {
        StoreError::Unanswered {
            address: self.address.clone(),
            reason,
        }
    }

    fn malformed(&self, error: &dyn std::error::Error) -> StoreError {
        self.unanswered(format!("malformed answer: {}", error_chain(error)))
    }
}

fn wire_op(op: &Op) -> WireOp<'_> {
    let kv = |verb, key| WireKv {
        verb,
        key,
        value: None,
        index: None,
        session: None,
    };
    let kv = match op {
        Op::Cas { key, value, index } => WireKv {
            value: Some(BASE64.encode(value)),
            index: Some(*index),
            ..kv("cas", key)
        },
        Op::Set { key, value } => WireKv {
            value: Some(BASE64.encode(value)),
            ..kv("set", key)
        },
        Op::Delete { key } => kv("delete", key),
        Op::CheckSession { key, session } => WireKv {
            session: Some(session),
            ..kv("check-session", key)
        },
        Op::CheckAbsent { key } => kv("check-not-exists", key),
    };
    WireOp { kv }
}
