//! HTTP client that replaces its connection pool after a timeout.
//!
//! An established connection can stop delivering data for good while new ones
//! work. After a call that timed out, the whole pool is therefore replaced: the
//! next call opens a new connection instead of timing out on another stalled one.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::{Client, RequestBuilder, Response};

use crate::domain::Millis;

/// Time after which an unused connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: Millis = 10_000;

/// Shared HTTP client; clones share its connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Arc<ArcSwap<Client>>,
    timeout: Duration,
}

/// Why a call got no response.
#[derive(Debug)]
pub enum CallError {
    /// The request was never sent.
    NotSent(String),
    /// The request may have been received.
    Unanswered(String),
}

impl HttpClient {
    /// Creates a client whose calls time out after `timeout_ms`.
    pub fn new(timeout_ms: Millis) -> Self {
        Self {
            client: Arc::new(ArcSwap::from_pointee(build_client())),
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Client with the current connection pool, for building requests.
    pub fn client(&self) -> Arc<Client> {
        self.client.load_full()
    }

    /// Sends `request` and waits for the status line and headers of the response.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when no connection could be made, else
    /// [`CallError::Unanswered`].
    pub async fn send(&self, request: RequestBuilder) -> Result<Response, CallError> {
        match request.timeout(self.timeout).send().await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(CallError::NotSent(error_chain(&error))),
            Err(error) => {
                if error.is_timeout() {
                    self.replace_pool();
                }
                Err(CallError::Unanswered(error_chain(&error)))
            }
        }
    }

    /// Replaces the connection pool; calls in progress keep their connections.
    pub fn replace_pool(&self) {
        self.client.store(Arc::new(build_client()));
    }
}

fn build_client() -> Client {
    Client::builder()
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .tcp_nodelay(true)
        .no_proxy()
        .build()
        .expect("building a client without TLS and proxies cannot fail")
}

/// Text of an error and of all its sources, on one line.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
