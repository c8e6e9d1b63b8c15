//! Release of slots: a taken slot becomes free, or unresolved if no gateway will report on it.

use std::sync::Arc;

use super::slots::{Held, Phase};
use super::{Kernel, Key, Place, Slot};
use crate::outcome::Finish;
use crate::timing::DEADLINE_MAX_MS;

impl Kernel {
    /// Frees a slot and returns its state.
    pub(super) fn release(&mut self, slot: Slot) -> Option<Held> {
        let held = self.slots.remove(slot)?;
        self.tenants.free(held.tenant);
        if self.outstanding.get(&held.key) == Some(&slot) {
            self.outstanding.remove(&held.key);
        }
        match held.phase {
            Phase::Doubted { .. } => {
                let instance = self.fleet.get_mut(held.instance);
                instance.doubted = instance.doubted.saturating_sub(1);
            }
            _ => self.fleet.free(held.instance),
        }
        Some(held)
    }

    /// Marks a slot as unresolved: it stays taken although no gateway will report on it.
    pub(super) fn doubt(&mut self, slot: Slot, lasting_ms: u64) {
        let now = self.now;
        let Some(held) = self.slots.get_mut(slot) else {
            return;
        };
        if matches!(held.phase, Phase::Doubted { .. }) {
            return;
        }
        held.phase = Phase::Doubted {
            since: now,
            until: held.since + lasting_ms,
        };
        let number = held.instance;
        self.fleet.free(number);
        self.fleet.get_mut(number).doubted += 1;
    }

    /// Handles a gateway's report on a grant of this epoch.
    pub(super) fn finished(&mut self, slot: Slot, finish: Finish, run_ms: u64) {
        let Some(held) = self.slots.get(slot) else {
            return;
        };
        if matches!(held.phase, Phase::Reserved(_)) {
            return;
        }
        if let Some(Place::Granted(granted)) = self.places.get(&held.key)
            && *granted == slot
        {
            self.places.remove(&held.key);
        }
        let (tenant, instance, charged) = (held.tenant, held.instance, held.charged);
        let since = held.since;
        self.note(instance, finish);
        if finish == Finish::Lost {
            self.doubt(slot, DEADLINE_MAX_MS);
            return;
        }
        self.release(slot);
        let used_ms = self.now.since(since);
        self.tenants.correct(tenant, charged, used_ms);
        if finish == Finish::Answered {
            self.tenants.learn(tenant, run_ms);
            self.witness(instance, since, run_ms);
        }
    }

    /// Updates the health of an instance from the end of a request.
    pub(super) fn note(&mut self, instance: usize, finish: Finish) {
        let now = self.now;
        let instance = self.fleet.get_mut(instance);
        match finish {
            Finish::Answered => instance.succeed(),
            Finish::Lost | Finish::NotSent => instance.fail(now),
            Finish::Rejected => instance.failed = Some(now),
            Finish::Unused => {}
        }
    }

    /// Removes a slot request that the gateway no longer needs.
    pub(super) fn withdraw(&mut self, key: &Key) {
        match self.places.remove(key) {
            Some(Place::Queued { tenant, seq }) => {
                self.tenants.remove(tenant, seq);
            }
            Some(Place::Granted(slot)) => {
                self.take_back(slot);
            }
            Some(Place::Intending(slot)) => self.abandon(key, slot),
            Some(place @ Place::Abandoned(_)) => {
                self.places.insert(key.clone(), place);
            }
            None => {}
        }
    }

    /// Frees a slot that was not used and refunds its charge.
    pub(super) fn take_back(&mut self, slot: Slot) -> Option<Held> {
        let held = self.release(slot)?;
        self.tenants.correct(held.tenant, held.charged, 0);
        Some(held)
    }

    /// Frees the reserved slot of a slot request whose intent is being written.
    ///
    /// The key is kept until the write ends, so that its result is not attributed to another slot
    /// request with the same key.
    fn abandon(&mut self, key: &Key, slot: Slot) {
        let Some(held) = self.take_back(slot) else {
            return;
        };
        if let Phase::Reserved(waiting) = held.phase {
            let place = Place::Abandoned(waiting.request);
            self.places.insert(key.clone(), place);
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
        let places: Vec<_> = self
            .places
            .range(first..=last)
            .map(|(key, place)| (key.clone(), place.clone()))
            .collect();
        for (key, place) in places {
            match place {
                Place::Granted(_) => {
                    self.places.remove(&key);
                }
                _ => self.withdraw(&key),
            }
        }
        // If the gateway's process was restarted, it can't report the grants that it held.
        self.unreported |= self.unsurveyed.contains(gateway);
        let is_lost = |held: &Held| held.key.gateway == *gateway;
        for slot in self.slots.select(is_lost) {
            self.doubt(slot, DEADLINE_MAX_MS);
        }
    }

    /// Marks grants as unresolved that got no report for longer than any deadline, and frees
    /// unresolved slots whose requests have ended in any case.
    pub(super) fn doubt_overdue(&mut self) {
        for slot in self.slots.before(self.now - DEADLINE_MAX_MS) {
            let Some(held) = self.slots.get(slot) else {
                continue;
            };
            match &held.phase {
                Phase::Doubted { until, .. } if *until <= self.now => {
                    self.release(slot);
                }
                Phase::Granted | Phase::Outstanding => self.forget_overdue(slot),
                _ => {}
            }
        }
    }

    fn forget_overdue(&mut self, slot: Slot) {
        let key = self.slots.get(slot).map(|held| held.key.clone());
        self.doubt(slot, 2 * DEADLINE_MAX_MS);
        let Some(key) = key else {
            return;
        };
        if matches!(self.places.get(&key), Some(Place::Granted(granted)) if *granted == slot) {
            self.places.remove(&key);
        }
    }
}
