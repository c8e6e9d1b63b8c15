//! Adaptive time-outs for responses of workers.
//!
//! A lost response should be noticed soon. But a process short of CPU reads responses late, and
//! retries would slow it down further. The time-outs therefore follow a moving average of the
//! measured response times.

use std::time::Duration;

/// Mean response time before any was measured, in milliseconds. A new owner renews the leases of
/// all workers at once.
const INITIAL_MS: f64 = 40.0;

/// Weight of the newest response time in the moving average.
const WEIGHT: f64 = 0.03;

/// Time-out of a command as a multiple of the mean response time.
const COMMAND_FACTOR: f64 = 6.0;

/// Time-out of a lease renewal as a multiple of the mean response time. A failed renewal takes a
/// worker out of use.
const RENEWAL_FACTOR: f64 = 12.0;

/// Lower bound of the time-out of a command in milliseconds. Responses take a few milliseconds.
const COMMAND_MIN_MS: f64 = 80.0;

/// Lower bound of the time-out of a lease renewal in milliseconds.
const RENEWAL_MIN_MS: f64 = 150.0;

/// Upper bound of all time-outs in milliseconds.
const MAX_MS: f64 = 500.0;

/// Time-outs for responses of workers.
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
    /// Updates the mean with a measured response time.
    pub fn observe(&mut self, took_ms: u64) {
        self.mean_ms += WEIGHT * (took_ms as f64 - self.mean_ms);
    }

    /// Returns the time-out of a command.
    #[must_use]
    pub fn command(self) -> Duration {
        limit(self.mean_ms * COMMAND_FACTOR, COMMAND_MIN_MS)
    }

    /// Returns the time-out of a lease renewal, on top of the time for which the worker is asked to
    /// wait.
    #[must_use]
    pub fn renewal(self) -> Duration {
        limit(self.mean_ms * RENEWAL_FACTOR, RENEWAL_MIN_MS)
    }
}

fn limit(ms: f64, min_ms: f64) -> Duration {
    Duration::from_millis(ms.clamp(min_ms, MAX_MS) as u64)
}
