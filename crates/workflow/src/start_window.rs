//! Adaptive limit on the start requests in flight, against bursts that exceed the owner's CPU.
//!
//! Requests that wait in the owner are sent late: their deadlines pass, permits expire, and the
//! tasks are placed again, which makes the owner later still. The limit follows the measured time to
//! the answer, so that waiting tasks stay in the placement order, where they cost nothing.

/// Limit before any answer, so that a new owner doesn't begin with more than it can send.
const INITIAL: f64 = 32.0;

/// Lower bound of the limit.
const MIN: f64 = 8.0;

/// Upper bound of the limit.
const MAX: f64 = 2_000.0;

/// Mean time to the answer from which the owner counts as overloaded, in milliseconds. Workers
/// answer within a few milliseconds; the rest is time in the owner's queues.
const OVERLOADED_MS: f64 = 120.0;

/// Mean time to the answer up to which the limit grows with each answer, in milliseconds.
const FAST_MS: f64 = 60.0;

/// Lower bound of the mean time to the answer in estimates, in milliseconds.
const ANSWER_MIN_MS: f64 = 5.0;

/// Weight of the newest answer in the mean. Single slow workers don't move it much.
const WEIGHT: f64 = 0.05;

/// Factor on the limit of an overloaded owner.
const DECREASE: f64 = 0.7;

/// Minimum time between two decreases in milliseconds, so that the effect of one shows first.
const DECREASE_PERIOD_MS: u64 = 150;

/// Share of the limit that must be in use for it to grow.
const USED_SHARE: f64 = 0.5;

/// Limit on the start requests in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartWindow {
    limit: f64,
    in_flight: u32,
    mean_ms: f64,
    decreased_ms: u64,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL,
            in_flight: 0,
            mean_ms: 0.0,
            decreased_ms: 0,
        }
    }
}

impl StartWindow {
    /// Returns whether a request may be sent now.
    pub(crate) fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// Returns the requests in flight, the limit on them, and the mean time to the answer in
    /// milliseconds.
    pub(crate) fn figures(&self) -> (u32, u32, u32) {
        (self.in_flight, self.limit as u32, self.mean_ms as u32)
    }

    /// Returns how many requests are expected to be answered within `period_ms`.
    pub(crate) fn expected_answers(&self, period_ms: u64) -> f64 {
        self.limit * period_ms as f64 / self.mean_ms.max(ANSWER_MIN_MS)
    }

    /// Counts a request that is sent.
    pub(crate) fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that was answered after `took_ms`.
    pub(crate) fn answered(&mut self, took_ms: u64, now_ms: u64) {
        let is_used = f64::from(self.in_flight) >= self.limit * USED_SHARE;
        self.ended();
        self.mean_ms += WEIGHT * (took_ms as f64 - self.mean_ms);
        if self.mean_ms > OVERLOADED_MS {
            if now_ms >= self.decreased_ms + DECREASE_PERIOD_MS {
                self.decreased_ms = now_ms;
                self.limit = (self.limit * DECREASE).max(MIN);
            }
        } else if is_used {
            let increase = match self.mean_ms <= FAST_MS {
                true => 1.0,
                false => 1.0 / self.limit,
            };
            self.limit = (self.limit + increase).min(MAX);
        }
    }

    /// Counts a request that got no answer, which says nothing about the owner.
    pub(crate) fn unanswered(&mut self) {
        self.ended();
    }

    fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
