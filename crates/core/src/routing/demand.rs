//! Slots that contracts of short requests need, and thus those that long ones may hold.

use crate::time::Instant;

/// Milliseconds over which demand is summed.
const WINDOW_MS: u64 = 500;

/// Weight of the newest window when demand rises, and when it falls.
const RISE_WEIGHT: f64 = 0.5;
const FALL_WEIGHT: f64 = 0.05;

/// Slots reserved beyond the mean demand, in standard deviations of a Poisson load.
const DEVIATIONS: f64 = 1.5;

/// Greatest part of the slots that is reserved.
const RESERVED_MAX: f64 = 0.75;

/// Streaming estimate of the slots that short requests occupy on average.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    begin: Instant,
    cost_ms: f64,
    slots: f64,
}

impl Demand {
    /// Adds a request that is expected to take `cost_ms` of slot time.
    pub(crate) fn add(&mut self, cost_ms: f64) {
        self.cost_ms += cost_ms;
    }

    /// Ends the window if it is long enough.
    pub(crate) fn update(&mut self, now: Instant) {
        let elapsed = now.since(self.begin);
        if elapsed < WINDOW_MS {
            return;
        }
        let newest = self.cost_ms / elapsed as f64;
        let weight = match newest > self.slots {
            true => RISE_WEIGHT,
            false => FALL_WEIGHT,
        };
        self.slots += (newest - self.slots) * weight;
        self.cost_ms = 0.0;
        self.begin = now;
    }

    /// Returns how many of `slots` long requests may hold, if short ones are entitled to the part
    /// `fair` of the slots.
    pub(crate) fn long_max(&self, slots: u64, fair: f64) -> u64 {
        let total = slots as f64;
        let mean = self.slots.min(total * fair);
        let reserved = mean + DEVIATIONS * mean.sqrt();
        let reserved = reserved.min(total * RESERVED_MAX).max(1.0);
        ((total - reserved) as u64).max(1)
    }
}
