//! Instants and durations of the decision logic.
//!
//! The decision logic never reads a clock. Every event carries a [`Monotonic`]
//! instant that the I/O layer creates, so that tests and replay can inject their own.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Duration in milliseconds.
pub type Millis = u64;

/// Instant in milliseconds since an arbitrary origin within this process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Monotonic(pub Millis);

impl Monotonic {
    /// Milliseconds since `earlier`, zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Millis {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Millis> for Monotonic {
    type Output = Self;

    fn add(self, millis: Millis) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<Millis> for Monotonic {
    type Output = Self;

    fn sub(self, millis: Millis) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}
