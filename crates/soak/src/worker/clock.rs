//! Steady clock of a worker.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

/// Reading of the clock of a worker's first life as it starts, in milliseconds.
pub(super) const FIRST_MS: u64 = 100_000;

/// Longest distance of readings that are near each other, in milliseconds.
const NEAR_MS: u64 = 3_000;

/// Returns the first reading of the clock of a worker that starts again: below, near or above the last
/// reading `last_ms` of the former clock. Two of three are below, where former deadlines lie far ahead.
pub(super) fn draw_base(last_ms: u64, rng: &mut SmallRng) -> u64 {
    match rng.random_range(0..6) {
        0..4 => rng.random_range(0..=last_ms / 2),
        4 => rng.random_range(last_ms.saturating_sub(NEAR_MS)..=last_ms + NEAR_MS),
        _ => last_ms + rng.random_range(NEAR_MS..100_000),
    }
}

#[derive(Default)]
struct Stops {
    total: Duration,
    since: Option<Instant>,
}

pub(super) struct Clock {
    started_at: Instant,
    /// Reading at the start in milliseconds.
    base_ms: u64,
    /// Rate relative to real time.
    rate: f64,
    stops: Mutex<Stops>,
}

impl Clock {
    pub(super) fn start(base_ms: u64, rate: f64) -> Self {
        Self {
            started_at: Instant::now(),
            base_ms,
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
        self.base_ms + (elapsed.as_millis() as f64 * self.rate) as u64
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
