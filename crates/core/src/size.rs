//! Resource sizes of VMs and tasks.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource: the capacity of a VM or the demand of a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub millicores: u64,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Size {
    /// The empty size.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Returns a size of `millicores` thousandths of a core and `memory_mb` MiB.
    #[must_use]
    pub const fn new(millicores: u64, memory_mb: u64) -> Self {
        Self {
            millicores,
            memory_mb,
            accelerators: 0,
        }
    }

    /// Sets the number of accelerators.
    #[must_use]
    pub const fn accelerators(mut self, accelerators: u64) -> Self {
        self.accelerators = accelerators;
        self
    }

    /// Returns whether this size fits into `available` in every resource.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.millicores <= available.millicores
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns the larger of both sizes in each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller of both sizes in each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns how many times `other` fits into this size, or `u64::MAX` if `other` is empty.
    #[must_use]
    pub fn count_fitting(&self, other: &Self) -> u64 {
        let count = |available: u64, size: u64| available.checked_div(size).unwrap_or(u64::MAX);
        let cores = count(self.millicores, other.millicores);
        let memory = count(self.memory_mb, other.memory_mb);
        cores
            .min(memory)
            .min(count(self.accelerators, other.accelerators))
    }

    /// Returns this size multiplied by `count`.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

/// Returns the share of `part` in `total` in thousandths, or `None` if `total` is 0. Exact for all
/// values, whose product with 1,000 may exceed 64 bits.
#[must_use]
pub fn thousandths(part: u64, total: u64) -> Option<u64> {
    let share = (u128::from(part) * 1_000).checked_div(u128::from(total))?;
    Some(u64::try_from(share).unwrap_or(u64::MAX))
}

impl Add for Size {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Subtracts in each resource and saturates at zero.
impl Sub for Size {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
