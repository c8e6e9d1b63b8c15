//! How long answers of workers are waited for.
//!
//! A lost answer is to be noticed soon, but a process that is short of processor time reads answers
//! late, and work that it repeats then makes it later still. So the time follows from the answers that
//! arrive.

use std::time::Duration;

/// Mean time of an answer before any has arrived, in milliseconds. A new owner looks at every worker at
/// once.
const INITIAL_MS: f64 = 40.0;

/// Weight of the newest answer in the mean.
const WEIGHT: f64 = 0.03;

/// Time for the answer to an order, in mean times.
const COMMAND_FACTOR: f64 = 6.0;

/// Time for the answer to a look, in mean times. A look that fails takes a worker out of use.
const RENEWAL_FACTOR: f64 = 12.0;

/// Shortest time for the answer to an order in milliseconds. Answers take a few milliseconds.
const COMMAND_MIN_MS: f64 = 80.0;

/// Shortest time for the answer to a look in milliseconds.
const RENEWAL_MIN_MS: f64 = 150.0;

/// Longest time for an answer in milliseconds.
const MAX_MS: f64 = 500.0;

/// Times of the answers of workers.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    mean_ms: f64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_MS,
        }
    }
}

impl Timeouts {
    /// Notes the time of an answer.
    pub fn observe(&mut self, took_ms: u64) {
        self.mean_ms += WEIGHT * (took_ms as f64 - self.mean_ms);
    }

    /// Returns the time for the answer to an order.
    #[must_use]
    pub fn command(self) -> Duration {
        limit(self.mean_ms * COMMAND_FACTOR, COMMAND_MIN_MS)
    }

    /// Returns the time for the answer to a look beyond what the worker is asked to wait.
    #[must_use]
    pub fn renewal(self) -> Duration {
        limit(self.mean_ms * RENEWAL_FACTOR, RENEWAL_MIN_MS)
    }
}

fn limit(ms: f64, min_ms: f64) -> Duration {
    Duration::from_millis(ms.clamp(min_ms, MAX_MS) as u64)
}
