//! Workers that fail what they start.
//!
//! A worker whose runs fail one after the other looks emptiest and would draw all work. It is left
//! alone for a time that doubles with each further failure, and tried again after it.

/// Failures in a row after which a worker is left alone.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// First time for which a worker is left alone, in milliseconds.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Most doublings of [`PAUSE_MS`].
const DOUBLINGS_MAX: u32 = 3;

/// Pause after a worker refused an order as unhealthy, in milliseconds.
const UNHEALTHY_PAUSE_MS: u64 = 500;

/// Failures of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    consecutive_failures: u32,
    until_ms: u64,
}

impl Backoff {
    /// Notes a run that failed.
    pub(crate) fn failed(&mut self, now_ms: u64) {
        self.consecutive_failures += 1;
        if let Some(doublings) = self.consecutive_failures.checked_sub(FAILURES_BEFORE_PAUSE) {
            self.until_ms = now_ms + (FIRST_PAUSE_MS << doublings.min(DOUBLINGS_MAX));
        }
    }

    /// Notes a run that completed its work.
    pub(crate) fn completed(&mut self) {
        *self = Self::default();
    }

    /// Notes a refusal, or an order without an answer.
    pub(crate) fn refused(&mut self, now_ms: u64) {
        self.until_ms = self.until_ms.max(now_ms + UNHEALTHY_PAUSE_MS);
    }

    /// Tells whether work may be placed.
    pub(crate) fn allows(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms
    }

    /// Returns the number of failures in a row.
    pub(crate) fn failures(&self) -> u32 {
        self.consecutive_failures
    }
}
