//! Subcommand that runs a whole deployment.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use snafu::ResultExt;

use super::{CommandError, DemoSnafu};
use crate::demo::{self, Deployment};

/// What to run.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Deployment: chikugo or kilele.
    #[bpaf(argument("NAME"))]
    deployment: Deployment,
    /// Time in which requests are sent, in seconds.
    #[bpaf(argument("S"), fallback(30))]
    seconds: u64,
    /// Seed of the load and of the workers' draws.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Workers that fail on the way.
    #[bpaf(argument("N"), fallback(0))]
    failures: usize,
    /// File that gets the log events of all daemons.
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
        println!("{}", text.expect("a report has a JSON form"));
    } else {
        print!("{report}");
    }
    Ok(ExitCode::from(u8::from(!report.is_good())))
}
