//! Streaming quantile estimation by a histogram with logarithmic buckets.

/// Buckets per doubling of the value.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets; the last one starts at 2^31.75.
const BUCKETS: usize = 128;
/// Number of samples at which all counts are halved, so that old samples lose weight.
const WINDOW: u32 = 512;

/// Estimates quantiles in fixed memory, within 19% of the value, with more weight on new samples.
#[derive(Clone, Debug)]
pub(crate) struct Quantile {
    counts: Box<[u16; BUCKETS]>,
    total: u32,
}

impl Default for Quantile {
    fn default() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            total: 0,
        }
    }
}

impl Quantile {
    /// Adds a sample.
    pub(crate) fn add(&mut self, value: u64) {
        if self.total >= WINDOW {
            self.halve();
        }
        self.counts[bucket_of(value)] += 1;
        self.total += 1;
    }

    /// Returns the number of samples, weighted by age.
    pub(crate) fn samples(&self) -> u32 {
        self.total
    }

    /// Returns the upper end of the bucket that holds the quantile `percent`.
    pub(crate) fn at(&self, percent: u32) -> u64 {
        let wanted = (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut below = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            below += u64::from(*count);
            if below >= wanted.max(1) {
                return upper_bound(bucket);
            }
        }
        0
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
    }
}

fn bucket_of(value: u64) -> usize {
    let position = (value.max(1) as f64).log2() * BUCKETS_PER_OCTAVE;
    (position as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> u64 {
    2f64.powf((bucket + 1) as f64 / BUCKETS_PER_OCTAVE) as u64
}
