//! Tests of the dispatcher with simulated workers and a simulated store.

mod execution;
mod incarnations;
mod load;
mod order;
mod recovery;
mod refusals;
mod world;
