//! Work of a placement pass, set so that a pass lasts for a small part of a claim's life: the thread that
//! places tasks also renews the claims.

use std::time::Duration;

use crate::claim;

/// Part of the life of a claim for which a pass should last.
const CLAIM_PART: u64 = 40;

/// Longest time for which a pass should last.
pub const TARGET: Duration = Duration::from_millis(claim::EXPIRY_MS / CLAIM_PART);

/// Work of the first pass, in looks at one worker for one step.
const INITIAL: f64 = 20_000.0;

/// Lower bound of the work of a pass.
const MIN: f64 = 2_000.0;

/// Upper bound of the work of a pass.
const MAX: f64 = 200_000.0;

/// Work below which the duration of a pass says nothing about the speed.
const MEASURED_MIN: u64 = 1_000;

/// Weight of the newest pass in the mean speed, if it was faster. A slower one counts at once.
const WEIGHT: f64 = 0.2;

/// Work of the next pass.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    looks: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { looks: INITIAL }
    }
}

impl Pace {
    /// Returns the work that the next pass may do, in looks at one worker for one step.
    #[must_use]
    pub fn looks(self) -> u64 {
        self.looks as u64
    }

    /// Applies the work that a pass did and the time that it took.
    pub fn observe(&mut self, looks: u64, took: Duration) {
        if looks < MEASURED_MIN {
            return;
        }
        let in_target = looks as f64 * TARGET.as_secs_f64() / took.as_secs_f64().max(1e-6);
        let next = match in_target < self.looks {
            true => in_target,
            false => self.looks + WEIGHT * (in_target - self.looks),
        };
        self.looks = next.clamp(MIN, MAX);
    }
}
