//! How much CPU short steps may take ahead of standing ones.

/// Fraction of a pool's CPU up to which short steps precede standing ones: several times
/// what they use in the mean, so that standing tasks get nearly all the same.
const AHEAD_DIVISOR: u64 = 8;

/// CPU that short steps of a pool may take before standing ones get theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    left_milli: u64,
}

impl Allowance {
    /// Allowance of a pool with that CPU, of which short steps use some.
    pub fn new(capacity_milli: u64, used_milli: u64) -> Self {
        Self {
            left_milli: (capacity_milli / AHEAD_DIVISOR).saturating_sub(used_milli),
        }
    }

    /// Takes the CPU for a step; false if too little is left.
    pub fn take(&mut self, milli: u64) -> bool {
        match self.left_milli.checked_sub(milli) {
            Some(left) => {
                self.left_milli = left;
                true
            }
            None => false,
        }
    }
}
