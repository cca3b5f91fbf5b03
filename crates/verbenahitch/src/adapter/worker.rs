//! Client of the workers' task interface.

use reqwest::StatusCode;
use serde::Deserialize;

use super::http::{CallError, HttpClient, error_chain};
use crate::domain::Millis;
use crate::port::{SyncError, SyncReply, SyncRequest};

/// Client for the task interface of every worker; clones share its connections.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    http: HttpClient,
}

#[derive(Deserialize)]
struct Stale {
    epoch: u64,
}

#[derive(Deserialize)]
struct TooLate {
    clock: Millis,
    #[serde(default)]
    life: u64,
}

impl WorkerClient {
    /// Creates a client whose calls time out after `timeout_ms`.
    pub fn new(timeout_ms: Millis) -> Self {
        Self {
            http: HttpClient::new(timeout_ms),
        }
    }

    /// Sends one sync to the worker at `address` (`ip:port`).
    ///
    /// # Errors
    ///
    /// When the worker refuses the call or does not answer; see [`SyncError`].
    pub async fn sync(&self, address: &str, request: &SyncRequest) -> Result<SyncReply, SyncError> {
        let url = format!("http://{address}/v1/sync");
        let call = self.http.client().post(url).json(request);
        let response = self.http.send(call).await.map_err(|error| match error {
            CallError::NotSent(reason) => SyncError::Unreachable { reason },
            CallError::Unanswered(reason) => SyncError::Unanswered { reason },
        })?;
        let status = response.status();
        let bytes = response.bytes().await.map_err(|error| {
            if error.is_timeout() {
                self.http.replace_pool();
            }
            unanswered(error_chain(&error))
        })?;
        match status {
            StatusCode::OK => decode(&bytes),
            StatusCode::CONFLICT => {
                let stale: Stale = decode(&bytes)?;
                Err(SyncError::StaleEpoch { epoch: stale.epoch })
            }
            StatusCode::GONE => {
                let late: TooLate = decode(&bytes)?;
                let (clock, life) = (late.clock, late.life);
                Err(SyncError::Late { clock, life })
            }
            _ => Err(unanswered(format!("status {status}"))),
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, SyncError> {
    serde_json::from_slice(bytes).map_err(|error| unanswered(format!("malformed answer: {error}")))
}

fn unanswered(reason: String) -> SyncError {
    SyncError::Unanswered { reason }
}
