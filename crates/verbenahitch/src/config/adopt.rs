//! Puts newer declarations in force and logs the change.

use std::sync::Arc;

use super::{CurrentDeclarations, Declarations};
use crate::event::{Entry, Kind};

/// Puts `next` in force if its revision is newer; returns whether it was.
pub fn adopt(current: &CurrentDeclarations, next: Declarations, source: &str) -> bool {
    let revision = next.revision;
    let adopted = current.advance(Arc::new(next));
    if adopted {
        Entry::new(Kind::Declared)
            .with("revision", revision)
            .with("source", source)
            .emit();
    }
    adopted
}

/// Parses a document and puts it in force if its revision is newer; returns whether it was.
///
/// # Errors
///
/// When the document is malformed; the error is logged and the declarations in force stay.
pub fn adopt_text(
    current: &CurrentDeclarations,
    document: &str,
    source: &str,
) -> Result<bool, serde_json::Error> {
    let parsed = serde_json::from_str(document);
    let parsed = parsed.inspect_err(|error| {
        log::error!("declarations from {source} are malformed: {error}");
    });
    parsed.map(|declarations| adopt(current, declarations, source))
}
