//! Dispatch: grants free slots to queued slot requests in weighted fair order.

use super::slots::{Held, Phase};
use super::tenant::Waiting;
use super::{Action, Kernel, Key, Place, Slot};
use crate::outcome::{NotRun, Unknown};

/// Most slots granted per call. The next event continues.
const GRANTS_PER_CALL: usize = 64;

/// Most queued slot requests rejected per call because of their deadline.
const REFUSALS_PER_CALL: usize = 256;

/// Queued slot requests of one contract examined for one that a free instance can serve.
const LOOK_AHEAD: usize = 8;

/// A queued slot request and the instance chosen for it.
struct Match {
    tenant: usize,
    seq: u64,
    instance: usize,
}

impl Kernel {
    /// Rejects slot requests whose deadline has passed and grants free slots to the others.
    pub(super) fn dispatch(&mut self, steps: &mut Vec<Action>) {
        self.refuse_overdue(steps);
        for _ in 0..GRANTS_PER_CALL {
            match self.find_match() {
                Some(found) => self.serve(found, steps),
                None => return,
            }
        }
    }

    fn refuse_overdue(&mut self, steps: &mut Vec<Action>) {
        for _ in 0..REFUSALS_PER_CALL {
            let Some((tenant, seq)) = self.tenants.overdue(self.now) else {
                return;
            };
            let Some(waiting) = self.tenants.remove(tenant, seq) else {
                return;
            };
            self.places.remove(&waiting.key);
            steps.push(Action::Refuse {
                key: waiting.key,
                reason: NotRun::Deadline,
            });
        }
    }

    fn find_match(&self) -> Option<Match> {
        if self.tenants.len() == 0 {
            return None;
        }
        let best = self.fleet.pick(self.now, &[])?;
        let long_max = self.tenants.long_max(self.fleet.slots(self.now));
        let mut skip = Vec::new();
        while let Some(tenant) = self.tenants.next(&skip, long_max) {
            if let Some(found) = self.match_tenant(tenant, best) {
                return Some(found);
            }
            skip.push(tenant);
        }
        None
    }

    fn match_tenant(&self, tenant: usize, best: usize) -> Option<Match> {
        let queue = self.tenants.get(tenant).queue.iter();
        queue.take(LOOK_AHEAD).find_map(|(seq, waiting)| {
            let instance = match waiting.exclude.is_empty() {
                true => Some(best),
                false => self.fleet.pick(self.now, &waiting.exclude),
            };
            instance.map(|instance| Match {
                tenant,
                seq: *seq,
                instance,
            })
        })
    }

    fn serve(&mut self, found: Match, steps: &mut Vec<Action>) {
        let Some(waiting) = self.tenants.remove(found.tenant, found.seq) else {
            return;
        };
        self.places.remove(&waiting.key);
        if self.is_too_late(found.tenant, &waiting) {
            steps.push(Action::Refuse {
                key: waiting.key,
                reason: NotRun::Deadline,
            });
        } else if self.tenants.get(found.tenant).limits.is_none() {
            steps.push(Action::Refuse {
                key: waiting.key,
                reason: NotRun::NotInContract,
            });
        } else if waiting.idempotent || waiting.intended {
            self.grant(&found, waiting, steps);
        } else if self.memory.contains(&waiting.request) {
            steps.push(Action::ReportUnknown {
                key: waiting.key,
                reason: Unknown::AlreadyDispatched,
            });
        } else {
            self.reserve(&found, waiting, steps);
        }
    }

    /// Returns whether a request that was queued is more likely than not to miss its deadline.
    ///
    /// Requests that can be granted at once are always granted: otherwise run times learned while
    /// the instances were slow would never be corrected.
    fn is_too_late(&self, tenant: usize, waiting: &Waiting) -> bool {
        let remaining = waiting.deadline.since(self.now);
        waiting.asked < self.now && self.tenants.is_too_late(tenant, remaining)
    }

    fn take(&mut self, found: &Match, key: &Key, phase: Phase) -> Slot {
        let charged = self.tenants.take(found.tenant);
        self.fleet.take(found.instance);
        self.slots.add(Held {
            instance: found.instance,
            tenant: found.tenant,
            key: key.clone(),
            since: self.now,
            charged,
            phase,
        })
    }

    fn grant(&mut self, found: &Match, waiting: Waiting, steps: &mut Vec<Action>) {
        let slot = self.take(found, &waiting.key, Phase::Granted);
        self.announce(slot, found.instance, waiting.key, steps);
    }

    fn announce(&mut self, slot: Slot, instance: usize, key: Key, steps: &mut Vec<Action>) {
        let Some(instance) = self.fleet.get(instance).info.clone() else {
            return;
        };
        self.places.insert(key.clone(), Place::Granted(slot));
        steps.push(Action::Grant {
            key,
            slot,
            instance,
        });
    }

    fn reserve(&mut self, found: &Match, waiting: Waiting, steps: &mut Vec<Action>) {
        self.memory.remember(self.now, &waiting.request);
        let key = waiting.key.clone();
        let request = waiting.request.clone();
        let slot = self.take(found, &key, Phase::Reserved(Box::new(waiting)));
        self.places.insert(key.clone(), Place::Intending(slot));
        steps.push(Action::WriteIntent { key, request });
    }

    /// Grants the reserved slot of a request whose intent was written.
    pub(super) fn intended(&mut self, key: &Key, steps: &mut Vec<Action>) {
        let slot = match self.places.get(key) {
            Some(Place::Intending(slot)) => *slot,
            Some(Place::Abandoned(_)) => {
                self.places.remove(key);
                return;
            }
            _ => return,
        };
        let Some(held) = self.slots.get(slot) else {
            return;
        };
        let Phase::Reserved(waiting) = held.phase.clone() else {
            return;
        };
        let instance = held.instance;
        if waiting.deadline <= self.now {
            self.places.remove(key);
            self.take_back(slot);
            steps.push(Action::Refuse {
                key: key.clone(),
                reason: NotRun::Deadline,
            });
        } else if self.fleet.get(instance).is_serving() {
            if let Some(held) = self.slots.get_mut(slot) {
                held.phase = Phase::Granted;
            }
            self.announce(slot, instance, key.clone(), steps);
        } else {
            self.requeue(slot, *waiting);
        }
    }

    /// Queues a request again whose instance left service.
    fn requeue(&mut self, slot: Slot, mut waiting: Waiting) {
        let Some(held) = self.take_back(slot) else {
            return;
        };
        waiting.intended = true;
        let key = waiting.key.clone();
        let seq = self.tenants.push_first(self.now, held.tenant, waiting);
        let tenant = held.tenant;
        self.places.insert(key, Place::Queued { tenant, seq });
    }

    /// Rejects a request whose intent could not be written; its id may be used again.
    pub(super) fn intent_failed(&mut self, key: &Key, steps: &mut Vec<Action>) {
        match self.places.get(key) {
            Some(Place::Abandoned(request)) => {
                self.memory.forget(request);
                self.places.remove(key);
            }
            Some(Place::Intending(slot)) => {
                let slot = *slot;
                self.places.remove(key);
                if let Some(held) = self.take_back(slot)
                    && let Phase::Reserved(waiting) = held.phase
                {
                    self.memory.forget(&waiting.request);
                }
                steps.push(Action::Refuse {
                    key: key.clone(),
                    reason: NotRun::LogUnavailable,
                });
            }
            _ => {}
        }
    }
}
