//! Slot reservation for short requests, which bounds the slots that long requests may hold.

use crate::time::Instant;

/// Length of a measurement window in milliseconds.
const WINDOW_MS: u64 = 500;

/// Most windows without requests for which the average is decayed; it is close to zero then.
const IDLE_WINDOWS_MAX: u64 = 1_000;

/// Weight of the newest window in the moving average when demand rises.
const RISE_WEIGHT: f64 = 0.5;

/// Weight of the newest window in the moving average when demand falls.
const FALL_WEIGHT: f64 = 0.05;

/// Slots reserved above the mean demand, in standard deviations of a Poisson distribution.
const DEVIATIONS: f64 = 1.5;

/// Greatest fraction of the slots that is reserved.
const RESERVED_MAX: f64 = 0.75;

/// Moving average of the slots that short requests occupy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    window_start: Instant,
    /// Expected slot time of the requests in the current window, in milliseconds.
    cost_ms: f64,
    /// The average at the end of the last window.
    slots: f64,
}

impl Demand {
    /// Adds a request that is expected to take `cost_ms` of slot time.
    pub(crate) fn add(&mut self, now: Instant, cost_ms: f64) {
        self.decay_idle(now);
        self.cost_ms += cost_ms;
    }

    /// Returns when the current window ends, if requests were added to it.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        (self.cost_ms > 0.0).then_some(self.window_start + WINDOW_MS)
    }

    /// Decays the average for past windows without requests, which don't schedule a timer.
    fn decay_idle(&mut self, now: Instant) {
        if self.cost_ms > 0.0 {
            return;
        }
        let windows = now.since(self.window_start) / WINDOW_MS;
        for _ in 0..windows.min(IDLE_WINDOWS_MAX) {
            self.slots -= self.slots * FALL_WEIGHT;
        }
        self.window_start = self.window_start + windows * WINDOW_MS;
    }

    /// Closes the current window if its length has elapsed.
    pub(crate) fn update(&mut self, now: Instant) {
        self.decay_idle(now);
        let elapsed = now.since(self.window_start);
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
        self.window_start = now;
    }

    /// Returns how many of `slots` long requests may hold, if short ones are entitled to the
    /// fraction `short_share` of the slots.
    pub(crate) fn long_max(&self, slots: u64, short_share: f64) -> u64 {
        let total = slots as f64;
        let mean = self.slots.min(total * short_share);
        let reserved = mean + DEVIATIONS * mean.sqrt();
        let reserved = reserved.min(total * RESERVED_MAX).max(1.0);
        ((total - reserved) as u64).max(1)
    }
}
