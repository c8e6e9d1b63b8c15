//! Expected run times.

/// Expected run time of a task on a worker of normal speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expectation {
    /// Logarithm of the run time in milliseconds.
    pub(crate) log: f64,
    /// Standard deviation of the logarithm.
    pub(crate) spread: f64,
    /// Whether enough runs of the class were seen to judge workers by it.
    pub(crate) is_learned: bool,
}

impl Expectation {
    /// Returns the expected time in milliseconds.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the time in milliseconds at the low end of the spread.
    #[must_use]
    pub fn low_ms(&self) -> f64 {
        (self.log - self.spread).exp()
    }

    /// Returns the time in milliseconds of the slowest of `count` tasks.
    #[must_use]
    pub fn slowest_ms(&self, count: u32) -> f64 {
        // Expected maximum of normally distributed values.
        let deviations = (2.0 * f64::from(count.max(1)).ln()).sqrt();
        (self.log + self.spread * deviations).exp()
    }

    /// Returns the spread: the standard deviation of the logarithm.
    #[must_use]
    pub fn spread(&self) -> f64 {
        self.spread
    }
}
