//! Budget of a placement pass, set so that a pass lasts for a small part of a claim's life: the thread that
//! places tasks also renews the claims.

use std::time::Duration;

use crate::claim;

/// Part of the life of a claim for which a pass should last.
const CLAIM_PART: u64 = 40;

/// Longest time for which a pass should last.
pub const TARGET: Duration = Duration::from_millis(claim::EXPIRY_MS / CLAIM_PART);

/// Budget of the first pass, in evaluations of one worker for one step.
const INITIAL: f64 = 20_000.0;

/// Lower bound of the budget.
const MIN: f64 = 2_500.0;

/// Upper bound of the budget.
const MAX: f64 = 200_000.0;

/// Work below which the duration of a pass says nothing about the speed, in evaluations.
const MEASURED_MIN: u64 = 1_000;

/// Weight of the newest pass in the mean speed, if it was faster. A slower one counts at once.
const WEIGHT: f64 = 0.2;

/// Budget of the next pass.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    evaluations: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            evaluations: INITIAL,
        }
    }
}

impl Budget {
    /// Returns the work that the next pass may do, in evaluations of one worker for one step.
    #[must_use]
    pub fn evaluations(self) -> u64 {
        self.evaluations as u64
    }

    /// Applies the work that a pass did and the time that it took.
    pub fn observe(&mut self, evaluations: u64, took: Duration) {
        if evaluations < MEASURED_MIN {
            return;
        }
        let in_target = evaluations as f64 * TARGET.as_secs_f64() / took.as_secs_f64().max(1e-6);
        let next = match in_target < self.evaluations {
            true => in_target,
            false => self.evaluations + WEIGHT * (in_target - self.evaluations),
        };
        self.evaluations = next.clamp(MIN, MAX);
    }
}
