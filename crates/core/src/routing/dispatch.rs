//! Dispatch: grants free slots to queued slot requests in weighted fair order.

use super::slots::{Held, Phase};
use super::tenant::Waiting;
use super::{Action, Kernel, Key, Slot, Stage};
use crate::outcome::{NotRun, Unknown};

/// Most slots granted per call. The next event continues.
const GRANTS_PER_CALL: usize = 64;

/// Most queued slot requests rejected per call because of their deadline.
const REFUSALS_PER_CALL: usize = 256;

/// Most queued slot requests of one contract examined for one that a free instance can serve.
const LOOK_AHEAD: usize = 8;

/// A queued slot request and the instance chosen for it.
struct Match {
    tenant: usize,
    seq: u64,
    instance: usize,
}

impl Kernel {
    /// Rejects slot requests whose deadline has passed and grants free slots to the others.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        self.refuse_overdue(actions);
        for _ in 0..GRANTS_PER_CALL {
            match self.find_match() {
                Some(matched) => self.serve(matched, actions),
                None => return,
            }
        }
    }

    fn refuse_overdue(&mut self, actions: &mut Vec<Action>) {
        for _ in 0..REFUSALS_PER_CALL {
            let Some((tenant, seq)) = self.tenants.overdue(self.now) else {
                return;
            };
            let Some(waiting) = self.tenants.remove(tenant, seq) else {
                return;
            };
            self.stages.remove(&waiting.key);
            actions.push(Action::Refuse {
                key: waiting.key,
                reason: NotRun::Deadline,
            });
        }
    }

    fn find_match(&self) -> Option<Match> {
        if self.tenants.len() == 0 {
            return None;
        }
        let best = self.fleet.choose(self.now, &[])?;
        let long_max = self.tenants.long_max(self.fleet.slots(self.now));
        let mut skip = Vec::new();
        while let Some(tenant) = self.tenants.next_to_serve(&skip, long_max) {
            if let Some(matched) = self.match_tenant(tenant, best) {
                return Some(matched);
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
                false => self.fleet.choose(self.now, &waiting.exclude),
            };
            instance.map(|instance| Match {
                tenant,
                seq: *seq,
                instance,
            })
        })
    }

    fn serve(&mut self, matched: Match, actions: &mut Vec<Action>) {
        let Some(waiting) = self.tenants.remove(matched.tenant, matched.seq) else {
            return;
        };
        self.stages.remove(&waiting.key);
        if self.likely_misses_deadline(matched.tenant, &waiting) {
            actions.push(Action::Refuse {
                key: waiting.key,
                reason: NotRun::Deadline,
            });
        } else if self.tenants.get(matched.tenant).limits.is_none() {
            actions.push(Action::Refuse {
                key: waiting.key,
                reason: NotRun::NotInContract,
            });
        } else if waiting.idempotent || waiting.intent_written {
            self.grant(&matched, waiting, actions);
        } else if self.request_ids.contains(&waiting.request) {
            actions.push(Action::ReportUnknown {
                key: waiting.key,
                reason: Unknown::AlreadyDispatched,
            });
        } else {
            self.reserve(&matched, waiting, actions);
        }
    }

    /// Returns whether a request that was queued is more likely than not to miss its deadline.
    ///
    /// Requests that can be granted at once are always granted: otherwise run times learned while
    /// the instances were slow would never be corrected.
    fn likely_misses_deadline(&self, tenant: usize, waiting: &Waiting) -> bool {
        let remaining = waiting.deadline.since(self.now);
        waiting.arrived < self.now && self.tenants.likely_misses_deadline(tenant, remaining)
    }

    fn occupy_slot(&mut self, matched: &Match, key: &Key, phase: Phase) -> Slot {
        let charged = self.tenants.charge(matched.tenant);
        self.fleet.occupy(matched.instance);
        self.slots.add(Held {
            instance: matched.instance,
            tenant: matched.tenant,
            key: key.clone(),
            since: self.now,
            charged,
            phase,
        })
    }

    fn grant(&mut self, matched: &Match, waiting: Waiting, actions: &mut Vec<Action>) {
        let slot = self.occupy_slot(matched, &waiting.key, Phase::Granted);
        self.send_grant(slot, matched.instance, waiting.key, actions);
    }

    fn send_grant(&mut self, slot: Slot, instance: usize, key: Key, actions: &mut Vec<Action>) {
        let Some(instance) = self.fleet.get(instance).info.clone() else {
            return;
        };
        self.stages.insert(key.clone(), Stage::Granted(slot));
        actions.push(Action::Grant {
            key,
            slot,
            instance,
        });
    }

    fn reserve(&mut self, matched: &Match, waiting: Waiting, actions: &mut Vec<Action>) {
        self.request_ids.insert(self.now, &waiting.request);
        let key = waiting.key.clone();
        let request = waiting.request.clone();
        let slot = self.occupy_slot(matched, &key, Phase::Reserved(Box::new(waiting)));
        self.stages.insert(key.clone(), Stage::WritingIntent(slot));
        actions.push(Action::WriteIntent { key, request });
    }

    /// Grants the reserved slot of a request whose intent was written.
    pub(super) fn intent_written(&mut self, key: &Key, actions: &mut Vec<Action>) {
        let slot = match self.stages.get(key) {
            Some(Stage::WritingIntent(slot)) => *slot,
            Some(Stage::Abandoned(_)) => {
                self.stages.remove(key);
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
            self.stages.remove(key);
            self.release_unused(slot);
            actions.push(Action::Refuse {
                key: key.clone(),
                reason: NotRun::Deadline,
            });
        } else if self.fleet.get(instance).is_serving() {
            if let Some(held) = self.slots.get_mut(slot) {
                held.phase = Phase::Granted;
            }
            self.send_grant(slot, instance, key.clone(), actions);
        } else {
            self.requeue(slot, *waiting);
        }
    }

    /// Queues a request again because its instance left service.
    fn requeue(&mut self, slot: Slot, mut waiting: Waiting) {
        let Some(held) = self.release_unused(slot) else {
            return;
        };
        waiting.intent_written = true;
        let key = waiting.key.clone();
        let seq = self.tenants.push_first(self.now, held.tenant, waiting);
        let tenant = held.tenant;
        self.stages.insert(key, Stage::Queued { tenant, seq });
    }

    /// Rejects a request whose intent could not be written; its id may be used again.
    pub(super) fn intent_failed(&mut self, key: &Key, actions: &mut Vec<Action>) {
        match self.stages.get(key) {
            Some(Stage::Abandoned(request)) => {
                self.request_ids.remove(request);
                self.stages.remove(key);
            }
            Some(Stage::WritingIntent(slot)) => {
                let slot = *slot;
                self.stages.remove(key);
                if let Some(held) = self.release_unused(slot)
                    && let Phase::Reserved(waiting) = held.phase
                {
                    self.request_ids.remove(&waiting.request);
                }
                actions.push(Action::Refuse {
                    key: key.clone(),
                    reason: NotRun::LogUnavailable,
                });
            }
            _ => {}
        }
    }
}
