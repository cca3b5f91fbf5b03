//! Reading and checking of settings, declarations and job specifications.

use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::check::{self, Placed};
use super::declared::DECLARATIONS;
use super::fault::{FaultySnafu, Located, ReadSnafu, SettingsError};
use super::schema::Settings;
use super::shape::Shape;
use super::table::SETTINGS;
use crate::config::{Declarations, Fault};

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// When the file cannot be read or has faults; then all of them are listed.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    parse_settings(&file.display().to_string(), &read(file)?)
}

/// Reads and checks the declarations in `file`.
///
/// # Errors
///
/// When the file cannot be read or has faults; then all of them are listed.
pub fn load_declarations(file: &Path) -> Result<Declarations, SettingsError> {
    parse_declarations(&file.display().to_string(), &read(file)?)
}

/// Checks settings that were read from `file`.
///
/// # Errors
///
/// When the text has faults; then all of them are listed.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    parse(file, text, &SETTINGS, Settings::faults)
}

/// Checks declarations that were read from `file`.
///
/// # Errors
///
/// When the text has faults; then all of them are listed.
pub fn parse_declarations(file: &str, text: &str) -> Result<Declarations, SettingsError> {
    parse(file, text, &DECLARATIONS, Declarations::faults)
}

fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    shape: &Shape,
    meaning: impl Fn(&T) -> Vec<Fault>,
) -> Result<T, SettingsError> {
    let faulty = |mut placed: Vec<Placed>| {
        placed.sort_by_key(|fault| fault.offset);
        let faults: Vec<Located> = placed
            .into_iter()
            .map(|fault| locate(text, fault))
            .collect();
        FaultySnafu { file, faults }.fail()
    };
    let options = ParseOptions {
        allow_missing_commas: false,
        allow_loose_object_property_names: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
        ..ParseOptions::default()
    };
    let ast = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed.value,
        Err(error) => return faulty(vec![whole(error.range().start, error.kind().to_string())]),
    };
    let Some(ast) = ast else {
        return faulty(vec![whole(0, "the file is empty".to_owned())]);
    };
    let faults = check::faults(&ast, shape);
    if !faults.is_empty() {
        return faulty(faults);
    }
    let parsed: T = match parse_to_serde_value(text, &options) {
        Ok(parsed) => parsed,
        Err(error) => return faulty(vec![whole(error.range().start, error.kind().to_string())]),
    };
    let faults = meaning(&parsed);
    if !faults.is_empty() {
        return faulty(faults.into_iter().map(|fault| place(&ast, fault)).collect());
    }
    Ok(parsed)
}

fn place(ast: &Value<'_>, fault: Fault) -> Placed {
    Placed {
        offset: check::offset_of(ast, &fault.path),
        path: fault.path,
        reason: fault.reason,
    }
}

fn whole(offset: usize, reason: String) -> Placed {
    Placed {
        offset,
        path: String::new(),
        reason,
    }
}

fn locate(text: &str, fault: Placed) -> Located {
    let before = &text[..fault.offset.min(text.len())];
    let start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Located {
        line: before.matches('\n').count() + 1,
        column: before[start..].chars().count() + 1,
        path: fault.path,
        reason: fault.reason,
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}
