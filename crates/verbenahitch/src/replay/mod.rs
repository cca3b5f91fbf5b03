//! Replay of a recorded trace through the placement and interference decisions,
//! compared with baseline policies behind the same interface.
//!
//! Time is injected, and all randomness comes from the seeds, so a replay gives
//! the same report every time. The true interference is a small model
//! ([`Truth`]) that the decisions cannot read; they get delayed, noisy reports
//! as from a worker. docs/design/placement.md describes the format of a trace.

mod batch;
mod cell;
mod driver;
mod fleet;
mod generate;
mod model;
mod plan;
mod report;
mod serving;
mod tally;
mod trace;

use std::path::{Path, PathBuf};

use snafu::Snafu;

pub use cell::Policy;
pub use generate::generate;
pub use plan::Deployment;
pub use report::{KindReport, PolicyReport, Report, Spread};
pub use trace::{Entry, Event, Kind, Pair, Submit, Trace, Truth, Work};

/// How to replay a trace.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds, one run of each policy per seed.
    pub seeds: Vec<u64>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Whether to measure decisions per second, which vary between runs.
    pub timing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: vec![1, 2, 3],
            policies: Policy::ALL.to_vec(),
            timing: false,
        }
    }
}

/// Why a trace was not replayed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplayError {
    /// The file cannot be read.
    #[snafu(display("trace {} cannot be read: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A line is not a valid entry.
    #[snafu(display("trace line {line}: {source}"))]
    Parse {
        /// Line, from one.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// A line has a value that is not allowed or contradicts an earlier line.
    #[snafu(display("trace line {line}: {reason}"))]
    Invalid {
        /// Line, from one.
        line: usize,
        /// What was found and what is allowed.
        reason: String,
    },
    /// The options name no seed or no policy.
    #[snafu(display("at least one seed and one policy are needed"))]
    EmptyOptions,
}

/// Replays a trace under each policy and seed.
///
/// # Errors
///
/// When the trace cannot be read or is invalid, or the options name no seed
/// or no policy.
pub fn run(trace: &Path, options: &Options) -> Result<Report, ReplayError> {
    let trace = Trace::load(trace)?;
    run_trace(&trace, options)
}

/// Replays a trace that is in memory.
///
/// # Errors
///
/// When the options name no seed or no policy.
pub fn run_trace(trace: &Trace, options: &Options) -> Result<Report, ReplayError> {
    if options.seeds.is_empty() || options.policies.is_empty() {
        return EmptyOptionsSnafu.fail();
    }
    let policies = options.policies.iter().map(|policy| {
        let tallies = options
            .seeds
            .iter()
            .map(|seed| driver::Driver::new(trace, *policy, *seed).run())
            .collect::<Vec<_>>();
        PolicyReport::new(*policy, trace, &tallies, options.timing)
    });
    Ok(Report {
        trace: trace.name.clone(),
        seeds: options.seeds.clone(),
        policies: policies.collect(),
    })
}
