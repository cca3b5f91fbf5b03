//! Subcommand that measures the resources that a role uses.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::Bpaf;
use serde::Serialize;
use snafu::ResultExt;

use super::{CommandError, MeasureSnafu};
use crate::measure::{self, Experiment};

/// Options of a measurement.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// What is varied: workers, starts or requests; or takeover, which kills the owner.
    #[bpaf(argument("WHAT"))]
    vary: Vary,
    /// The `verbenahitch` program.
    #[bpaf(argument("FILE"))]
    program: PathBuf,
    /// Sizes, separated by commas.
    #[bpaf(argument("N,N,N"))]
    sizes: Sizes,
    /// Duration of each measurement, in seconds.
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Prints JSON instead of a table.
    json: bool,
}

#[derive(Clone, Copy, Debug)]
enum Vary {
    Cost(Experiment),
    Takeover,
}

#[derive(Clone, Debug)]
struct Sizes(Vec<u32>);

impl FromStr for Vary {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "workers" => Ok(Self::Cost(Experiment::Workers)),
            "starts" => Ok(Self::Cost(Experiment::Starts)),
            "requests" => Ok(Self::Cost(Experiment::Requests)),
            "takeover" => Ok(Self::Takeover),
            _ => Err(format!(
                "found {text:?}, expected workers, starts, requests or takeover"
            )),
        }
    }
}

impl FromStr for Sizes {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let sizes: Result<Vec<u32>, _> = text.split(',').map(str::parse).collect();
        let sizes = sizes.map_err(|error| format!("found {text:?}, expected N,N,N: {error}"))?;
        Ok(Self(sizes))
    }
}

pub(super) async fn run(options: Options) -> Result<ExitCode, CommandError> {
    let mut measurement = measure::Options {
        experiment: Experiment::Workers,
        program: options.program,
        sizes: options.sizes.0,
        seconds: options.seconds,
    };
    match options.vary {
        Vary::Cost(experiment) => {
            measurement.experiment = experiment;
            let report = measure::run(&measurement).await.context(MeasureSnafu)?;
            print(&report, options.json);
        }
        Vary::Takeover => {
            let report = measure::run_takeovers(&measurement)
                .await
                .context(MeasureSnafu)?;
            print(&report, options.json);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print(report: &(impl Display + Serialize), json: bool) {
    if json {
        let text = serde_json::to_string_pretty(report);
        println!("{}", text.expect("a report serializes to JSON"));
    } else {
        print!("{report}");
    }
}
