//! Exponential backoff for workers whose tasks fail.
//!
//! A worker that fails every task quickly always has free capacity and would attract all work. It
//! gets no tasks for a period that doubles with each further failure, and is tried again
//! afterwards.

/// Consecutive failures after which a worker gets no tasks for a while.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// First backoff period in milliseconds.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Maximum number of doublings of [`FIRST_PAUSE_MS`].
const DOUBLINGS_MAX: u32 = 3;

/// Backoff period after a refused or unanswered start request, in milliseconds.
const REFUSED_START_PAUSE_MS: u64 = 500;

/// Backoff state of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    consecutive_failures: u32,
    until_ms: u64,
}

impl Backoff {
    /// Records a failed attempt.
    pub(crate) fn failed(&mut self, now_ms: u64) {
        self.consecutive_failures += 1;
        if let Some(doublings) = self.consecutive_failures.checked_sub(FAILURES_BEFORE_PAUSE) {
            self.until_ms = now_ms + (FIRST_PAUSE_MS << doublings.min(DOUBLINGS_MAX));
        }
    }

    /// Records a completed attempt and resets the backoff.
    pub(crate) fn completed(&mut self) {
        *self = Self::default();
    }

    /// Records a start request that was refused or got no answer.
    pub(crate) fn refused(&mut self, now_ms: u64) {
        self.until_ms = self.until_ms.max(now_ms + REFUSED_START_PAUSE_MS);
    }

    /// Returns whether tasks may be placed on the worker.
    pub(crate) fn allows(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms
    }

    /// Returns the number of consecutive failures.
    pub(crate) fn failures(&self) -> u32 {
        self.consecutive_failures
    }
}
