//! Reading and checking of settings and declarations.

use std::path::Path;

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::fault::{Located, ReadSnafu, SettingsError};
use super::schema::Settings;
use crate::config::Declarations;

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// When the file cannot be read or has faults; then all of them are listed.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    parse(&file.display().to_string(), &read(file)?)
}

/// Reads and checks the declarations in `file`.
///
/// # Errors
///
/// When the file cannot be read or has faults; then all of them are listed.
pub fn load_declarations(file: &Path) -> Result<Declarations, SettingsError> {
    let name = file.display().to_string();
    let declarations: Declarations = parse(&name, &read(file)?)?;
    let faults: Vec<Located> = declarations
        .faults()
        .into_iter()
        .map(|fault| Located {
            line: 1,
            column: 1,
            path: fault.path,
            reason: fault.reason,
        })
        .collect();
    if faults.is_empty() {
        return Ok(declarations);
    }
    Err(SettingsError::Faulty { file: name, faults })
}

/// Parses `text`, which was read from `file`.
///
/// # Errors
///
/// When the text has faults; then all of them are listed.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    jsonc_parser::parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
        let fault = Located {
            line: error.line_display(),
            column: error.column_display(),
            path: String::new(),
            reason: error.kind().to_string(),
        };
        SettingsError::Faulty {
            file: file.to_owned(),
            faults: vec![fault],
        }
    })
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}
