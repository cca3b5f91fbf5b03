//! `verbenahitch digest`: prints the digest of a team's token for the declarations.

use std::path::PathBuf;

use bpaf::Bpaf;
use verbenahitch::config::token_digest;

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// File that holds the token
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        match std::fs::read_to_string(&self.file) {
            Ok(token) => {
                println!("{}", token_digest(token.trim()));
                Exit::Success
            }
            Err(error) => {
                eprintln!("error: {}: {error}", self.file.display());
                Exit::Usage
            }
        }
    }
}
