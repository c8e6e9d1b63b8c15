//! Promises of support for claims, which this scheduler makes to owners, itself included.
//!
//! At most one epoch of a shard is supported at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::ledger::Ledger;
use crate::shard::{Epoch, Id};
use crate::time::Instant;
use crate::timing::SUPPORT_MS;

#[derive(Clone, Copy, Debug)]
struct Promise {
    epoch: Epoch,
    until: Instant,
}

/// Promises of support by shard.
#[derive(Clone, Debug)]
pub(super) struct Promises {
    /// Time until which a promise of an earlier incarnation may still be valid.
    no_promise_until: Instant,
    promises: BTreeMap<Id, Promise>,
}

impl Promises {
    /// Creates the state of an incarnation that starts at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            no_promise_until: now + SUPPORT_MS,
            promises: BTreeMap::new(),
        }
    }

    /// Promises support from `now` on if the claim is current in `ledger` and no other epoch of the
    /// shard is still supported. Returns whether it did.
    pub(super) fn try_promise(
        &mut self,
        now: Instant,
        ledger: &Ledger,
        shard: &Id,
        epoch: Epoch,
        claimant: (&Arc<str>, u64),
    ) -> bool {
        let current = ledger.get(shard).is_some_and(|ownership| {
            ownership.epoch == epoch
                && !ownership.released
                && (&ownership.owner, ownership.incarnation) == claimant
        });
        if !current || now < self.no_promise_until {
            return false;
        }
        let blocked = self
            .promises
            .get(shard)
            .is_some_and(|promise| promise.epoch != epoch && now < promise.until);
        if blocked {
            return false;
        }
        let until = now + SUPPORT_MS;
        self.promises
            .insert(shard.clone(), Promise { epoch, until });
        true
    }

    /// Ends the support for `epoch`, whose owner is no longer active.
    pub(super) fn release(&mut self, shard: &Id, epoch: Epoch) {
        if self.promises.get(shard).is_some_and(|p| p.epoch == epoch) {
            self.promises.remove(shard);
        }
    }
}
