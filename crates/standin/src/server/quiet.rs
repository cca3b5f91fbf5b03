//! Keeps Rocket's own logger off standard output.

use log::{Log, Metadata, Record};

/// Logger that drops everything.
struct Quiet;

impl Log for Quiet {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &Record<'_>) {}

    fn flush(&self) {}
}

/// Takes the place of the process's logger unless it has one.
///
/// Rocket would otherwise install its own, whose level it resets whenever a
/// further server is built.
pub(super) fn install() {
    if log::set_logger(&Quiet).is_err() {
        log::trace!("the process has a logger of its own");
    }
}
