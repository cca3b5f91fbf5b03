//! Time as the decision logic sees it.
//!
//! The logic never reads a clock. Every event carries a [`Monotonic`] instant,
//! which only the process edge creates, so that tests and replay inject theirs.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Duration in milliseconds.
pub type Millis = u64;

/// Instant in milliseconds since an arbitrary origin of this process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Monotonic(pub Millis);

impl Monotonic {
    /// Milliseconds since `earlier`, zero if `earlier` is later.
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
