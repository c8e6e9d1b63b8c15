//! Clock of a shard, which its owners hand on.

/// Clock of a shard in milliseconds. Owners record its time, and a successor continues from the latest
/// recorded one. It stands still while the shard has no owner and doesn't depend on the time of day, so
/// what is kept for a time on this clock is kept for at least that long.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    recorded_ms: u64,
    /// Time on the owner's clock from which this clock runs.
    began_ms: Option<u64>,
}

impl Clock {
    /// Applies a time that a previous owner recorded.
    pub(crate) fn advance(&mut self, at_ms: u64) {
        self.recorded_ms = self.recorded_ms.max(at_ms);
    }

    /// Starts the clock at the end of a replay.
    pub(crate) fn start(&mut self, now_ms: u64) {
        self.began_ms = Some(now_ms);
    }

    /// Returns the time on this clock at `now_ms` on the owner's clock.
    pub(crate) fn at(&self, now_ms: u64) -> u64 {
        let began_ms = self.began_ms.unwrap_or(now_ms);
        self.recorded_ms + now_ms.saturating_sub(began_ms)
    }
}
