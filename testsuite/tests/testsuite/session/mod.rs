//! Complete sessions of separate processes.

mod daemons;
mod deployment;
mod failures;
mod races;
mod whole;
