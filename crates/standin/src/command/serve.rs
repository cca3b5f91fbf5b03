//! Subcommands that serve stand-ins.

use std::net::SocketAddr;
use std::process::ExitCode;

use snafu::ResultExt;
use tokio::io::AsyncReadExt as _;

use super::{CommandError, PoolSnafu, Serving, StartSnafu};
use crate::hosts;
use crate::platform::{Parts, Platform, Pool};
use crate::store::{self, Limits};
use crate::worker;

pub(super) async fn run(serving: Serving) -> Result<ExitCode, CommandError> {
    let parts = parts(serving)?;
    let platform = Platform::start(parts).await.context(StartSnafu)?;
    let line = serde_json::to_string(&platform.addresses());
    println!("{}", line.expect("addresses serialize to JSON"));
    wait_for_stdin_end().await;
    Ok(ExitCode::SUCCESS)
}

fn parts(serving: Serving) -> Result<Parts, CommandError> {
    let control_only = |control| Parts {
        control,
        store: None,
        hosts: None,
        ..Parts::new(Vec::new())
    };
    Ok(match serving {
        Serving::Store {
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
                ..control_only(control)
            }
        }
        Serving::Hosts {
            address,
            control,
            lag_ms,
        } => Parts {
            hosts: Some(host_list(address, lag_ms)),
            ..control_only(control)
        },
        Serving::Workers {
            pool,
            control,
            seed,
        } => Parts {
            workers: worker_settings(&pool, seed)?,
            ..control_only(control)
        },
        Serving::Platform {
            pool,
            control,
            store,
            hosts,
            lag_ms,
            seed,
            zone_addresses,
        } => {
            let pool = Pool::load(&pool).context(PoolSnafu)?;
            Parts {
                control,
                store: Some((store, store::Settings::default())),
                hosts: Some(host_list(hosts, lag_ms)),
                workers: pool.settings(seed),
                zones: if zone_addresses {
                    pool.zones
                } else {
                    Vec::new()
                },
            }
        }
    })
}

fn host_list(address: SocketAddr, lag_ms: u64) -> (SocketAddr, hosts::Settings) {
    let settings = hosts::Settings {
        lag_ms,
        ..hosts::Settings::default()
    };
    (address, settings)
}

fn worker_settings(
    file: &std::path::Path,
    seed: u64,
) -> Result<Vec<worker::Settings>, CommandError> {
    let pool = Pool::load(file).context(PoolSnafu)?;
    Ok(pool.settings(seed))
}

/// Waits until standard input closes, so that a stand-in ends with the process that started it.
async fn wait_for_stdin_end() {
    let mut input = tokio::io::stdin();
    let mut buffer = [0; 64];
    while input.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
}
