//! Placement.

mod choice;
mod commitment;
pub mod fixture;
mod infeasible;
mod quarantine;
mod queue;
mod sizes;
mod urgent;
