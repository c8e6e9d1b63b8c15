//! Capacity for short tasks: adapts the share of short-only workers to the recent workload mix.
//!
//! Long tasks may not use short-only workers, so that short tasks find capacity even when long
//! tasks fill the rest of the pool.

use crate::placement::Kernel;
use crate::placement::quantile::Quantile;
use crate::time::Instant;

/// Multiple of the pool's median run time from which a task is long.
const LONG_FACTOR: u64 = 4;
/// Expected run time below which no task is long, in milliseconds.
const LONG_MIN_MS: u64 = 30_000;
/// Milliseconds between two reviews of the short-only share.
pub(crate) const REVIEW_MS: u64 = 10_000;
/// Capacity for short tasks relative to their recent peak, in percent.
const HEADROOM_PERCENT: u64 = 125;
/// Part of the peak that each review keeps, in percent, so that the peak decays.
const PEAK_KEPT_PERCENT: u64 = 95;
/// Largest short-only share in percent.
const SHORT_ONLY_MAX_PERCENT: u64 = 50;
/// Largest change of the short-only share per review in percentage points, which bounds the work of
/// one review.
const CHANGE_PERCENT: u64 = 5;

/// Recent workload mix of the pool.
#[derive(Debug, Default)]
pub(crate) struct Mix {
    /// Expected run times of placed tasks in milliseconds.
    expected: Quantile,
    /// Processor time held by short tasks in millicores.
    pub(crate) short_held: u64,
    /// Decaying peak of `short_held`.
    short_peak: u64,
    /// Whether a short task found no capacity since the last review.
    pub(crate) starved: bool,
    /// Short-only share in percent. It starts at 0, because capacity that no short task uses is
    /// lost to long tasks and to tasks whose run time is not estimated yet.
    short_only_percent: u64,
    pub(crate) reviewed: Instant,
}

impl Mix {
    /// Records the expected run time of a placed task in milliseconds.
    pub(crate) fn record_placed(&mut self, expected_ms: u64) {
        self.expected.add(expected_ms);
    }

    /// Returns the expected run time from which a task is long, in milliseconds.
    pub(crate) fn long_ms(&self) -> u64 {
        (LONG_FACTOR * self.expected.at(50)).max(LONG_MIN_MS)
    }
}

impl Kernel {
    /// Adapts the short-only share to the processor time that short tasks need.
    pub(crate) fn review_mix(&mut self, now: Instant) {
        if !self.policy.rules.short_only_share || now.since(self.mix.reviewed) < REVIEW_MS {
            return;
        }
        let mix = &mut self.mix;
        mix.reviewed = now;
        mix.short_peak = (mix.short_peak * PEAK_KEPT_PERCENT / 100).max(mix.short_held);
        let total = self.fleet.total.millicores.max(1);
        let needed = mix.short_peak * HEADROOM_PERCENT / total;
        let wanted = match std::mem::take(&mut mix.starved) {
            true => SHORT_ONLY_MAX_PERCENT,
            false => needed.min(SHORT_ONLY_MAX_PERCENT),
        };
        let percent = wanted.clamp(
            mix.short_only_percent.saturating_sub(CHANGE_PERCENT),
            mix.short_only_percent + CHANGE_PERCENT,
        );
        if percent != mix.short_only_percent {
            mix.short_only_percent = percent;
            self.fleet.set_short_only_percent(percent);
        }
    }
}
