//! Bearer tokens: read from files, kept and compared as digests.

use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;

use crate::config::token_digest;

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
    /// The file holds no token.
    #[snafu(display("token file {} is empty", path.display()))]
    Empty {
        /// File.
        path: PathBuf,
    },
}

/// Reads the token in `path`, without white space at its ends.
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

/// Name of the holder whose digest is that of `token`; takes the same time for each.
pub(super) fn holder<'a>(
    token: &str,
    holders: impl Iterator<Item = (&'a str, &'a str)>,
) -> Option<&'a str> {
    let shown = token_digest(token);
    let mut found = None;
    for (name, digest) in holders {
        let digest = digest.to_ascii_lowercase();
        if bool::from(digest.as_bytes().ct_eq(shown.as_bytes())) {
            found = Some(name);
        }
    }
    found
}
