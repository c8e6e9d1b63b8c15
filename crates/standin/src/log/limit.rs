//! Limit of appends per second.

use rosemaryworks_core::time::Instant;

/// Longest wait for the limit in milliseconds. An append that would wait longer is refused.
const WAIT_MAX_MS: u64 = 1_000;

/// Spaces appends evenly once a short burst is used up.
#[derive(Debug)]
pub(super) struct Limit {
    per_second: u64,
    /// Time in microseconds until which appends are reserved.
    reserved_us: u64,
}

impl Limit {
    pub(super) fn new(per_second: u32) -> Self {
        Self {
            per_second: u64::from(per_second.max(1)),
            reserved_us: 0,
        }
    }

    /// Reserves an append and returns the milliseconds until it may take effect.
    pub(super) fn reserve(&mut self, now: Instant) -> Option<u64> {
        let now_us = now.0 * 1_000;
        let start_us = self.reserved_us.max(now_us);
        let wait_ms = (start_us - now_us) / 1_000;
        if wait_ms > WAIT_MAX_MS {
            return None;
        }
        self.reserved_us = start_us + 1_000_000 / self.per_second;
        Some(wait_ms)
    }
}
