//! Admission control: decides whether a slot request is granted, queued or rejected.

use super::tenant::{Limits, Waiting};
use super::tenants::QUEUE_MAX;
use super::{Action, Kernel, Key, SlotRequest, Stage};
use crate::contract::Contract;
use crate::outcome::{NotRun, Unknown};
use crate::timing::{GRANT_VALID_MS, RETRY_WINDOW_MS};

impl Kernel {
    /// Applies a revision of a contract.
    pub(super) fn update_contract(&mut self, contract: &Contract) {
        let limits = Limits::for_shard(contract, &self.start.partition, &self.start.shard);
        // The takeover lasted at least as long as a grant is valid and admitted nothing meanwhile,
        // so a new bucket has the tokens of that time.
        let level_ms = (!self.start.clean).then_some(GRANT_VALID_MS);
        self.tenants
            .update_contract(self.now, contract, limits, level_ms);
    }

    /// Handles a slot request: it is granted, queued or rejected.
    pub(super) fn request_slot(&mut self, slot_request: SlotRequest, actions: &mut Vec<Action>) {
        match self.stages.get(&slot_request.key) {
            None => {}
            // The number was used by the gateway's previous incarnation, whose intent is still
            // being written.
            Some(Stage::Abandoned(_)) => {
                let reason = NotRun::Overloaded;
                actions.push(Action::Refuse {
                    key: slot_request.key,
                    reason,
                });
                return;
            }
            // The answer to the first slot request also answers the repeated one.
            Some(_) => return,
        }
        let key = slot_request.key.clone();
        if let Some(reason) = self.earlier_attempt(&slot_request) {
            actions.push(Action::ReportUnknown { key, reason });
            return;
        }
        match self.admit(&slot_request) {
            Ok(tenant) => self.enqueue(tenant, slot_request, actions),
            Err(reason) => actions.push(Action::Refuse { key, reason }),
        }
    }

    /// Returns why an earlier attempt of a non-idempotent request may have run, if so.
    fn earlier_attempt(&self, slot_request: &SlotRequest) -> Option<Unknown> {
        if slot_request.idempotent {
            return None;
        }
        if self.request_ids.contains(&slot_request.request) {
            return Some(Unknown::AlreadyDispatched);
        }
        // `NotRun` would be wrong: the queued attempt may still run.
        if self.tenants.is_queued(&slot_request.request) {
            return Some(Unknown::EarlierAttempt);
        }
        let unrecorded = self.start.unrecorded && self.now.since(self.started) < RETRY_WINDOW_MS;
        unrecorded.then_some(Unknown::Takeover)
    }

    fn admit(&mut self, slot_request: &SlotRequest) -> Result<usize, NotRun> {
        let tenant = self
            .tenants
            .find(&slot_request.request.contract)
            .filter(|tenant| self.tenants.get(*tenant).limits.is_some())
            .ok_or(NotRun::NotInContract)?;
        if self.listed && !self.fleet.has_live(&slot_request.exclude) {
            return Err(NotRun::NoInstance);
        }
        if slot_request.remaining_ms == 0 {
            return Err(NotRun::Deadline);
        }
        if !slot_request.idempotent && self.request_ids.is_full() {
            return Err(NotRun::Overloaded);
        }
        if !self.tenants.get_mut(tenant).bucket.take(self.now) {
            return Err(NotRun::Rate);
        }
        Ok(tenant)
    }

    /// Queues a slot request, and rejects it if it is not granted at once and may not wait.
    fn enqueue(&mut self, tenant: usize, slot_request: SlotRequest, actions: &mut Vec<Action>) {
        let key = slot_request.key.clone();
        let waiting = Waiting::new(self.now, slot_request);
        let deadline = waiting.deadline;
        let seq = self.tenants.push(self.now, tenant, waiting);
        self.stages
            .insert(key.clone(), Stage::Queued { tenant, seq });
        self.dispatch(actions);
        if !matches!(self.stages.get(&key), Some(Stage::Queued { .. })) {
            return;
        }
        let remaining = deadline.since(self.now);
        if let Some(reason) = self.queue_refusal(tenant, remaining) {
            self.tenants.get_mut(tenant).bucket.refund();
            self.refuse(&key, reason, actions);
        }
    }

    /// Returns why the last slot request in the queue of contract `number` may not wait, if so.
    fn queue_refusal(&self, number: usize, remaining_ms: u64) -> Option<NotRun> {
        let tenant = self.tenants.get(number);
        let limit = tenant.limits.map_or(0, |limits| limits.queue);
        if tenant.queue.len() as u64 > limit {
            return Some(match tenant.is_below_concurrency_limit() {
                true => NotRun::Overloaded,
                false => NotRun::Concurrency,
            });
        }
        if self.tenants.len() > QUEUE_MAX {
            return Some(NotRun::Overloaded);
        }
        let slots = self.fleet.slots(self.now);
        let expected = self
            .tenants
            .expected_ms(number, slots, self.tenants.long_max(slots));
        (expected > remaining_ms as f64).then_some(NotRun::Deadline)
    }

    /// Removes a slot request from its queue and rejects it.
    pub(super) fn refuse(&mut self, key: &Key, reason: NotRun, actions: &mut Vec<Action>) {
        let Some(Stage::Queued { tenant, seq }) = self.stages.remove(key) else {
            return;
        };
        self.tenants.remove(tenant, seq);
        actions.push(Action::Refuse {
            key: key.clone(),
            reason,
        });
    }
}
