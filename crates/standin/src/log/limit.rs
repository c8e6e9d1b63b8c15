//! Rate limiter for appends.

use rosemaryworks_core::time::Instant;

/// Longest wait in milliseconds. An append that would have to wait longer is rejected.
const WAIT_MAX_MS: u64 = 1_000;

/// Spaces appends at an even interval of `1 / per_second`.
#[derive(Debug)]
pub(super) struct Limit {
    per_second: u64,
    /// Time in microseconds at which the next append may take effect.
    next_us: u64,
}

impl Limit {
    pub(super) fn new(per_second: u32) -> Self {
        Self {
            per_second: u64::from(per_second.max(1)),
            next_us: 0,
        }
    }

    /// Reserves the next slot and returns the milliseconds until then, or `None` if that is too
    /// long.
    pub(super) fn reserve(&mut self, now: Instant) -> Option<u64> {
        let now_us = now.0 * 1_000;
        let start_us = self.next_us.max(now_us);
        let wait_ms = (start_us - now_us) / 1_000;
        if wait_ms > WAIT_MAX_MS {
            return None;
        }
        self.next_us = start_us + 1_000_000 / self.per_second;
        Some(wait_ms)
    }
}
