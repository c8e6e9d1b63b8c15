//! Online estimates of run times from finished requests.

/// Finished requests after which the estimates are used for decisions.
pub(crate) const LEARNED_AFTER: u64 = 8;

/// Lowest weight of the newest value in the mean.
const MEAN_WEIGHT: f64 = 0.02;

/// Smallest step of a quantile estimate on the natural logarithmic scale.
const STEP_MIN: f64 = 0.02;

/// Upper bound on a run time that enters the estimates, in milliseconds.
const RUN_MAX_MS: u64 = 600_000;

/// Streaming estimate of one quantile, with steps on a logarithmic scale.
#[derive(Clone, Debug)]
struct Quantile {
    share: f64,
    log: f64,
}

impl Quantile {
    fn new(share: f64) -> Self {
        Self { share, log: 0.0 }
    }

    fn observe(&mut self, log: f64, step: f64) {
        match log > self.log {
            true => self.log += step * self.share,
            false => self.log -= step * (1.0 - self.share),
        }
    }

    fn get(&self) -> f64 {
        self.log.exp() - 1.0
    }
}

/// Estimated median, 95th percentile and mean of run times, in constant memory.
#[derive(Clone, Debug)]
pub(crate) struct Learned {
    count: u64,
    mean_ms: f64,
    median: Quantile,
    high: Quantile,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            count: 0,
            mean_ms: 0.0,
            median: Quantile::new(0.5),
            high: Quantile::new(0.95),
        }
    }
}

impl Learned {
    /// Adds the run time of one finished request.
    pub(crate) fn observe(&mut self, run_ms: u64) {
        let run = run_ms.min(RUN_MAX_MS) as f64;
        let log = (run + 1.0).ln();
        self.count += 1;
        if self.count == 1 {
            self.mean_ms = run;
            self.median.log = log;
            self.high.log = log;
            return;
        }
        let age = 1.0 / self.count as f64;
        self.mean_ms += (run - self.mean_ms) * age.max(MEAN_WEIGHT);
        let step = (2.0 * age).max(STEP_MIN);
        self.median.observe(log, step);
        self.high.observe(log, step);
    }

    /// Returns whether enough requests finished to rely on the estimates.
    pub(crate) fn is_known(&self) -> bool {
        self.count >= LEARNED_AFTER
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
    pub(crate) fn high_ms(&self) -> f64 {
        self.high.get()
    }
}
