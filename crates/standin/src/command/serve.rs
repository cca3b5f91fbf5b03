//! Subcommands that serve stand-ins.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::io::AsyncReadExt as _;

use super::Arguments;
use crate::hosts;
use crate::platform::{Parts, Platform, PlatformError, Pool, PoolError};
use crate::store::{self, Limits};
use crate::worker;

/// Why a subcommand failed.
#[derive(Debug, Snafu)]
pub(super) enum ServeError {
    /// The pool cannot be used.
    #[snafu(display("{source}"))]
    Pool { source: PoolError },
    /// A stand-in did not start.
    #[snafu(display("{source}"))]
    Start { source: PlatformError },
}

pub(super) async fn run(arguments: Arguments) -> Result<(), ServeError> {
    let parts = parts(arguments)?;
    let platform = Platform::start(parts).await.context(StartSnafu)?;
    let line = serde_json::to_string(&platform.addresses());
    println!("{}", line.expect("addresses have a JSON form"));
    wait().await;
    Ok(())
}

fn parts(arguments: Arguments) -> Result<Parts, ServeError> {
    let none = |control| Parts {
        control,
        store: None,
        hosts: None,
        ..Parts::new(Vec::new())
    };
    Ok(match arguments {
        Arguments::Store {
            address,
            control,
            reads,
            writes,
        } => {
            let limits = Limits { reads, writes };
            let settings = store::Settings {
                limits,
                ..store::Settings::default()
            };
            Parts {
                store: Some((address, settings)),
                ..none(control)
            }
        }
        Arguments::Hosts {
            address,
            control,
            lag_ms,
        } => Parts {
            hosts: Some(list(address, lag_ms)),
            ..none(control)
        },
        Arguments::Workers {
            pool,
            control,
            seed,
        } => Parts {
            workers: workers(&pool, seed)?,
            ..none(control)
        },
        Arguments::Platform {
            pool,
            control,
            store,
            hosts,
            lag_ms,
            seed,
        } => Parts {
            control,
            store: Some((store, store::Settings::default())),
            hosts: Some(list(hosts, lag_ms)),
            workers: workers(&pool, seed)?,
            zones: Vec::new(),
        },
    })
}

fn list(address: SocketAddr, lag_ms: u64) -> (SocketAddr, hosts::Settings) {
    let settings = hosts::Settings {
        lag_ms,
        ..hosts::Settings::default()
    };
    (address, settings)
}

fn workers(file: &std::path::Path, seed: u64) -> Result<Vec<worker::Settings>, ServeError> {
    let pool = Pool::load(file).context(PoolSnafu)?;
    Ok(pool.settings(seed))
}

/// Waits until standard input ends, so that no stand-in outlives who started it.
async fn wait() {
    let mut input = tokio::io::stdin();
    let mut buffer = [0; 64];
    while input.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
}
