//! Decision logic of a shard: commits, recovery, outages.
