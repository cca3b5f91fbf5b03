//! Tests of the dispatcher with simulated workers and a simulated store.

mod caps;
mod crashes;
mod execution;
mod incarnations;
mod load;
mod order;
mod overload;
mod recovery;
mod refusals;
mod shares;
mod world;
