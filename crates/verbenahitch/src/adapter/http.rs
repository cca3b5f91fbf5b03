//! HTTP client that drops all its open connections after a silent one.
//!
//! An open connection can go silent for good while new ones work. A call that
//! times out therefore retires the whole pool: the next call opens a new
//! connection instead of waiting on another silent one.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::{Client, RequestBuilder, Response};

use crate::domain::Millis;

/// Longest time that an unused connection is kept, in milliseconds.
const IDLE_LIMIT_MS: Millis = 10_000;

/// Shared HTTP client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Http {
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

impl Http {
    /// Creates a client whose calls end after `timeout_ms`.
    pub fn new(timeout_ms: Millis) -> Self {
        Self {
            client: Arc::new(ArcSwap::from_pointee(build())),
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Current client, for building requests.
    pub fn client(&self) -> Arc<Client> {
        self.client.load_full()
    }

    /// Sends `request` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when no connection could be made, else
    /// [`CallError::Unanswered`].
    pub async fn send(&self, request: RequestBuilder) -> Result<Response, CallError> {
        match request.timeout(self.timeout).send().await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(CallError::NotSent(describe(&error))),
            Err(error) => {
                if error.is_timeout() {
                    self.retire();
                }
                Err(CallError::Unanswered(describe(&error)))
            }
        }
    }

    /// Gives up all open connections; calls in progress keep theirs.
    pub fn retire(&self) {
        self.client.store(Arc::new(build()));
    }
}

fn build() -> Client {
    Client::builder()
        .pool_idle_timeout(Duration::from_millis(IDLE_LIMIT_MS))
        .tcp_nodelay(true)
        .no_proxy()
        .build()
        .expect("a client without TLS and proxies always builds")
}

/// Error with its causes on one line.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
