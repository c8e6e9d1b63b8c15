//! Takeover: accounts for requests of earlier epochs that may still be running.
//!
//! A new owner surveys the gateways for outstanding grants and probes the instances for the number
//! of requests that they are serving.

use std::sync::Arc;

use super::instance::Count;
use super::slots::{Held, Phase};
use super::{Kernel, Key, Outstanding};
use crate::outcome::Finish;
use crate::time::Instant;
use crate::timing::{DEADLINE_MAX_MS, GRANT_VALID_MS};

/// Milliseconds after which no request arrives at an instance any more for an unresolved grant: the
/// validity of a grant plus the network delay.
const LAST_ARRIVAL_MS: u64 = GRANT_VALID_MS + 500;

/// Milliseconds within which a dispatched request arrives at its instance.
const ARRIVAL_MAX_MS: u64 = 50;

/// Milliseconds within which a gateway reports the end of a request.
pub(super) const REPORT_MAX_MS: u64 = 500;

impl Kernel {
    /// Handles a gateway's answer to the survey.
    pub(super) fn surveyed(&mut self, gateway: &Arc<str>, outstanding: Vec<Outstanding>) {
        self.unsurveyed.remove(gateway);
        for entry in outstanding {
            self.add_outstanding(entry);
        }
        if !self.is_surveyed() {
            return;
        }
        for instance in self.fleet.iter_mut() {
            if instance.occupancy_checked && !instance.reports_occupancy && !instance.mixed_epochs {
                instance.unknown = 0;
            }
        }
    }

    /// Returns whether the gateways reported every grant of earlier owners; false in a shard that
    /// needs no survey.
    pub(super) fn is_surveyed(&self) -> bool {
        !self.start.clean && !self.unreported && self.unsurveyed.is_empty()
    }

    fn add_outstanding(&mut self, entry: Outstanding) {
        if !entry.idempotent {
            self.request_ids.insert(self.now, &entry.request);
        }
        if self.outstanding.contains_key(&entry.key) {
            return;
        }
        let instance = self.fleet.ensure(self.now, &entry.instance);
        let tenant = self.tenants.ensure(self.now, &entry.request.contract);
        self.tenants.count_taken(tenant);
        self.fleet.occupy(instance);
        let state = self.fleet.get_mut(instance);
        state.reported += 1;
        state.cap_unknown();
        let slot = self.slots.add(Held {
            instance,
            tenant,
            key: entry.key.clone(),
            since: self.now,
            charged: 0.0,
            phase: Phase::Outstanding,
        });
        self.outstanding.insert(entry.key, slot);
    }

    /// Handles a gateway's report on a grant of an earlier epoch.
    pub(super) fn outstanding_finished(&mut self, key: &Key, finish: Finish) {
        let Some(slot) = self.outstanding.get(key).copied() else {
            self.unreported |= finish == Finish::Lost;
            return;
        };
        let Some(held) = self.slots.get(slot) else {
            return;
        };
        self.update_health(held.instance, finish);
        match finish {
            Finish::Lost => self.mark_unresolved(slot, DEADLINE_MAX_MS),
            _ => {
                self.release(slot);
            }
        }
    }

    /// Handles the result of a probe.
    pub(super) fn update_occupancy(&mut self, name: &Arc<str>, busy: Option<u32>) {
        let Some(number) = self.fleet.find(name) else {
            return;
        };
        let surveyed = self.is_surveyed();
        let now = self.now;
        let instance = self.fleet.get_mut(number);
        let sent = instance.record_probe_answer(now, busy);
        match (busy, sent) {
            (Some(busy), Some(sent)) => {
                instance.last_count = Some(Count {
                    sent,
                    answered: now,
                    busy,
                    known: 0,
                    confirmed: false,
                });
                self.recount(number, busy, sent);
            }
            (None, _) if surveyed && !instance.reports_occupancy && !instance.mixed_epochs => {
                instance.unknown = 0
            }
            _ => {}
        }
    }

    /// Attributes an answered request to the last count of its instance if it was running during
    /// the whole probe.
    pub(super) fn attribute_to_count(&mut self, number: usize, granted: Instant, run_ms: u64) {
        let dispatched = self.now - run_ms;
        let instance = self.fleet.get_mut(number);
        if instance.unknown == 0 {
            return;
        }
        let Some(count) = &mut instance.last_count else {
            return;
        };
        if dispatched + ARRIVAL_MAX_MS > count.sent || granted + run_ms < count.answered {
            return;
        }
        count.known += 1;
        let (unattributed, sent) = (count.busy.saturating_sub(count.known), count.sent);
        self.recount(number, unattributed, sent);
    }

    /// Attributes grants of earlier epochs that are still held to the last count, once reports of
    /// those that ended before it have arrived.
    ///
    /// Applies only if every gateway answered the survey: then a request without a known grant can
    /// only belong to a gateway that was restarted meanwhile.
    pub(super) fn confirm_outstanding(&mut self) {
        if !self.is_surveyed() {
            return;
        }
        for number in self.fleet.unconfirmed(self.now - REPORT_MAX_MS) {
            let held = self
                .slots
                .select(|held| held.instance == number && matches!(held.phase, Phase::Outstanding));
            let Some(count) = &mut self.fleet.get_mut(number).last_count else {
                continue;
            };
            count.confirmed = true;
            count.known += held.len() as u32;
            let (unattributed, sent) = (count.busy.saturating_sub(count.known), count.sent);
            self.recount(number, unattributed, sent);
        }
    }

    /// Lowers the number of requests that may run at an instance without a report to `busy`, which
    /// the instance reported to a probe sent at `sent`, less the requests of known grants.
    ///
    /// Which of the requests have ended is unknown, so the rest is kept as a number only: if a late
    /// report freed one of them, another one could still be running.
    fn recount(&mut self, number: usize, busy: u32, sent: Instant) {
        let resolvable = self.resolvable_slots(number, sent);
        let instance = self.fleet.get(number);
        if busy >= instance.unknown.saturating_add(resolvable.len() as u32) {
            return;
        }
        let mut until = instance.unknown_until;
        let mixed_epochs = !resolvable.is_empty();
        for slot in resolvable {
            let Some(held) = self.release(slot) else {
                continue;
            };
            if let Phase::Unresolved { until: end, .. } = held.phase {
                until = until.max(end);
            }
        }
        let instance = self.fleet.get_mut(number);
        instance.unknown = busy;
        instance.unknown_until = until;
        instance.mixed_epochs |= mixed_epochs;
    }

    /// Returns the unresolved slots of an instance for which no request can have arrived after
    /// `sent`.
    fn resolvable_slots(&self, number: usize, sent: Instant) -> Vec<super::Slot> {
        if self.fleet.get(number).unresolved == 0 {
            return Vec::new();
        }
        self.slots.select(|held| {
            held.instance == number
                && matches!(
                    held.phase,
                    Phase::Unresolved { since, .. } if since + LAST_ARRIVAL_MS <= sent
                )
        })
    }

    /// Frees slots of requests without a known grant once the requests must have ended.
    pub(super) fn expire_unknown(&mut self) {
        let now = self.now;
        for instance in self.fleet.iter_mut() {
            if instance.unknown > 0 && instance.unknown_until <= now {
                instance.unknown = 0;
                instance.mixed_epochs = false;
                instance.occupancy_checked = true;
            }
        }
    }
}
