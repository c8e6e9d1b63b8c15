//! Monotonic time of the kernels, in milliseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since an arbitrary origin that is fixed per process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the milliseconds from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Instant {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Instant {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}
