//! `verbenahitch replay`: replays a recorded trace with the scheduling decisions and baseline
//! policies.

use std::path::PathBuf;

use bpaf::Bpaf;
use verbenahitch::replay::{self, Options};

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Seed of one run of each policy; may be repeated
    #[bpaf(long, argument("N"), many)]
    seed: Vec<u64>,
    /// Also measure decisions per second, which vary from run to run
    #[bpaf(long)]
    timing: bool,
    /// Print the report as JSON
    #[bpaf(long)]
    json: bool,
    /// Recorded trace, one JSON object per line
    #[bpaf(positional("TRACE"))]
    trace: PathBuf,
}

impl Args {
    /// Runs the subcommand.
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
