//! Whole sessions over separate processes.

mod deployment;
mod whole;
