//! How much of the pool is closed to long work, from the work that ran lately.

use crate::placement::Kernel;
use crate::placement::quantile::Quantile;
use crate::time::Instant;

/// Expected run time relative to the pool's median from which work is long.
const LONG_FACTOR: u64 = 4;
/// Expected run time below which no work is long, in milliseconds.
const LONG_MIN_MS: u64 = 30_000;
/// Milliseconds between two reviews of the closed share.
pub(crate) const REVIEW_MS: u64 = 10_000;
/// Room for short work relative to the most that it held lately, in percent.
const HEADROOM_PERCENT: u64 = 125;
/// Part of the earlier peak that remains after a review, in percent.
const PEAK_KEPT_PERCENT: u64 = 95;
/// Largest closed share in percent.
const SHORT_ONLY_MAX_PERCENT: u64 = 50;
/// Change of the closed share per review in percent, which bounds the work of one review.
const CHANGE_PERCENT: u64 = 5;

/// What kinds of work the pool ran lately.
#[derive(Debug, Default)]
pub(crate) struct Mix {
    /// Expected run times of placed tasks in milliseconds.
    expected: Quantile,
    /// Processor time held by short tasks.
    pub(crate) short_held: u64,
    short_peak: u64,
    /// Whether short work found no room since the last review.
    pub(crate) starved: bool,
    /// Closed share in percent. It starts at 0, because a share that no short work uses is lost to
    /// long work and to work whose run time is not learned yet.
    short_only_percent: u64,
    pub(crate) reviewed: Instant,
}

impl Mix {
    /// Takes the expected run time of a placed task in milliseconds.
    pub(crate) fn record_placed(&mut self, expected_ms: u64) {
        self.expected.add(expected_ms);
    }

    /// Returns the expected run time from which work is long, in milliseconds.
    pub(crate) fn long_ms(&self) -> u64 {
        (LONG_FACTOR * self.expected.at(50)).max(LONG_MIN_MS)
    }
}

impl Kernel {
    /// Adapts the closed share to the processor time that short work needs.
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
