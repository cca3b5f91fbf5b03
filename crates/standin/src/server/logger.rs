//! Prevents Rocket's own logger from writing to standard output.

use log::{Log, Metadata, Record};

/// Logger that discards all records.
struct NullLogger;

impl Log for NullLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &Record<'_>) {}

    fn flush(&self) {}
}

/// Installs the null logger unless the process already has a logger.
///
/// Rocket would otherwise install its own, whose level it resets whenever
/// another server is built.
pub(super) fn install() {
    if log::set_logger(&NullLogger).is_err() {
        log::trace!("the process already has a logger; the null logger is not installed");
    }
}
