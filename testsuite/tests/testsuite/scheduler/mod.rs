//! Decision logic of a shard: commits, recovery, outages.

mod common;
mod daemon;
mod declared;
mod failures;
mod fake_store;
mod fake_worker;
mod history;
mod lives;
mod requests;
mod schedules;
mod session;
mod world;
mod zones;
