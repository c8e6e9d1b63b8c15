//! Tick timer of a kernel: a tick is sent when the kernel has work due, and not more often.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use tokio::sync::Notify;

use crate::term::Term;

/// Time of a kernel's next tick. Kept under the kernel's lock, so that no event intervenes between
/// reading the due time and storing it here.
#[derive(Debug)]
pub(crate) struct Timer {
    last_tick: Instant,
    next_tick: Option<Instant>,
    rescheduled: Arc<Notify>,
}

impl Timer {
    /// Creates a timer whose first tick is due at once.
    pub(crate) fn new() -> Self {
        Self {
            last_tick: Instant::default(),
            next_tick: None,
            rescheduled: Arc::default(),
        }
    }

    /// Returns the signal that the next tick was moved to an earlier time.
    pub(crate) fn rescheduled(&self) -> Arc<Notify> {
        self.rescheduled.clone()
    }

    /// Schedules a tick at `due`, or `min_interval_ms` after the last one if that is later.
    pub(crate) fn schedule(
        &mut self,
        due: Option<Instant>,
        min_interval_ms: u64,
    ) -> Option<Instant> {
        self.next_tick = due.map(|due| due.max(self.last_tick + min_interval_ms));
        self.next_tick
    }

    /// Returns whether a tick is scheduled within `within_ms`, so that an event need not recompute
    /// the due time.
    pub(crate) fn is_due_within(&self, now: Instant, within_ms: u64) -> bool {
        self.next_tick.is_some_and(|at| at <= now + within_ms)
    }

    /// Moves the next tick to an earlier time and wakes the waiting task, if an event made it due
    /// earlier.
    pub(crate) fn bring_forward(&mut self, due: Option<Instant>, min_interval_ms: u64) {
        let before = self.next_tick;
        let Some(at) = due.map(|due| due.max(self.last_tick + min_interval_ms)) else {
            return;
        };
        if before.is_none_or(|before| at < before) {
            self.next_tick = Some(at);
            self.rescheduled.notify_one();
        }
    }

    /// Records that a tick is sent now.
    pub(crate) fn record_tick(&mut self, now: Instant) {
        self.last_tick = now;
    }

    /// Wakes the waiting task, because the epoch has ended.
    pub(crate) fn end(&self) {
        self.rescheduled.notify_one();
    }
}

/// Sends a tick to a kernel whenever one is due, until its term has ended.
pub(crate) async fn run(
    term: &Term,
    rescheduled: &Notify,
    schedule: impl Fn() -> Option<Instant>,
    tick: impl Fn(),
) {
    while !term.has_ended() {
        if wait(rescheduled, schedule()).await {
            tick();
        }
    }
}

/// Waits until `at`, or for ever if that is `None`. Returns whether that time was reached;
/// otherwise the tick was rescheduled. A signal sent since the tick was scheduled is not missed.
async fn wait(rescheduled: &Notify, at: Option<Instant>) -> bool {
    let signal = rescheduled.notified();
    let Some(at) = at else {
        signal.await;
        return false;
    };
    let left = Duration::from_millis(at.since(clock::now()));
    tokio::time::timeout(left, signal).await.is_err()
}
