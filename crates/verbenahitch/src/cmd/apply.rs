//! `verbenahitch apply`: applies a declarations file.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::Exit;
use super::remote::{Remote, read_declarations, remote};
use super::zone::change_summary;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Revision that the file was made from (default: the revision in the file)
    #[bpaf(long, argument("REVISION"))]
    from: Option<u64>,
    /// Declarations file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let declarations = match read_declarations(&self.file) {
            Ok(declarations) => declarations,
            Err(exit) => return exit,
        };
        let from = self.from.unwrap_or(declarations.revision);
        self.remote.call(
            |client| async move { client.apply(&declarations, from).await },
            change_summary,
        )
    }
}
