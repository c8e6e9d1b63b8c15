//! Worker leases: estimates the worker's clock and the expiry of its lease from the owner's side.

/// Lowest rate of a worker's clock relative to the owner's clock.
const SLOWEST_CLOCK_RATE: f64 = 0.98;

/// Time that a worker may need to kill an attempt after its lease has expired, in milliseconds.
const KILL_MARGIN_MS: u64 = 200;

/// Difference between two readings of one clock beyond the time that has passed, in milliseconds: the
/// time that an answer takes.
const READING_MARGIN_MS: u64 = 100;

/// Longest time for which a call that got no answer may be under way, in milliseconds.
pub(crate) const LATE_CALL_MAX_MS: u64 = 12_000;

/// Returns the longest time on the owner's clock, in milliseconds, until every attempt under a lease
/// of `lease_ms` has ended.
pub(crate) fn longest_ms(lease_ms: u64) -> u64 {
    (lease_ms as f64 / SLOWEST_CLOCK_RATE) as u64 + KILL_MARGIN_MS
}

/// Returns the longest time on the owner's clock, in milliseconds, until every attempt has ended that a
/// call which has been sent may start or keep in an incarnation that nobody knows. Workers grant leases
/// of up to `max_ms`.
pub(crate) fn longest_unknown_ms(max_ms: u64) -> u64 {
    LATE_CALL_MAX_MS + longest_ms(max_ms)
}

/// Lease of a worker and the last reading of its clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// Length of the leases that owners grant, in milliseconds.
    length_ms: u64,
    /// Longest lease that the worker grants, in milliseconds. A deadline that was meant for an earlier
    /// incarnation is worth as much in a later one, whose clock began anew.
    max_ms: u64,
    /// Last reading of the worker's clock and the time on the owner's clock at which it arrived, in
    /// milliseconds.
    clock: Option<(u64, u64)>,
    /// Latest deadline that this incarnation may have received, in milliseconds on the worker's
    /// clock.
    latest_deadline_ms: u64,
    /// Time on the owner's clock before which the lease may not have expired, whatever the
    /// deadlines say, in milliseconds.
    earliest_expiry_ms: u64,
    /// Time on the owner's clock until which calls without an answer may be carried out, in
    /// milliseconds.
    late_until_ms: u64,
}

impl Lease {
    /// Creates the lease of a worker that was not heard of before. Owners grant leases of
    /// `length_ms`, the worker leases of up to `max_ms`.
    pub(crate) fn new(length_ms: u64, max_ms: u64) -> Self {
        Self {
            length_ms,
            max_ms,
            clock: None,
            latest_deadline_ms: 0,
            earliest_expiry_ms: 0,
            late_until_ms: 0,
        }
    }

    /// Begins the lease of a new incarnation, which was first heard of at `now_ms`. Calls that were
    /// meant for earlier ones may give it the longest lease.
    pub(crate) fn begin_incarnation(&mut self, now_ms: u64) {
        let late_until_ms = self.late_until_ms;
        *self = Self::new(self.length_ms, self.max_ms);
        self.late_until_ms = late_until_ms;
        self.assume_late_calls(now_ms);
    }

    /// Records that calls for earlier incarnations may still be carried out at `now_ms`, and calls
    /// without an answer later than that.
    pub(crate) fn assume_late_calls(&mut self, now_ms: u64) {
        self.assume_longest(now_ms.max(self.late_until_ms));
    }

    /// Records that calls for earlier incarnations have had no effect since `now_ms`.
    pub(crate) fn void_earlier_calls(&mut self, now_ms: u64) {
        self.earliest_expiry_ms = now_ms + longest_ms(self.max_ms);
    }

    /// Records that a call that carries a deadline has got no answer, and may be carried out until
    /// `late_until_ms`.
    pub(crate) fn call_unanswered(&mut self, late_until_ms: u64) {
        self.late_until_ms = self.late_until_ms.max(late_until_ms);
    }

    /// Returns the time on the owner's clock until which calls without an answer, or calls for earlier
    /// incarnations, may have an effect.
    pub(crate) fn affected_until(&self) -> u64 {
        self.late_until_ms.max(self.earliest_expiry_ms)
    }

    /// Returns whether only the deadlines that this owner has granted to the current incarnation
    /// determine when its lease expires.
    pub(crate) fn is_as_granted(&self, now_ms: u64) -> bool {
        now_ms >= self.earliest_expiry_ms
    }

    /// Returns the time on the owner's clock from which every attempt of previous owners has certainly
    /// ended if these command no worker from `fenced_ms` on.
    pub(crate) fn inherited_expiry(&self, fenced_ms: u64) -> u64 {
        self.earliest_expiry_ms
            .max(fenced_ms + longest_ms(self.length_ms))
    }

    /// Records a reading of the worker's clock that arrived at `now_ms`.
    pub(crate) fn observe_clock(&mut self, clock_ms: u64, now_ms: u64) {
        // Answers may arrive out of order, so an older reading is ignored. 0 stands for no reading.
        let newer = self.clock.is_none_or(|(clock, _)| clock_ms >= clock);
        if !newer || clock_ms == 0 {
            return;
        }
        if self.clock.is_none() {
            // A previous owner may have granted a lease until the worker saw the token of this one.
            self.latest_deadline_ms = clock_ms + self.length_ms;
        }
        self.clock = Some((clock_ms, now_ms));
    }

    /// Records that the worker may have received a deadline on an unknown clock at `now_ms`, which it
    /// shortens to the longest lease.
    pub(crate) fn assume_longest(&mut self, now_ms: u64) {
        let expires_ms = now_ms + longest_ms(self.max_ms);
        self.earliest_expiry_ms = self.earliest_expiry_ms.max(expires_ms);
    }

    /// Returns the estimated time on the worker's clock, if a reading is known.
    pub(crate) fn clock(&self, now_ms: u64) -> Option<u64> {
        let (clock, read_ms) = self.clock?;
        Some(clock + now_ms.saturating_sub(read_ms))
    }

    /// Returns whether a reading that arrived at `now_ms` goes on from the last one. In a later incarnation
    /// the clock has begun anew.
    pub(crate) fn continues(&self, clock_ms: u64, now_ms: u64) -> bool {
        let Some((last_ms, read_ms)) = self.clock else {
            return false;
        };
        let passed_ms = now_ms.saturating_sub(read_ms);
        let least_ms = last_ms + (passed_ms as f64 * SLOWEST_CLOCK_RATE) as u64;
        let most_ms = last_ms + passed_ms;
        (least_ms.saturating_sub(READING_MARGIN_MS)..=most_ms + READING_MARGIN_MS)
            .contains(&clock_ms)
    }

    /// Returns a deadline on the worker's clock, `ttl_ms` from now, if a reading of the clock is
    /// known. The latest deadline determines when the lease expires.
    pub(crate) fn deadline(&mut self, now_ms: u64, ttl_ms: u64) -> Option<u64> {
        let deadline_ms = self.clock(now_ms)? + ttl_ms;
        self.latest_deadline_ms = self.latest_deadline_ms.max(deadline_ms);
        Some(deadline_ms)
    }

    /// Returns the time on the owner's clock from which every attempt of this incarnation has
    /// certainly ended; `None` if it can't have received a deadline.
    pub(crate) fn expires_at(&self) -> Option<u64> {
        let earliest = Some(self.earliest_expiry_ms).filter(|at| *at > 0);
        let by_deadline = self.clock.map(|(clock, read_ms)| {
            read_ms + longest_ms(self.latest_deadline_ms.saturating_sub(clock))
        });
        by_deadline.max(earliest)
    }
}
