//! Whether the process regards the log as unreachable.

use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::LOG_UNREACHABLE_MS;

/// Age at which a failed append no longer counts, if nothing was appended since.
const APPEND_FAILURE_MAX_MS: u64 = 5_000;

/// Tracks the calls to the log. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Health(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    append_failed: Option<Instant>,
    doubt: Instant,
    read_answered: Instant,
    read_failed: bool,
}

impl Health {
    /// Creates a tracker for a process that starts at `now`. The process can't tell about the time
    /// before.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let inner = Inner {
            append_failed: None,
            doubt: now,
            read_answered: now,
            read_failed: false,
        };
        Self(Arc::new(Mutex::new(inner)))
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes that an append succeeded, or failed or is late.
    pub fn append(&self, now: Instant, succeeded: bool) {
        self.with(|inner| inner.append_failed = (!succeeded).then_some(now));
        self.unreachable(now);
    }

    /// Notes that a read succeeded or failed.
    pub fn read(&self, now: Instant, succeeded: bool) {
        self.with(|inner| {
            inner.read_failed = !succeeded;
            if succeeded {
                inner.read_answered = now;
            }
        });
        self.unreachable(now);
    }

    /// Tells whether the process regards the log as unreachable at `now`.
    pub fn unreachable(&self, now: Instant) -> bool {
        self.with(|inner| {
            let append = inner
                .append_failed
                .is_some_and(|at| now.since(at) < APPEND_FAILURE_MAX_MS);
            let silent = now.since(inner.read_answered) > LOG_UNREACHABLE_MS + crate::tail::WAIT_MS;
            let unreachable = append || silent || inner.read_failed;
            if unreachable {
                inner.doubt = now;
            }
            unreachable
        })
    }

    /// Returns the milliseconds since the process last regarded the log as unreachable, or since
    /// its start.
    pub fn unreachable_age_ms(&self, now: Instant) -> u64 {
        self.unreachable(now);
        self.with(|inner| now.since(inner.doubt))
    }
}
