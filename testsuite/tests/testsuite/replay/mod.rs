//! Replay of recorded traces.

mod format;
mod outcome;
