//! Client of the gateway's interface for operators and submitters.

use std::net::SocketAddr;
use std::path::Path;

use reqwest::{Method, RequestBuilder, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::adapter::{CallError, HttpClient};
use crate::config::Declarations;
use crate::domain::{JobSpec, Millis};
use crate::settings::{TokenError, read_token};

/// Environment variable that holds the bearer token if no token file is given.
pub const TOKEN_VARIABLE: &str = "VERBENAHITCH_TOKEN";

/// Timeout of a call; leaves time for a change to wait for its confirmations.
const TIMEOUT_MS: Millis = 20_000;

/// Client with one bearer token.
#[derive(Clone, Debug)]
pub struct Client {
    gateway: SocketAddr,
    token: String,
    http: HttpClient,
}

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The token file cannot be used.
    #[snafu(display("{source}"))]
    Token {
        /// Cause.
        source: TokenError,
    },
    /// No token was given.
    #[snafu(display("no token: pass --token-file or set {TOKEN_VARIABLE}"))]
    NoToken,
    /// The gateway was not reached; the call had no effect.
    #[snafu(display("gateway {gateway} was not reached; the call had no effect: {reason}"))]
    NotSent {
        /// Address.
        gateway: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The gateway did not answer; the call may have taken effect.
    #[snafu(display("gateway {gateway} did not answer; the call may have taken effect: {reason}"))]
    Unanswered {
        /// Address.
        gateway: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The gateway refused the call.
    #[snafu(display("the gateway refused the call with status {status}: {reason}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason from the answer.
        reason: String,
        /// Body of the answer as JSON; null if it is not JSON.
        body: Value,
    },
}

/// State that an operator requests for an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ZoneOrder {
    /// Bring it back into service.
    In,
    /// Take it out of service.
    Out,
}

#[derive(Serialize)]
struct Submission<'a> {
    key: &'a str,
    spec: &'a JobSpec,
}

impl Client {
    /// Creates a client of `gateway`; the token comes from `file`, or from the environment.
    ///
    /// # Errors
    ///
    /// When there is no token or its file cannot be read.
    pub fn new(gateway: SocketAddr, file: Option<&Path>) -> Result<Self, ClientError> {
        let token = match file {
            Some(path) => read_token(path).context(TokenSnafu)?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| ClientError::NoToken)?,
        };
        Ok(Self {
            gateway,
            token: token.trim().to_owned(),
            http: HttpClient::new(TIMEOUT_MS),
        })
    }

    /// Declarations in force.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn declarations(&self) -> Result<Declarations, ClientError> {
        self.call(self.request(Method::GET, "declarations")).await
    }

    /// Applies `document`, which was made from revision `from`.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; refused with status 409 if a newer revision is in force.
    pub async fn apply(&self, document: &Declarations, from: u64) -> Result<Value, ClientError> {
        let path = format!("declarations?from={from}");
        self.call(self.request(Method::PUT, &path).json(document))
            .await
    }

    /// Takes a zone out of service or brings it back.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn order_zone(&self, zone: &str, order: ZoneOrder) -> Result<Value, ClientError> {
        let path = format!("zones/{zone}");
        self.call(self.request(Method::POST, &path).json(&order))
            .await
    }

    /// State of the processes, shards and workers.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn status(&self) -> Result<Value, ClientError> {
        self.call(self.request(Method::GET, "status")).await
    }

    /// State of a shard, named as `zone-index`.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn shard(&self, shard: &str) -> Result<Value, ClientError> {
        let path = format!("shards/{shard}");
        self.call(self.request(Method::GET, &path)).await
    }

    /// Why a task runs on its worker, or why it waits.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn explain(&self, job: &str, index: u32) -> Result<Value, ClientError> {
        let path = format!("explain/{job}/{index}");
        self.call(self.request(Method::GET, &path)).await
    }

    /// Submits a job under `key`, which the team chooses; repeating the call is safe.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn submit(&self, key: &str, spec: &JobSpec) -> Result<Value, ClientError> {
        let submission = Submission { key, spec };
        self.call(self.request(Method::POST, "jobs").json(&submission))
            .await
    }

    /// State of a job.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn job(&self, id: &str) -> Result<Value, ClientError> {
        let path = format!("jobs/{id}");
        self.call(self.request(Method::GET, &path)).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn cancel(&self, id: &str) -> Result<Value, ClientError> {
        let path = format!("jobs/{id}");
        self.call(self.request(Method::DELETE, &path)).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/{path}", self.gateway);
        let client = self.http.client();
        client.request(method, url).bearer_auth(&self.token)
    }

    async fn call<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, ClientError> {
        let gateway = self.gateway;
        let response = self.http.send(request).await.map_err(|error| match error {
            CallError::NotSent(reason) => ClientError::NotSent { gateway, reason },
            CallError::Unanswered(reason) => ClientError::Unanswered { gateway, reason },
        })?;
        let unanswered = |reason: String| ClientError::Unanswered { gateway, reason };
        let status = response.status();
        let bytes = response.bytes().await;
        let bytes = bytes.map_err(|error| unanswered(error.to_string()))?;
        if !status.is_success() {
            return Err(refused(status, &bytes));
        }
        serde_json::from_slice(&bytes).map_err(|error| unanswered(error.to_string()))
    }
}

fn refused(status: StatusCode, bytes: &[u8]) -> ClientError {
    let body: Value = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    let reason = body.get("error").and_then(Value::as_str);
    ClientError::Refused {
        status: status.as_u16(),
        reason: reason.unwrap_or("no reason given").to_owned(),
        body,
    }
}
