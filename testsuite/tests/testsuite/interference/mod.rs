//! Interference.

mod actions;
mod attribution;
mod simulation;
