//! Subcommand that runs the demo of a deployment.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use snafu::ResultExt;

use super::{CommandError, DemoSnafu};
use crate::demo::{self, Deployment};

/// Options of the demo.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Deployment: chikugo or kilele.
    #[bpaf(argument("NAME"))]
    deployment: Deployment,
    /// Duration of the load, in seconds.
    #[bpaf(argument("S"), fallback(30))]
    seconds: u64,
    /// Seed of the load and of the workers' random values.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of workers that crash during the demo.
    #[bpaf(argument("N"), fallback(0))]
    failures: usize,
    /// File that the log events of all daemons are written to.
    #[bpaf(argument("FILE"))]
    log: Option<PathBuf>,
    /// Prints JSON instead of tables.
    json: bool,
}

pub(super) async fn run(options: Options) -> Result<ExitCode, CommandError> {
    let demo = demo::Options {
        deployment: options.deployment,
        seconds: options.seconds,
        seed: options.seed,
        failures: options.failures,
        log: options.log,
    };
    let report = demo::run(demo).await.context(DemoSnafu)?;
    if options.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.expect("a report serializes to JSON"));
    } else {
        print!("{report}");
    }
    Ok(ExitCode::from(u8::from(!report.is_success())))
}
