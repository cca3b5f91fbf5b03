//! Whole sessions over separate processes.

mod daemons;
mod deployment;
mod failures;
mod races;
mod whole;
