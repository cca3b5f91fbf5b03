//! What a process knows of the others, and what follows from it.
//!
//! [`Table`] merges the records that heartbeats bring; [`Choice`] says which
//! scheduler should own a shard. Both are free of I/O and take the time as an
//! argument.

mod choice;
mod member;
mod table;

pub use choice::{Choice, surplus};
pub use member::{Beat, Member, OwnedShard, Role, Testimony};
pub use table::{Learnt, Table};
