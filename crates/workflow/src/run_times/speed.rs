//! Speed of a worker relative to the others.

use crate::run_times::average::Average;

/// Samples that the average of a worker holds at most. A worker may become slow, or recover, within
/// seconds.
const SAMPLES_MAX: f64 = 6.0;

/// Weight in samples of the assumption that a worker is as fast as the others.
const NORMAL_WEIGHT: f64 = 2.0;

/// Factor on the run time up to which a worker counts as normal, so that noise doesn't change the
/// order of workers that are alike.
const NORMAL_MAX: f64 = 1.25;

/// Spread of a queue up to which its runs count in full, as standard deviation of the logarithm.
const CLEAR_SPREAD: f64 = 0.4;

/// Longest distance that counts, as logarithm.
const DISTANCE_MAX: f64 = 1.2;

/// Speed of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed(Average);

impl Speed {
    /// Learns from a run that took `distance`, as logarithm, longer than the runs of its queue, whose
    /// logarithms have a standard deviation of `spread`.
    pub(crate) fn observe(&mut self, distance: f64, spread: f64, now_ms: u64) {
        let clarity = (CLEAR_SPREAD / spread.max(CLEAR_SPREAD)).powi(2);
        let distance = distance.clamp(-DISTANCE_MAX, DISTANCE_MAX);
        self.0.add_weighted(distance, clarity, SAMPLES_MAX, now_ms);
    }

    /// Returns the logarithm of the factor on run times.
    pub(crate) fn log(&self, now_ms: u64) -> f64 {
        let weight = self.0.weight(now_ms);
        self.0.mean() * weight / (weight + NORMAL_WEIGHT)
    }

    /// Returns the factor by which runs take longer than on a worker of normal speed; 1 unless the
    /// worker is clearly slower.
    #[must_use]
    pub fn slowness(&self, now_ms: u64) -> f64 {
        let factor = self.log(now_ms).exp();
        match factor > NORMAL_MAX {
            true => factor,
            false => 1.0,
        }
    }
}
