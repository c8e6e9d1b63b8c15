//! Detects stalls of this process, for owners that were frozen or suspended.
//!
//! While an owner is stalled, another process may take its shard over. Workers that the new owner
//! has reached reject the commands of the old one, but others accept them. An owner that was
//! stalled therefore checks its claim before it commands a worker again.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::claim;

/// Time without a beat from which the process counts as stalled, in milliseconds. Until
/// then its claim has not expired.
pub const STALL_MS: u64 = claim::EXPIRY_MS;

/// Beats of an owner. Times are in milliseconds on a clock that goes on while the VM is suspended.
#[derive(Debug)]
pub struct Stall {
    beat_ms: AtomicU64,
}

impl Stall {
    /// Starts with a beat at `now_ms`.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            beat_ms: AtomicU64::new(now_ms),
        }
    }

    /// Records that the owner runs, and that its claim was checked if it was stalled.
    pub fn beat(&self, now_ms: u64) {
        self.beat_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time since the last beat if the process was stalled since then.
    #[must_use]
    pub fn stalled_ms(&self, now_ms: u64) -> Option<u64> {
        let silent_ms = now_ms.saturating_sub(self.beat_ms.load(Ordering::Relaxed));
        Some(silent_ms).filter(|ms| *ms >= STALL_MS)
    }
}
