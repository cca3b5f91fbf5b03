//! Arguments, calls and output that all subcommands which call a gateway share.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde_json::Value;
use verbenahitch::client::{Client, ClientError};
use verbenahitch::config::Declarations;
use verbenahitch::settings;

use super::Exit;

/// Gateway to call, and output format of its answer.
#[derive(Clone, Debug, Bpaf)]
pub struct Remote {
    /// Address of the operators' interface of any gateway
    #[bpaf(long, argument("IP:PORT"))]
    gateway: SocketAddr,
    /// File that holds the bearer token (default: the environment variable VERBENAHITCH_TOKEN)
    #[bpaf(long, argument("FILE"))]
    token_file: Option<PathBuf>,
    /// Print the whole answer as JSON
    #[bpaf(long)]
    json: bool,
}

impl Remote {
    /// Calls the gateway and prints its answer, as JSON or as the text that `summary` returns.
    pub fn call<F: Future<Output = Result<Value, ClientError>>>(
        &self,
        request: impl FnOnce(Client) -> F,
        summary: impl FnOnce(&Value) -> String,
    ) -> Exit {
        match self.fetch(request) {
            Ok(answer) => {
                self.print(&answer, summary);
                Exit::Success
            }
            Err(exit) => exit,
        }
    }

    /// Calls the gateway; prints an error before it returns the exit status.
    pub fn fetch<T, F: Future<Output = Result<T, ClientError>>>(
        &self,
        request: impl FnOnce(Client) -> F,
    ) -> Result<T, Exit> {
        let client = Client::new(self.gateway, self.token_file.as_deref());
        let client = client.map_err(|error| {
            eprintln!("error: {error}");
            Exit::Usage
        })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| {
                eprintln!("error: cannot start the async runtime: {error}");
                Exit::Failed
            })?;
        runtime.block_on(request(client)).map_err(|error| {
            self.report(&error);
            Exit::Failed
        })
    }

    pub fn print(&self, answer: &Value, summary: impl FnOnce(&Value) -> String) {
        if self.json {
            println!("{answer:#}");
        } else {
            println!("{}", summary(answer));
        }
    }

    fn report(&self, error: &ClientError) {
        eprintln!("error: {error}");
        if let (true, ClientError::Refused { body, .. }) = (self.json, error) {
            println!("{body:#}");
        }
    }
}

/// Reads a declarations file; prints an error before it returns the exit status.
pub fn read_declarations(file: &std::path::Path) -> Result<Declarations, Exit> {
    settings::load_declarations(file).map_err(|error| {
        eprintln!("{error}");
        Exit::Usage
    })
}

/// Field as text: a string as it is, any other value as JSON, `-` if the field is missing.
pub fn text(value: &Value, key: &str) -> String {
    match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => "-".to_owned(),
    }
}

/// Elements of a list field; empty if it is missing or no list.
pub fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value
        .get(key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}
