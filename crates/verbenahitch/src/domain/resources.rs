//! Amounts of CPU, memory and accelerators.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// Amount of each resource that a host has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub millicores: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates an amount from whole cores and mebibytes, without accelerators.
    pub const fn new(cores: u64, memory_mib: u64) -> Self {
        Self {
            millicores: cores * 1_000,
            memory_mib,
            accelerators: 0,
        }
    }

    /// Whether `self` is at most `room` in every resource.
    pub const fn fits(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// `self` minus `other`, or `None` if `other` exceeds `self` in any resource.
    pub const fn checked_sub(self, other: Self) -> Option<Self> {
        if !other.fits(self) {
            return None;
        }
        Some(Self {
            millicores: self.millicores - other.millicores,
            memory_mib: self.memory_mib - other.memory_mib,
            accelerators: self.accelerators - other.accelerators,
        })
    }

    /// `self` minus `other`, at least zero in each resource.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// `count` times this amount, saturating.
    pub const fn times(self, count: u64) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;

    /// # Panics
    ///
    /// If `other` exceeds `self` in any resource: releasing more than was committed
    /// violates an invariant.
    fn sub(self, other: Self) -> Self {
        self.checked_sub(other)
            .expect("more resources released than committed")
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
