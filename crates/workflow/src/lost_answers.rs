//! Workers that do what they are told and whose answers get lost.
//!
//! A look waits at the worker for an end. If its answer is lost, what ended meanwhile is learned only
//! after the whole wait, so looks wait less while answers get lost.

/// Longest wait of a look for an end in milliseconds. With the lease it bounds the time for a takeover.
const WAIT_MS: u64 = 800;

/// The same while answers get lost.
const SHORT_WAIT_MS: u64 = 200;

/// Share of lost answers from which looks wait less. A worker that ends counts as one lost answer at
/// most, so the share stays below this without such a failure.
const LOSS_RATE_THRESHOLD: f64 = 0.015;

/// Weight of the newest answer in the share.
const NEWEST_WEIGHT: f64 = 0.005;

/// Share of answers that got lost lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LostAnswers {
    loss_rate: f64,
}

impl LostAnswers {
    /// Notes an answer that arrived.
    pub(crate) fn arrived(&mut self) {
        self.loss_rate -= NEWEST_WEIGHT * self.loss_rate;
    }

    /// Notes an answer that got lost: the worker answered the next call.
    pub(crate) fn lost(&mut self) {
        self.loss_rate += NEWEST_WEIGHT * (1.0 - self.loss_rate);
    }

    /// Returns how long a look waits for an end, in milliseconds.
    pub(crate) fn wait_ms(self) -> u64 {
        match self.loss_rate > LOSS_RATE_THRESHOLD {
            true => SHORT_WAIT_MS,
            false => WAIT_MS,
        }
    }
}
