//! Crowds of clients that do not behave, and what a process holds under them.
//!
//! A client of a crowd sends a request that has no end, or leaves its answers unread. [`Peaks`]
//! watches the process that serves it. Everything runs in the `LocalSet` of the test.

mod member;
mod peaks;

pub use member::{Shape, Target, connect, padded, send_in_pieces};
pub use peaks::Peaks;
