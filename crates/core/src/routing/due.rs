//! Timer: the time at which the kernel needs the next `Tick`.

use super::Kernel;
use super::slots::{Held, Phase};
use super::takeover::REPORT_MAX_MS;
use crate::time::Instant;
use crate::timing::DEADLINE_MAX_MS;

impl Kernel {
    /// Returns the next time at which a `Tick` may have an effect, `now` if work is left over, or
    /// `None` if only another event can have one.
    ///
    /// An earlier `Tick` would not change any action. Any event may change the result.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        if self.needs_classification || self.has_queued() {
            return Some(now);
        }
        let times = [
            self.request_ids.next_expiry(),
            self.tenants.next_classification(),
            self.next_slot_change(),
            self.next_instance_change(),
        ];
        let next = times.into_iter().flatten().min()?;
        Some(next.max(now))
    }

    /// Returns whether slot requests are queued, so that the next `Tick` should follow without
    /// delay.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        self.tenants.len() > 0
    }

    /// Returns the earliest time at which a slot may become unresolved or free because of its age.
    fn next_slot_change(&self) -> Option<Instant> {
        let aged = self.slots.taken_before(self.now - DEADLINE_MAX_MS);
        let aged = aged.iter().filter_map(|slot| self.slots.get(*slot));
        let overdue = aged.filter_map(|held| match held.phase {
            Phase::Unresolved { until, .. } => Some(until),
            Phase::Granted | Phase::Outstanding => Some(self.now),
            Phase::Reserved(_) => None,
        });
        let next = self.slots.first_after(self.now - DEADLINE_MAX_MS);
        let next = next.map(|held: &Held| held.since + DEADLINE_MAX_MS);
        overdue.chain(next).min()
    }

    /// Returns when an instance is probed next, or when requests that may run there are confirmed
    /// or have ended.
    fn next_instance_change(&self) -> Option<Instant> {
        let surveyed = self.is_surveyed();
        let times = self.fleet.iter().flat_map(|(_, instance)| {
            let confirmed = instance.confirmable_from().filter(|_| surveyed);
            let confirmed = confirmed.map(|answered| answered + REPORT_MAX_MS);
            [
                instance.next_probe_at(),
                instance.unknown_expires_at(),
                confirmed,
            ]
        });
        times.flatten().min()
    }
}
