//! Online estimates of run times from finished requests.

/// Finished requests after which the estimates are used for decisions.
pub(crate) const SAMPLES_MIN: u64 = 8;

/// Lowest weight of the newest value in the mean.
const MEAN_WEIGHT: f64 = 0.02;

/// Smallest step of a quantile estimate on the natural logarithmic scale.
const STEP_MIN: f64 = 0.02;

/// Upper bound on a run time that enters the estimates, in milliseconds.
const RUN_MAX_MS: u64 = 600_000;

/// Streaming estimate of one quantile, with steps on a logarithmic scale.
#[derive(Clone, Debug)]
struct Quantile {
    rank: f64,
    /// Natural logarithm of the estimate in milliseconds plus 1.
    log: f64,
}

impl Quantile {
    fn new(rank: f64) -> Self {
        Self { rank, log: 0.0 }
    }

    fn observe(&mut self, log: f64, step: f64) {
        match log > self.log {
            true => self.log += step * self.rank,
            false => self.log -= step * (1.0 - self.rank),
        }
    }

    fn get(&self) -> f64 {
        self.log.exp() - 1.0
    }
}

/// Estimated median, 95th percentile and mean of run times, in constant memory.
#[derive(Clone, Debug)]
pub(crate) struct RunTimes {
    count: u64,
    mean_ms: f64,
    median: Quantile,
    p95: Quantile,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            count: 0,
            mean_ms: 0.0,
            median: Quantile::new(0.5),
            p95: Quantile::new(0.95),
        }
    }
}

impl RunTimes {
    /// Adds the run time of one finished request.
    pub(crate) fn observe(&mut self, run_ms: u64) {
        let run = run_ms.min(RUN_MAX_MS) as f64;
        let log = (run + 1.0).ln();
        self.count += 1;
        if self.count == 1 {
            self.mean_ms = run;
            self.median.log = log;
            self.p95.log = log;
            return;
        }
        let weight = 1.0 / self.count as f64;
        self.mean_ms += (run - self.mean_ms) * weight.max(MEAN_WEIGHT);
        let step = (2.0 * weight).max(STEP_MIN);
        self.median.observe(log, step);
        self.p95.observe(log, step);
    }

    /// Returns whether enough requests finished to rely on the estimates.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.count >= SAMPLES_MIN
    }

    /// Returns the mean run time in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the median run time in milliseconds.
    pub(crate) fn median_ms(&self) -> f64 {
        self.median.get()
    }

    /// Returns the 95th percentile of run times in milliseconds.
    pub(crate) fn p95_ms(&self) -> f64 {
        self.p95.get()
    }
}
