//! Tells a hosted kernel the time when it is due, and not more often.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use tokio::sync::Notify;

use crate::term::Term;

/// When a hosted kernel is told the time next. Kept under the lock of the kernel, so that no event
/// comes between the question for the due time and the note of it.
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

    /// Returns the signal that the plan was moved to an earlier time.
    pub(crate) fn rescheduled(&self) -> Arc<Notify> {
        self.rescheduled.clone()
    }

    /// Plans a tick at `due`, or `gap_ms` after the last one if that is later.
    pub(crate) fn plan(&mut self, due: Option<Instant>, min_interval_ms: u64) -> Option<Instant> {
        self.next_tick = due.map(|due| due.max(self.last_tick + min_interval_ms));
        self.next_tick
    }

    /// Tells whether a tick is planned within `within_ms`, so that an event need not ask for the
    /// due time.
    pub(crate) fn is_due_within(&self, now: Instant, within_ms: u64) -> bool {
        self.next_tick.is_some_and(|at| at <= now + within_ms)
    }

    /// Moves the plan after an event and wakes the waiting task, if the tick is due earlier now.
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

    /// Notes that the kernel is told the time now.
    pub(crate) fn record_tick(&mut self, now: Instant) {
        self.last_tick = now;
    }

    /// Wakes the waiting task, because the epoch is over.
    pub(crate) fn end(&self) {
        self.rescheduled.notify_one();
    }
}

/// Tells a kernel the time whenever it is due, until its term is over.
pub(crate) async fn run(
    term: &Term,
    rescheduled: &Notify,
    plan: impl Fn() -> Option<Instant>,
    tick: impl Fn(),
) {
    while !term.has_ended() {
        if wait(rescheduled, plan()).await {
            tick();
        }
    }
}

/// Waits until `at`, or for ever if that is `None`. Returns whether the time has come; otherwise the
/// plan changed. A signal sent since the plan was made is not missed.
async fn wait(rescheduled: &Notify, at: Option<Instant>) -> bool {
    let signal = rescheduled.notified();
    let Some(at) = at else {
        signal.await;
        return false;
    };
    let left = Duration::from_millis(at.since(clock::now()));
    tokio::time::timeout(left, signal).await.is_err()
}
