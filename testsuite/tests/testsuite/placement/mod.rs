//! Placement.

mod choice;
mod commitment;
pub mod fixture;
mod never;
mod quarantine;
mod queue;
mod sizes;
mod urgent;
