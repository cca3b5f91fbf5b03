//! Decision logic of a shard: commits, recovery, outages.

mod failures;
mod fake_store;
mod fake_worker;
mod history;
mod schedules;
mod session;
mod world;
