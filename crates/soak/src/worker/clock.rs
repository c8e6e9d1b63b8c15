//! Steady clock of a worker.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Reading of a clock as its worker starts, in milliseconds.
const FIRST_MS: u64 = 1_000;

#[derive(Default)]
struct Stops {
    total: Duration,
    since: Option<Instant>,
}

pub(super) struct Clock {
    started_at: Instant,
    /// Rate relative to real time.
    rate: f64,
    stops: Mutex<Stops>,
}

impl Clock {
    pub(super) fn start(rate: f64) -> Self {
        Self {
            started_at: Instant::now(),
            rate,
            stops: Mutex::default(),
        }
    }

    fn stops(&self) -> MutexGuard<'_, Stops> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        let stops = self.stops();
        let until = stops.since.unwrap_or_else(Instant::now);
        let elapsed = until.saturating_duration_since(self.started_at + stops.total);
        FIRST_MS + (elapsed.as_millis() as f64 * self.rate) as u64
    }

    pub(super) fn stop(&self) {
        self.stops().since.get_or_insert_with(Instant::now);
    }

    pub(super) fn resume(&self) {
        let mut stops = self.stops();
        if let Some(since) = stops.since.take() {
            stops.total += since.elapsed();
        }
    }
}
