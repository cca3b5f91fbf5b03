//! `verbenahitch replay`: a recorded trace through the decisions and baselines.

use std::path::PathBuf;

use bpaf::Bpaf;
use verbenahitch::replay::{self, Options};

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Seed of one run of each policy; may be given several times
    #[bpaf(long, argument("N"), many)]
    seed: Vec<u64>,
    /// Also measure decisions a second, which differ from run to run
    #[bpaf(long)]
    timing: bool,
    /// Print the report as JSON
    #[bpaf(long)]
    json: bool,
    /// Recorded trace, one JSON object a line
    #[bpaf(positional("TRACE"))]
    trace: PathBuf,
}

impl Args {
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let mut options = Options {
            timing: self.timing,
            ..Options::default()
        };
        if !self.seed.is_empty() {
            options.seeds = self.seed;
        }
        let report = match replay::run(&self.trace, &options) {
            Ok(report) => report,
            Err(error) => {
                eprintln!("error: {error}");
                return Exit::Usage;
            }
        };
        if self.json {
            println!("{:#}", serde_json::json!(report));
        } else {
            print!("{report}");
        }
        Exit::Success
    }
}
