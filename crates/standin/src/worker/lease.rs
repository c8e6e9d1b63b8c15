//! A lease and the simulated progress of its task.

use rosemaryworks_core::placement;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::time::Instant;

use super::plan::Plan;

/// Speed of a task that is not throttled.
const FULL_PERCENT: u64 = 100;

/// A lease held at a worker.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) size: Size,
    pub(super) checkpointed: bool,
    pub(super) plan: Plan,
    pub(super) expires_at: Instant,
    /// Progress in hundredths of a millisecond at full speed.
    progress: u64,
    granted_at: Instant,
    speed_percent: u64,
    updated_at: Instant,
}

/// Status of a lease after its progress was updated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Status {
    /// The task has completed.
    Done,
    /// The lease expired before the task completed.
    Lapsed,
    /// The lease is valid and the task has not completed.
    Held,
}

impl Lease {
    pub(super) fn new(
        now: Instant,
        expires_at: Instant,
        size: Size,
        plan: Plan,
        progress_ms: u64,
    ) -> Self {
        Self {
            size,
            checkpointed: false,
            plan,
            expires_at,
            progress: progress_ms * FULL_PERCENT,
            granted_at: now,
            speed_percent: FULL_PERCENT,
            updated_at: now,
        }
    }

    /// Advances the task to `now`, or to the expiry of the lease if that is earlier.
    pub(super) fn advance(&mut self, now: Instant) -> Status {
        let end = if now < self.expires_at {
            now
        } else {
            self.expires_at
        };
        if !self.checkpointed {
            self.progress += end.since(self.updated_at) * self.speed_percent;
            if self.progress >= self.plan.run_ms.saturating_mul(FULL_PERCENT) {
                return Status::Done;
            }
        }
        self.updated_at = now;
        match now >= self.expires_at {
            true => Status::Lapsed,
            false => Status::Held,
        }
    }

    pub(super) fn throttle(&mut self, percent: u32) {
        self.speed_percent = u64::from(percent).min(FULL_PERCENT);
    }

    pub(super) fn progress_ms(&self) -> u64 {
        self.progress / FULL_PERCENT
    }

    pub(super) fn age_ms(&self, now: Instant) -> u64 {
        now.since(self.granted_at)
    }

    /// Returns the capacity that the lease occupies. A checkpointed task occupies none.
    pub(super) fn held(&self) -> Size {
        match self.checkpointed {
            true => Size::ZERO,
            false => self.size,
        }
    }

    /// Returns the resource use as measured `lag_ms` ago.
    pub(super) fn used(&self, now: Instant, lag_ms: u64) -> Size {
        if self.checkpointed || self.age_ms(now) < lag_ms {
            return Size::ZERO;
        }
        let used = self.size.times(self.plan.use_percent);
        Size {
            millicores: used.millicores / 100 * self.speed_percent / FULL_PERCENT,
            memory_mb: used.memory_mb / 100,
            accelerators: self.size.accelerators,
        }
    }

    pub(super) fn report(
        &self,
        now: Instant,
        lag_ms: u64,
        (task, attempt): &super::state::Key,
    ) -> placement::Lease {
        placement::Lease {
            task: task.clone(),
            attempt: *attempt,
            size: self.size,
            used: self.used(now, lag_ms),
            used_age_ms: lag_ms,
            checkpointed: self.checkpointed,
        }
    }
}
