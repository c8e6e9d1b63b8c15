//! Renewals under way, and the acknowledgements of ends that they carry.

use crate::host::{Host, Liveness, StartState};
use crate::lease::LATE_CALL_MAX_MS;

/// Number of ends that a worker may forget and has not, from which it gets no start before that.
const UNACKNOWLEDGED_MAX: u64 = 100;

/// A renewal under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRenewal {
    /// Time on the owner's clock at which it was sent.
    pub(crate) sent_ms: u64,
    /// Whether it carries a deadline.
    pub(crate) has_deadline: bool,
    /// Highest number of an end that it acknowledges; 0 if none.
    pub(crate) acknowledged: u64,
    /// Fencing token.
    pub(crate) token: u64,
}

impl Host {
    /// Returns whether the worker has forgotten every end that it may forget.
    #[must_use]
    pub fn has_acknowledged(&self) -> bool {
        self.last_acknowledged_end == self.last_durable_end
    }

    /// Gives up the answer to a renewal under way: the worker may carry it out later.
    pub(crate) fn abandon_renewal(&mut self, now_ms: u64) {
        self.void_acknowledgement();
        if self
            .renewal
            .take()
            .is_some_and(|renewal| renewal.has_deadline)
        {
            self.lease.call_unanswered(now_ms + LATE_CALL_MAX_MS);
        }
    }

    /// Records a renewal as under way. Returns its deadline, if the worker needs a lease and its clock is
    /// known, and the highest number of an end that it acknowledges.
    pub(crate) fn begin_renewal(&mut self, ttl_ms: u64, now_ms: u64) -> (Option<u64>, u64) {
        self.abandon_renewal(now_ms);
        // Without attempts no lease is needed, and without a lease a later loss of the worker is
        // handled sooner. An unresponsive worker may still receive the renewal, so renewing its
        // lease would keep it from ever expiring.
        let needs_lease = !self.runs.is_empty() && self.liveness != Liveness::Unresponsive;
        let deadline_ms = needs_lease
            .then(|| self.lease.deadline(now_ms, ttl_ms))
            .flatten();
        let acknowledged = match self.may_acknowledge() {
            true => self.last_durable_end,
            false => 0,
        };
        self.renewal = Some(PendingRenewal {
            sent_ms: now_ms,
            has_deadline: deadline_ms.is_some(),
            acknowledged,
            token: self.token(),
        });
        (deadline_ms, acknowledged)
    }

    /// Returns whether ends may be acknowledged now. The numbers of ends begin anew in each incarnation,
    /// so an acknowledgement must not reach a later one that has carried out a start: it would
    /// forget ends that nobody has seen. Later starts void the acknowledgement.
    fn may_acknowledge(&self) -> bool {
        self.liveness == Liveness::Confirmed && !self.has_acknowledged() && self.knows_starts()
    }

    /// Returns whether ends must be acknowledged before the next start, which would prevent that until
    /// the worker has answered once more.
    pub(crate) fn must_acknowledge(&self) -> bool {
        let is_under_way = self
            .renewal
            .as_ref()
            .is_some_and(|renewal| renewal.acknowledged == self.last_durable_end);
        self.last_durable_end - self.last_acknowledged_end >= UNACKNOWLEDGED_MAX && !is_under_way
    }

    /// Returns whether no later incarnation can have carried out a start: each answer shows the clock of
    /// the current one, or it has answered a renewal that was sent after the outcome was known.
    fn knows_starts(&self) -> bool {
        self.runs.values().all(|run| {
            run.start == StartState::Confirmed
                || run.is_same_clock
                || run.outcome_ms.is_some_and(|at_ms| at_ms < self.answered_ms)
        })
    }

    /// Raises the fencing token if an acknowledgement with the current one may still be carried out, so
    /// that it is void once a later start is carried out.
    pub(crate) fn void_acknowledgement(&mut self) {
        let token = self.token();
        let is_valid =
            |renewal: &PendingRenewal| renewal.acknowledged > 0 && renewal.token == token;
        if self.renewal.as_ref().is_some_and(is_valid) {
            self.token_increments += 1;
        }
    }

    /// Ends a renewal that was sent at `sent_ms` and was answered.
    pub(crate) fn end_renewal(&mut self, sent_ms: u64) {
        if let Some(renewal) = self.renewal.take_if(|renewal| renewal.sent_ms == sent_ms) {
            self.last_acknowledged_end = self.last_acknowledged_end.max(renewal.acknowledged);
        }
    }
}
