//! `verbenahitch check`: reports every fault in settings or declarations files with its place.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use verbenahitch::settings::{self, SettingsError};

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// The files hold declarations, not settings
    #[bpaf(long)]
    declarations: bool,
    /// Files to check
    #[bpaf(positional("FILE"), some("name at least one file"))]
    files: Vec<PathBuf>,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let mut exit = Exit::Success;
        for file in &self.files {
            match self.check(file) {
                Ok(()) => println!("{}: no faults", file.display()),
                Err(error) => {
                    eprintln!("{error}");
                    exit = Exit::Usage;
                }
            }
        }
        exit
    }

    fn check(&self, file: &Path) -> Result<(), SettingsError> {
        if self.declarations {
            settings::load_declarations(file).map(drop)
        } else {
            settings::load(file).map(drop)
        }
    }
}
