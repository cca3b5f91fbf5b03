//! Reading and validation of settings and declarations.

use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::check::{self, OffsetFault};
use super::declared::DECLARATIONS;
use super::fault::{FaultySnafu, LocatedFault, ReadSnafu, SettingsError};
use super::schema::Settings;
use super::shape::Shape;
use super::table::SETTINGS;
use crate::config::{Declarations, Fault};

/// Reads and validates the settings in `file`.
///
/// # Errors
///
/// When the file cannot be read or has faults; the error lists all of them.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    parse_settings(&file.display().to_string(), &read(file)?)
}

/// Reads and validates the declarations in `file`.
///
/// # Errors
///
/// When the file cannot be read or has faults; the error lists all of them.
pub fn load_declarations(file: &Path) -> Result<Declarations, SettingsError> {
    parse_declarations(&file.display().to_string(), &read(file)?)
}

/// Parses and validates settings; `file` is the name that faults are reported under.
///
/// # Errors
///
/// When the text has faults; the error lists all of them.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    parse(file, text, &SETTINGS, Settings::faults)
}

/// Parses and validates declarations; `file` is the name that faults are reported under.
///
/// # Errors
///
/// When the text has faults; the error lists all of them.
pub fn parse_declarations(file: &str, text: &str) -> Result<Declarations, SettingsError> {
    parse(file, text, &DECLARATIONS, Declarations::faults)
}

fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    shape: &Shape,
    semantic_faults: impl Fn(&T) -> Vec<Fault>,
) -> Result<T, SettingsError> {
    let faulty = |mut offset_faults: Vec<OffsetFault>| {
        offset_faults.sort_by_key(|fault| fault.offset);
        let faults: Vec<LocatedFault> = offset_faults
            .into_iter()
            .map(|fault| with_position(text, fault))
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
        Err(error) => {
            return faulty(vec![document_fault(
                error.range().start,
                error.kind().to_string(),
            )]);
        }
    };
    let Some(ast) = ast else {
        return faulty(vec![document_fault(0, "the file is empty".to_owned())]);
    };
    let faults = check::faults(&ast, shape);
    if !faults.is_empty() {
        return faulty(faults);
    }
    let parsed: T = match parse_to_serde_value(text, &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            return faulty(vec![document_fault(
                error.range().start,
                error.kind().to_string(),
            )]);
        }
    };
    let faults = semantic_faults(&parsed);
    if !faults.is_empty() {
        return faulty(
            faults
                .into_iter()
                .map(|fault| with_offset(&ast, fault))
                .collect(),
        );
    }
    Ok(parsed)
}

fn with_offset(ast: &Value<'_>, fault: Fault) -> OffsetFault {
    OffsetFault {
        offset: check::offset_of(ast, &fault.path),
        path: fault.path,
        reason: fault.reason,
    }
}

fn document_fault(offset: usize, reason: String) -> OffsetFault {
    OffsetFault {
        offset,
        path: String::new(),
        reason,
    }
}

fn with_position(text: &str, fault: OffsetFault) -> LocatedFault {
    let preceding = &text[..fault.offset.min(text.len())];
    let line_start = preceding.rfind('\n').map_or(0, |newline| newline + 1);
    LocatedFault {
        line: preceding.matches('\n').count() + 1,
        column: preceding[line_start..].chars().count() + 1,
        path: fault.path,
        reason: fault.reason,
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}
