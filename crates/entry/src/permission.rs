//! Right of a process to command workers as the owner of its shards, limited in time.
//!
//! A claim gives its owner no right that lasts: another process may claim the shard at any moment at
//! which the log serves it. An owner may therefore command workers only for a limited time after a
//! moment at which no other process had claimed its shards. A successor waits for longer than that
//! before it starts work that its predecessor may have started, so it needs no news of the
//! predecessor, which may be paused, cut off or short of CPU.

use rosemaryworks_workflow::Shard;
use tokio::sync::watch;

/// Time after the last proof in which workers may be commanded, in milliseconds.
pub const VALID_MS: u64 = 1_000;

/// Time by which the permission ends before a successor counts on it, in milliseconds. Covers clocks
/// that run at different rates and commands that are on their way when it ends.
const MARGIN_MS: u64 = 200;

const _: () = assert!(VALID_MS + MARGIN_MS <= Shard::PREDECESSOR_FENCED_MS);

/// Permission to command workers, for all shards of a process.
#[derive(Debug)]
pub struct Permission {
    proven_ms: watch::Sender<Option<u64>>,
}

impl Default for Permission {
    fn default() -> Self {
        Self {
            proven_ms: watch::Sender::new(None),
        }
    }
}

impl Permission {
    /// Records that at `at_ms` no other process had claimed a shard of this one. A proof is as old
    /// as the question that it answers, not as the answer.
    pub fn prove(&self, at_ms: u64) {
        self.proven_ms.send_if_modified(|proven_ms| {
            let is_newer = *proven_ms < Some(at_ms);
            if is_newer {
                *proven_ms = Some(at_ms);
            }
            is_newer
        });
    }

    /// Returns the time of the last proof in milliseconds; `None` before the first one.
    #[must_use]
    pub fn proven_ms(&self) -> Option<u64> {
        *self.proven_ms.borrow()
    }

    /// Returns the time since the last proof in milliseconds; `None` before the first one.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proven_ms()
            .map(|proven_ms| now_ms.saturating_sub(proven_ms))
    }

    /// Returns whether workers may be commanded at `now_ms`.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms < VALID_MS)
    }

    /// Returns a receiver that is notified of each proof and each call of [`Self::wake`].
    #[must_use]
    pub fn proofs(&self) -> watch::Receiver<Option<u64>> {
        self.proven_ms.subscribe()
    }

    /// Wakes all receivers without a proof, for example because ownership has ended.
    pub fn wake(&self) {
        self.proven_ms.send_modify(|_| {});
    }
}
