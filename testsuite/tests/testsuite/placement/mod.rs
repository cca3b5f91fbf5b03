//! Placement.

mod commitment;
