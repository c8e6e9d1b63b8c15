//! Deadline of the kernel's next tick.

use crate::job::Priority;
use crate::placement::Kernel;
use crate::placement::account::Account;
use crate::placement::mix::REVIEW_MS;
use crate::size::Size;
use crate::time::Instant;

const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Nightly];

impl Kernel {
    /// Returns the next time at which a `Tick` may have an effect, `now` if work is left over, or
    /// `None` if only another event can.
    ///
    /// An earlier `Tick` yields no actions. Any event may change the deadline. The promotion of a
    /// nightly job has no deadline of its own: it happens on the first tick after its time and only
    /// matters while the job waits, when ticks are due anyway.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        if self.has_work() {
            return Some(now);
        }
        let times = [
            self.fleet.first_poll(),
            self.delayed.first().map(|entry| entry.0),
            self.settles_at(),
            self.review_due(),
        ];
        let next = times.into_iter().flatten().min()?;
        Some(next.max(now))
    }

    /// Returns whether tasks wait or run, so that due ticks should not be delayed.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let busy = |account: &Account| account.waiting > 0 || account.held != Size::ZERO;
        !self.delayed.is_empty() || self.accounts.all.iter().any(busy)
    }

    fn has_work(&self) -> bool {
        let unresolved = self.settled && !self.unresolved.is_empty();
        let reserved = !self.reservations.is_empty();
        unresolved || reserved || !self.stopping.is_empty() || self.has_waiting()
    }

    /// Returns when the share of short-only workers is reviewed next.
    fn review_due(&self) -> Option<Instant> {
        let enabled = self.policy.rules.short_only_share;
        enabled.then_some(self.mix.reviewed + REVIEW_MS)
    }

    fn has_waiting(&self) -> bool {
        let waiting = |account: &Account| PRIORITIES.iter().any(|p| account.has_waiting(*p));
        self.accounts.all.iter().any(waiting)
    }
}
