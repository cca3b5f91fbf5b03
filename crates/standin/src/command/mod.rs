//! The `verbenahitch-standin` command.

mod demo;
mod load;
mod measure;
mod serve;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use snafu::Snafu;
use verbenahitch::domain::Millis;
use verbenahitch::settings::SettingsError;

use crate::demo::DemoError;
use crate::measure::MeasureError;
use crate::platform::{PlatformError, PoolError};

/// Stand-ins for the platform, the workers and the upstreams.
///
/// Each subcommand that serves prints its addresses as one line of JSON when it
/// is ready, and runs until its standard input ends or it is signalled.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Arguments {
    /// Runs a whole deployment in one process and prints a report.
    ///
    /// Exits with 1 if a guarantee was violated or a kind of request was never served.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::options))] demo::Options),
    /// Sends requests of the kinds that a deployment declares, and prints the results.
    ///
    /// Exits with 1 if an answer was incomplete or belonged to another request.
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Measures the CPU, memory and traffic of the daemons, and how they grow with the number of
    /// workers, starts or requests; or the time that a takeover takes.
    ///
    /// Nothing else should use the machine or its loopback interface at the same time.
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::options))] measure::Options),
    /// Serves stand-ins.
    Serve(#[bpaf(external(serving))] Serving),
}

/// Stand-ins to serve.
#[derive(Clone, Debug, Bpaf)]
pub enum Serving {
    /// Serves the key-value store.
    #[bpaf(command)]
    Store {
        /// Address to listen on; port 0 picks a free one.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        address: SocketAddr,
        /// Address of the control port, at which tests change the store and read its calls.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        control: SocketAddr,
        /// Limit of the store's reads per second; 0 for no limit.
        #[bpaf(argument("N"), fallback(2_000))]
        reads: u32,
        /// Limit of the store's writes per second; 0 for no limit.
        #[bpaf(argument("N"), fallback(400))]
        writes: u32,
    },
    /// Serves the list of workers.
    #[bpaf(command)]
    Hosts {
        /// Address to listen on; port 0 picks a free one.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        address: SocketAddr,
        /// Address of the control port, at which tests add and change workers.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        control: SocketAddr,
        /// Delay before a change of the list is visible, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: Millis,
    },
    /// Serves the workers of a pool.
    #[bpaf(command)]
    Workers {
        /// File that lists the workers of the pool, JSON with comments.
        #[bpaf(argument("FILE"))]
        pool: PathBuf,
        /// Address of the control port, at which tests change the stand-ins and read histories.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        control: SocketAddr,
        /// Seed of the workers' random values.
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
    /// Serves the store, the list of workers and the workers of a pool.
    #[bpaf(command)]
    Platform {
        /// File that lists the workers of the pool, JSON with comments.
        #[bpaf(argument("FILE"))]
        pool: PathBuf,
        /// Address of the control port, at which tests change the stand-ins and read histories.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        control: SocketAddr,
        /// Address of the store.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        store: SocketAddr,
        /// Address of the list of workers.
        #[bpaf(argument("IP:PORT"), fallback(loopback()))]
        hosts: SocketAddr,
        /// Delay before a change of the list is visible, in milliseconds.
        #[bpaf(argument("MS"), fallback(500))]
        lag_ms: Millis,
        /// Seed of the workers' random values.
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Opens separate addresses for each availability zone, so that the zone can be cut off.
        zone_addresses: bool,
    },
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs the command and returns its exit status.
pub fn run() -> ExitCode {
    let arguments = arguments().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let result = runtime.block_on(async {
        match arguments {
            Arguments::Demo(options) => demo::run(options).await,
            Arguments::Load(options) => load::run(options).await,
            Arguments::Measure(options) => measure::run(options).await,
            Arguments::Serve(serving) => serve::run(serving).await,
        }
    });
    result.unwrap_or_else(|error| fail(&error))
}

/// Error of a subcommand.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
enum CommandError {
    /// The pool is invalid or cannot be read.
    #[snafu(display("{source}"))]
    Pool { source: PoolError },
    /// The declarations are invalid or cannot be read.
    #[snafu(display("{source}"))]
    Declarations { source: SettingsError },
    /// The demo did not complete.
    #[snafu(display("{source}"))]
    Demo { source: DemoError },
    /// The measurement failed.
    #[snafu(display("{source}"))]
    Measure { source: MeasureError },
    /// A stand-in did not start.
    #[snafu(display("{source}"))]
    Start { source: PlatformError },
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("verbenahitch-standin: {error}");
    ExitCode::from(2)
}
