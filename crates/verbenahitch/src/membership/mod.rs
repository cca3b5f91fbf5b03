//! Membership: what a process knows of its peers, and which scheduler should own
//! a shard.
//!
//! [`Table`] merges the records that heartbeats bring; [`Choice`] decides whether a
//! scheduler should try to acquire a shard. Both do no I/O and take the time as
//! an argument.

mod choice;
mod member;
mod table;

pub use choice::{Choice, surplus};
pub use member::{Beat, Member, OwnedShard, Role, Testimony};
pub use table::{Learnt, Table};
