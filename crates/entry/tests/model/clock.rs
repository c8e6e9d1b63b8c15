//! Clocks of simulated processes and workers.

use rand::Rng;
use rand::rngs::SmallRng;

/// A clock that runs at a constant rate from its origin on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    rate: f64,
    /// Reading at the origin.
    offset_ms: u64,
    /// Simulated time of the origin.
    origin_ms: u64,
}

impl Clock {
    /// Draws a clock with a rate between 0.98 and 1.0.
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        Self {
            rate: draw_rate(rng),
            offset_ms: rng.random_range(1_000..1_000_000),
            origin_ms: 0,
        }
    }

    /// Draws a clock that begins anew: far below the reading of this one, near it or above it.
    pub(crate) fn draw_anew(&self, rng: &mut SmallRng, at_ms: u64) -> Self {
        let former_ms = self.read(at_ms);
        let offset_ms = match rng.random_range(0..4) {
            0 | 1 => rng.random_range(1..2_000),
            2 => (former_ms + rng.random_range(1..6_000)).saturating_sub(3_000),
            _ => former_ms + rng.random_range(3_000..100_000),
        };
        Self {
            rate: draw_rate(rng),
            offset_ms: offset_ms.max(1),
            origin_ms: at_ms,
        }
    }

    /// Returns the reading of the clock at a simulated time.
    pub(crate) fn read(&self, at_ms: u64) -> u64 {
        self.offset_ms + ((at_ms - self.origin_ms) as f64 * self.rate) as u64
    }

    /// Returns the simulated time that passes while the clock advances by `ms`.
    pub(crate) fn duration(&self, ms: u64) -> u64 {
        (ms as f64 / self.rate).ceil() as u64
    }
}

/// Draws a rate between 0.98 and 1.0.
fn draw_rate(rng: &mut SmallRng) -> f64 {
    match rng.random_range(0..3) {
        0 => 0.98,
        1 => 1.0,
        _ => rng.random_range(0.98..1.0),
    }
}
