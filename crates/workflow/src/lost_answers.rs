//! Adaptive long-poll timeout for lease renewals while answers get lost.
//!
//! A renewal waits at the worker until an attempt ends. If its answer is lost, the ends are
//! reported only after the full wait and the next renewal, so renewals wait for a shorter time
//! while the loss rate is high.

/// Maximum wait of a renewal for an end, in milliseconds. A previous owner notices that it is
/// fenced at its next renewal, so the wait and the lease bound the duration of a takeover.
const WAIT_MS: u64 = 800;

/// Maximum wait of a renewal while answers get lost, in milliseconds.
const SHORT_WAIT_MS: u64 = 200;

/// Loss rate above which renewals use the short wait. A worker that crashes counts as at most one
/// lost answer, so crashes alone keep the rate below this value.
const LOSS_RATE_THRESHOLD: f64 = 0.015;

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 0.005;

/// Moving average of the share of lost answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LostAnswers {
    loss_rate: f64,
}

impl LostAnswers {
    /// Records an answer that arrived.
    pub(crate) fn arrived(&mut self) {
        self.loss_rate -= NEWEST_WEIGHT * self.loss_rate;
    }

    /// Records a lost answer, detected because the worker answered the next call.
    pub(crate) fn lost(&mut self) {
        self.loss_rate += NEWEST_WEIGHT * (1.0 - self.loss_rate);
    }

    /// Returns how long a renewal waits at the worker for an end, in milliseconds.
    pub(crate) fn wait_ms(self) -> u64 {
        match self.loss_rate > LOSS_RATE_THRESHOLD {
            true => SHORT_WAIT_MS,
            false => WAIT_MS,
        }
    }
}
