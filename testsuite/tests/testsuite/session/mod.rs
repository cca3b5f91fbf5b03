//! Whole sessions over separate processes.

mod deployment;
mod failures;
mod whole;
