//! Bearer tokens, read from the files that the settings name.

use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu, ensure};

/// Why a token cannot be used.
#[derive(Debug, Snafu)]
pub enum TokenError {
    /// The file cannot be read.
    #[snafu(display("token file {}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is empty or holds only white space.
    #[snafu(display("token file {} is empty", path.display()))]
    Empty {
        /// File.
        path: PathBuf,
    },
}

/// Reads the token in `path` and trims white space from both ends.
///
/// # Errors
///
/// When the file cannot be read or is empty.
pub fn read_token(path: &Path) -> Result<String, TokenError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let token = text.trim();
    ensure!(!token.is_empty(), EmptySnafu { path });
    Ok(token.to_owned())
}
