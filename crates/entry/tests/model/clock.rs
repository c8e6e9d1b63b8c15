//! Clocks of simulated processes and workers.

use rand::Rng;
use rand::rngs::SmallRng;

/// A clock that runs at a constant rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    rate: f64,
    offset_ms: u64,
}

impl Clock {
    /// Draws a clock with a rate between 0.98 and 1.0.
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        let rate = match rng.random_range(0..3) {
            0 => 0.98,
            1 => 1.0,
            _ => rng.random_range(0.98..1.0),
        };
        Self {
            rate,
            offset_ms: rng.random_range(1_000..1_000_000),
        }
    }

    /// Returns the reading of the clock at a simulated time.
    pub(crate) fn read(&self, at_ms: u64) -> u64 {
        self.offset_ms + (at_ms as f64 * self.rate) as u64
    }

    /// Returns the simulated time that passes while the clock advances by `ms`.
    pub(crate) fn duration(&self, ms: u64) -> u64 {
        (ms as f64 / self.rate).ceil() as u64
    }
}
