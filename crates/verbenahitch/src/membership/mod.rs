//! Membership: what a process knows of its peers, and which scheduler should own
//! a shard.
//!
//! [`Table`] merges the records that heartbeats bring; [`AcquireDecision`] decides whether a
//! scheduler should try to acquire a shard. Both do no I/O and take the time as
//! an argument.

mod choice;
mod member;
mod table;

pub use choice::{AcquireDecision, shard_to_release};
pub use member::{Beat, Member, OwnedShard, Role, StoreReport};
pub use table::{MergeOutcome, Table};
