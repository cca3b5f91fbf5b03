//! `verbenahitch diff`: shows how a file differs from the declarations in force.

use std::path::PathBuf;

use bpaf::Bpaf;
use verbenahitch::config;

use super::Exit;
use super::remote::{Remote, read_declarations, remote};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Declarations file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let after = match read_declarations(&self.file) {
            Ok(declarations) => declarations,
            Err(exit) => return exit,
        };
        let before = match self
            .remote
            .fetch(|client| async move { client.declarations().await })
        {
            Ok(declarations) => declarations,
            Err(exit) => return exit,
        };
        println!("revision in force: {}", before.revision);
        for change in config::diff(&before, &after) {
            println!("{change}");
        }
        Exit::Success
    }
}
