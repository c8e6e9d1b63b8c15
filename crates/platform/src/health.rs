//! Health of the log: determines from the results of appends and reads whether the process regards
//! the log as unreachable.

use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::LOG_UNREACHABLE_MS;

/// Age at which a failed append is ignored if no append has been made since.
const APPEND_FAILURE_MAX_MS: u64 = 5_000;

/// Tracks the results of calls to the log. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Health(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    last_append_failure: Option<Instant>,
    last_unreachable: Instant,
    last_successful_read: Instant,
    last_read_failed: bool,
}

impl Health {
    /// Creates a tracker for a process that starts at `now`. It counts the log as unreachable up to
    /// `now`, because the process has no information about the time before.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let inner = Inner {
            last_append_failure: None,
            last_unreachable: now,
            last_successful_read: now,
            last_read_failed: false,
        };
        Self(Arc::new(Mutex::new(inner)))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records that an append succeeded, or that it failed or is overdue.
    pub fn append(&self, now: Instant, succeeded: bool) {
        self.with(|inner| inner.last_append_failure = (!succeeded).then_some(now));
        self.unreachable(now);
    }

    /// Records whether a read succeeded.
    pub fn read(&self, now: Instant, succeeded: bool) {
        self.with(|inner| {
            inner.last_read_failed = !succeeded;
            if succeeded {
                inner.last_successful_read = now;
            }
        });
        self.unreachable(now);
    }

    /// Returns whether the process regards the log as unreachable at `now`.
    pub fn unreachable(&self, now: Instant) -> bool {
        self.with(|inner| {
            let append_failed = inner
                .last_append_failure
                .is_some_and(|at| now.since(at) < APPEND_FAILURE_MAX_MS);
            let read_overdue =
                now.since(inner.last_successful_read) > LOG_UNREACHABLE_MS + crate::tail::WAIT_MS;
            let unreachable = append_failed || read_overdue || inner.last_read_failed;
            if unreachable {
                inner.last_unreachable = now;
            }
            unreachable
        })
    }

    /// Returns the milliseconds since the process last regarded the log as unreachable, or since
    /// its start if that is later.
    pub fn unreachable_age_ms(&self, now: Instant) -> u64 {
        self.unreachable(now);
        self.with(|inner| now.since(inner.last_unreachable))
    }
}
