//! Faults in a settings file.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// One fault with its line and column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFault {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
    /// Path of the key, such as `gateway.body-limit`; empty for the whole file.
    pub path: String,
    /// What was found and what is allowed.
    pub reason: String,
}

/// Why a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The content of the file has faults.
    #[snafu(display("{}", fault_lines(file, faults)))]
    Faulty {
        /// File.
        file: String,
        /// All faults, sorted by line and column.
        faults: Vec<LocatedFault>,
    },
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.reason)
    }
}

fn fault_lines(file: &str, faults: &[LocatedFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{file}:{fault}"))
        .collect();
    lines.join("\n")
}
