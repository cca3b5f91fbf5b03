//! One call and its outcome for the caller.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reqwest::{Client, Response, StatusCode};
use verbenahitch::domain::Millis;

use super::plan::KindPlan;
use crate::history::{CallOutcome, CallRecord};
use crate::worker::{CALL_ID, Receipt};

/// A call before it is sent.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) call_id: String,
    pub(super) key: Option<String>,
    pub(super) kind: KindPlan,
    pub(super) address: SocketAddr,
}

impl Call {
    /// Sends the call and classifies the answer.
    pub(super) async fn send(&self, client: &Client, timeout: Duration) -> CallRecord {
        let sent = wall_ms();
        let path = &self.kind.path;
        let url = format!("http://{}{path}/{}", self.address, self.call_id);
        let mut request = client
            .post(url)
            .timeout(timeout)
            .header(CALL_ID, &self.call_id)
            .header("x-request-id", &self.call_id)
            .body(self.body());
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let outcome = match request.send().await {
            Ok(response) => self.classify(response).await,
            Err(_) => CallOutcome::Broken,
        };
        CallRecord {
            call_id: self.call_id.clone(),
            kind: first_segment(path).to_owned(),
            key: self.key.clone(),
            sent,
            outcome,
        }
    }

    async fn classify(&self, response: Response) -> CallOutcome {
        let header = |name| response.headers().get(name)?.to_str().ok();
        if header("verbenahitch-not-run") == Some("true") {
            return CallOutcome::NotRun;
        }
        if header("verbenahitch-outcome").is_some() {
            return CallOutcome::Unknown;
        }
        let id_matches = header("x-request-id") == Some(self.call_id.as_str());
        if response.status() != StatusCode::OK {
            return CallOutcome::Broken;
        }
        match response.json::<Receipt>().await {
            Ok(receipt) => CallOutcome::Answered {
                whole: id_matches && receipt.echo == self.body(),
                call_id: receipt.call_id,
            },
            Err(error) if error.is_decode() => CallOutcome::Answered {
                whole: false,
                call_id: self.call_id.clone(),
            },
            Err(_) => CallOutcome::Broken,
        }
    }

    fn body(&self) -> String {
        format!(
            r#"{{"kind":"{}","call":"{}"}}"#,
            self.kind.name, self.call_id
        )
    }
}

/// First segment of a path.
fn first_segment(path: &str) -> &str {
    path.trim_matches('/').split('/').next().unwrap_or_default()
}

fn wall_ms() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}
