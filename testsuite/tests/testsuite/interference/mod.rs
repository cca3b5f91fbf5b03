//! Interference.

mod attribution;
mod field;
mod measures;
