//! A lease and the task that runs under it.

use rosemaryworks_core::placement;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::time::Instant;

use super::plan::Plan;

/// Full speed of a task.
const FULL_PERCENT: u64 = 100;

/// A lease held at a worker.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) size: Size,
    pub(super) checkpointed: bool,
    pub(super) plan: Plan,
    pub(super) until: Instant,
    /// Work done in hundredths of a millisecond at full speed.
    done: u64,
    granted: Instant,
    percent: u64,
    updated: Instant,
}

/// What became of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Due {
    /// The task is at its end.
    Done,
    /// The lease lapsed before the task was done.
    Lapsed,
    /// The lease goes on.
    Not,
}

impl Lease {
    pub(super) fn new(now: Instant, until: Instant, size: Size, plan: Plan, done_ms: u64) -> Self {
        Self {
            size,
            checkpointed: false,
            plan,
            until,
            done: done_ms * FULL_PERCENT,
            granted: now,
            percent: FULL_PERCENT,
            updated: now,
        }
    }

    /// Lets the task run until `now` and tells what became of it.
    pub(super) fn advance(&mut self, now: Instant) -> Due {
        let end = if now < self.until { now } else { self.until };
        if !self.checkpointed {
            self.done += end.since(self.updated) * self.percent;
            if self.done >= self.plan.run_ms.saturating_mul(FULL_PERCENT) {
                return Due::Done;
            }
        }
        self.updated = now;
        match now >= self.until {
            true => Due::Lapsed,
            false => Due::Not,
        }
    }

    pub(super) fn throttle(&mut self, percent: u32) {
        self.percent = u64::from(percent).min(FULL_PERCENT);
    }

    pub(super) fn done_ms(&self) -> u64 {
        self.done / FULL_PERCENT
    }

    pub(super) fn age_ms(&self, now: Instant) -> u64 {
        now.since(self.granted)
    }

    /// Returns the capacity that the lease holds.
    pub(super) fn held(&self) -> Size {
        match self.checkpointed {
            true => Size::ZERO,
            false => self.size,
        }
    }

    /// Returns the use as measured `lag_ms` ago.
    pub(super) fn used(&self, now: Instant, lag_ms: u64) -> Size {
        if self.checkpointed || self.age_ms(now) < lag_ms {
            return Size::ZERO;
        }
        let used = self.size.times(self.plan.use_percent);
        Size {
            millicores: used.millicores / 100 * self.percent / FULL_PERCENT,
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
