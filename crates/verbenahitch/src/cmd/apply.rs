//! `verbenahitch apply`: puts a file of declarations in force.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::Exit;
use super::remote::{Remote, read_declarations, remote};
use super::zone::in_force;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Revision that the file was made from; else the one that the file names
    #[bpaf(long, argument("REVISION"))]
    from: Option<u64>,
    /// File of declarations
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl Args {
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let declarations = match read_declarations(&self.file) {
            Ok(declarations) => declarations,
            Err(exit) => return exit,
        };
        let from = self.from.unwrap_or(declarations.revision);
        self.remote.call(
            |client| async move { client.apply(&declarations, from).await },
            in_force,
        )
    }
}
