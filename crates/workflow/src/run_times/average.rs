//! Averages that forget.

/// Time in which an average without new samples loses half of its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;

/// Weight in samples from which an average counts as settled.
const SETTLED_WEIGHT: f64 = 5.0;

/// Longest distance of a sample from a settled average, as logarithm. Limits what one absurd sample
/// changes.
const DISTANCE_MAX: f64 = 1.5;

/// Mean and variance of logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Average {
    mean: f64,
    variance: f64,
    weight: f64,
    seen_ms: u64,
}

impl Average {
    /// Adds a sample that counts in full. The average holds at most `limit` of them.
    pub(crate) fn add(&mut self, value: f64, limit: f64, now_ms: u64) {
        self.add_weighted(value, 1.0, limit, now_ms);
    }

    /// Adds a sample of a weight up to 1. The average holds at most `limit` in weight.
    pub(crate) fn add_weighted(&mut self, value: f64, sample: f64, limit: f64, now_ms: u64) {
        let is_settled = self.is_settled(now_ms);
        let weight = (self.weight(now_ms) + sample).min(limit);
        let distance = match is_settled {
            true => (value - self.mean).clamp(-DISTANCE_MAX, DISTANCE_MAX),
            false => value - self.mean,
        };
        let share = match self.weight > 0.0 {
            true => sample / weight,
            false => 1.0,
        };
        self.mean += share * distance;
        self.variance = match self.weight > 0.0 {
            true => (1.0 - share) * (self.variance + share * distance * distance),
            false => 0.0,
        };
        self.weight = weight;
        self.seen_ms = self.seen_ms.max(now_ms);
    }

    /// Returns the weight in samples.
    pub(crate) fn weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.seen_ms) as f64;
        self.weight * (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// Returns whether there are enough samples to judge by the average.
    pub(crate) fn is_settled(&self, now_ms: u64) -> bool {
        self.weight(now_ms) >= SETTLED_WEIGHT
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    pub(crate) fn variance(&self) -> f64 {
        self.variance
    }

    /// Returns the time of the last sample.
    pub(crate) fn seen_ms(&self) -> u64 {
        self.seen_ms
    }
}
