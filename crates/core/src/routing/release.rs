//! Release of slots: a taken slot becomes free, or unresolved if no gateway will report on it.

use std::sync::Arc;

use super::slots::{Held, Phase};
use super::{Kernel, Key, Slot, Stage};
use crate::outcome::Finish;
use crate::timing::DEADLINE_MAX_MS;

impl Kernel {
    /// Frees a slot and returns its state.
    pub(super) fn release(&mut self, slot: Slot) -> Option<Held> {
        let held = self.slots.remove(slot)?;
        self.tenants.release(held.tenant);
        if self.outstanding.get(&held.key) == Some(&slot) {
            self.outstanding.remove(&held.key);
        }
        match held.phase {
            Phase::Unresolved { .. } => {
                let instance = self.fleet.get_mut(held.instance);
                instance.unresolved = instance.unresolved.saturating_sub(1);
            }
            _ => self.fleet.release(held.instance),
        }
        Some(held)
    }

    /// Marks a slot as unresolved: it stays taken although no gateway will report on it. The
    /// request must have ended `duration_ms` after the slot was taken.
    pub(super) fn mark_unresolved(&mut self, slot: Slot, duration_ms: u64) {
        let now = self.now;
        let Some(held) = self.slots.get_mut(slot) else {
            return;
        };
        if matches!(held.phase, Phase::Unresolved { .. }) {
            return;
        }
        held.phase = Phase::Unresolved {
            since: now,
            until: held.since + duration_ms,
        };
        let number = held.instance;
        self.fleet.release(number);
        self.fleet.get_mut(number).unresolved += 1;
    }

    /// Handles a gateway's report on a grant of this epoch.
    pub(super) fn finished(&mut self, slot: Slot, finish: Finish, run_ms: u64) {
        let Some(held) = self.slots.get(slot) else {
            return;
        };
        if matches!(held.phase, Phase::Reserved(_)) {
            return;
        }
        if let Some(Stage::Granted(granted)) = self.stages.get(&held.key)
            && *granted == slot
        {
            self.stages.remove(&held.key);
        }
        let (tenant, instance, charged) = (held.tenant, held.instance, held.charged);
        let since = held.since;
        self.update_health(instance, finish);
        if finish == Finish::Lost {
            self.mark_unresolved(slot, DEADLINE_MAX_MS);
            return;
        }
        self.release(slot);
        let used_ms = self.now.since(since);
        self.tenants.adjust_charge(tenant, charged, used_ms);
        if finish == Finish::Answered {
            self.tenants.record_run_time(tenant, run_ms);
            self.attribute_to_count(instance, since, run_ms);
        }
    }

    /// Updates the health of an instance from the end of a request.
    pub(super) fn update_health(&mut self, instance: usize, finish: Finish) {
        let now = self.now;
        let instance = self.fleet.get_mut(instance);
        match finish {
            Finish::Answered => instance.record_success(),
            Finish::Lost | Finish::NotSent => instance.record_failure(now),
            Finish::Rejected => instance.last_failure = Some(now),
            Finish::Unused => {}
        }
    }

    /// Removes a slot request that the gateway no longer needs.
    pub(super) fn withdraw(&mut self, key: &Key) {
        match self.stages.remove(key) {
            Some(Stage::Queued { tenant, seq }) => {
                self.tenants.remove(tenant, seq);
            }
            Some(Stage::Granted(slot)) => {
                self.release_unused(slot);
            }
            Some(Stage::WritingIntent(slot)) => self.abandon(key, slot),
            Some(stage @ Stage::Abandoned(_)) => {
                self.stages.insert(key.clone(), stage);
            }
            None => {}
        }
    }

    /// Frees a slot that was not used and refunds its charge.
    pub(super) fn release_unused(&mut self, slot: Slot) -> Option<Held> {
        let held = self.release(slot)?;
        self.tenants.adjust_charge(held.tenant, held.charged, 0);
        Some(held)
    }

    /// Frees the reserved slot of a slot request whose intent is being written.
    ///
    /// The key is kept until the write ends, so that its result is not attributed to another slot
    /// request with the same key.
    fn abandon(&mut self, key: &Key, slot: Slot) {
        let Some(held) = self.release_unused(slot) else {
            return;
        };
        if let Phase::Reserved(waiting) = held.phase {
            let stage = Stage::Abandoned(waiting.request);
            self.stages.insert(key.clone(), stage);
        }
    }

    /// Drops the queued slot requests of a gateway and marks its granted slots as unresolved.
    pub(super) fn gateway_lost(&mut self, gateway: &Arc<str>) {
        let first = Key {
            gateway: gateway.clone(),
            number: 0,
        };
        let last = Key {
            gateway: gateway.clone(),
            number: u64::MAX,
        };
        let stages: Vec<_> = self
            .stages
            .range(first..=last)
            .map(|(key, stage)| (key.clone(), stage.clone()))
            .collect();
        for (key, stage) in stages {
            match stage {
                Stage::Granted(_) => {
                    self.stages.remove(&key);
                }
                _ => self.withdraw(&key),
            }
        }
        // If the gateway's process was restarted, it can't report the grants that it held.
        self.unreported |= self.unsurveyed.contains(gateway);
        let is_lost = |held: &Held| held.key.gateway == *gateway;
        for slot in self.slots.select(is_lost) {
            self.mark_unresolved(slot, DEADLINE_MAX_MS);
        }
    }

    /// Marks grants as unresolved that got no report for longer than any deadline, and frees
    /// unresolved slots whose requests must have ended.
    pub(super) fn resolve_overdue(&mut self) {
        for slot in self.slots.taken_before(self.now - DEADLINE_MAX_MS) {
            let Some(held) = self.slots.get(slot) else {
                continue;
            };
            match &held.phase {
                Phase::Unresolved { until, .. } if *until <= self.now => {
                    self.release(slot);
                }
                Phase::Granted | Phase::Outstanding => self.mark_overdue(slot),
                _ => {}
            }
        }
    }

    fn mark_overdue(&mut self, slot: Slot) {
        let key = self.slots.get(slot).map(|held| held.key.clone());
        self.mark_unresolved(slot, 2 * DEADLINE_MAX_MS);
        let Some(key) = key else {
            return;
        };
        if matches!(self.stages.get(&key), Some(Stage::Granted(granted)) if *granted == slot) {
            self.stages.remove(&key);
        }
    }
}
