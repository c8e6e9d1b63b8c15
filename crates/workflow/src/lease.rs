//! Time on a worker's clock, seen from the owner.

/// Rate of the slowest clock of a worker against the owner's.
const SLOWEST_CLOCK_RATE: f64 = 0.98;

/// Time for which a lapsed run may still be working before the worker has ended it, in milliseconds.
const KILL_MARGIN_MS: u64 = 200;

/// The lease of a worker and what is known of its clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    /// Clock of the worker and the owner's time at which it arrived.
    clock: Option<(u64, u64)>,
    /// Latest deadline that any order to this life carried, on the worker's clock.
    latest_deadline_ms: u64,
}

impl Lease {
    /// Notes a time of the worker's clock that arrived at `now_ms`.
    pub(crate) fn observe_clock(&mut self, clock_ms: u64, now_ms: u64) {
        // An answer that was overtaken by a later one carries an older time.
        let newer = self.clock.is_none_or(|(clock, _)| clock_ms >= clock);
        if newer && clock_ms > 0 {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// Returns the time on the worker's clock, if it is known.
    pub(crate) fn clock(&self, now_ms: u64) -> Option<u64> {
        let (clock, read_ms) = self.clock?;
        Some(clock + now_ms.saturating_sub(read_ms))
    }

    /// Returns a deadline `length_ms` from now on the worker's clock.
    pub(crate) fn deadline(&mut self, now_ms: u64, length_ms: u64) -> Option<u64> {
        let deadline_ms = self.clock(now_ms)? + length_ms;
        self.latest_deadline_ms = self.latest_deadline_ms.max(deadline_ms);
        Some(deadline_ms)
    }

    /// Returns the owner's time from which every run of this life has surely lapsed.
    pub(crate) fn expires_at(&self) -> Option<u64> {
        let (clock, read_ms) = self.clock?;
        let remaining_ms =
            self.latest_deadline_ms.saturating_sub(clock) as f64 / SLOWEST_CLOCK_RATE;
        Some(read_ms + remaining_ms as u64 + KILL_MARGIN_MS)
    }
}
