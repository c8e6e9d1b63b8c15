//! Grants in use: slots granted to this gateway whose finish no owner has acknowledged.
//!
//! A new owner of a shard surveys the gateways for the grants of earlier epochs. The reply to a
//! survey fences those that arrive later.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::routing::{Key, Outstanding, Slot};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::target::Instance;
use rosemaryworks_core::time::Instant;

/// Milliseconds after which the reply to a survey is assumed to have reached the owner.
const SURVEY_SETTLE_MS: u64 = 200;

/// Slot that an owner granted for one request.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) key: Key,
    pub(crate) shard: Id,
    pub(crate) epoch: Epoch,
    pub(crate) owner: Arc<str>,
    pub(crate) slot: Slot,
    pub(crate) instance: Instance,
    pub(crate) request: Request,
    pub(crate) idempotent: bool,
    /// The grant must not be used from this time on.
    pub(crate) expires_at: Instant,
}

/// Grants in use. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    /// Grants by the number of their slot request.
    in_use: HashMap<u64, Grant>,
    /// Last survey per shard. Grants of earlier epochs are fenced by it.
    surveys: HashMap<Id, Survey>,
}

#[derive(Clone, Copy, Debug)]
struct Survey {
    /// Epoch of the new owner.
    epoch: Epoch,
    answered_at: Instant,
}

impl Grants {
    fn with<T>(&self, operation: impl FnOnce(&mut Inner) -> T) -> T {
        operation(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers a grant as in use. Returns whether it may be used: a grant that has expired, or
    /// was issued in an epoch before the last survey, may not. The reply to a survey contains every
    /// grant of an earlier epoch that was registered before it.
    pub(crate) fn try_use(&self, now: Instant, grant: &Grant) -> bool {
        self.with(|inner| {
            let survey = inner.surveys.get(&grant.shard);
            let fenced = survey.is_some_and(|survey| survey.epoch > grant.epoch);
            if fenced || now >= grant.expires_at {
                return false;
            }
            inner.in_use.insert(grant.key.number, grant.clone());
            true
        })
    }

    /// Returns whether the reply to the last survey of the shard is assumed to have reached the
    /// owner. The finish report of a grant must not overtake it: the owner would ignore the report
    /// and keep the slot occupied for a request that has ended.
    pub(crate) fn is_survey_settled(&self, now: Instant, shard: &Id) -> bool {
        self.with(|inner| {
            let survey = inner.surveys.get(shard);
            survey.is_none_or(|survey| now.since(survey.answered_at) >= SURVEY_SETTLE_MS)
        })
    }

    /// Removes a grant whose finish an owner has acknowledged.
    pub(crate) fn remove(&self, grant: &Grant) {
        self.with(|inner| inner.in_use.remove(&grant.key.number));
    }

    /// Returns the grants of earlier epochs that are in use, for the survey of a new owner, and
    /// fences grants of those epochs that arrive later.
    pub(crate) fn answer_survey(&self, now: Instant, shard: &Id, epoch: Epoch) -> Vec<Outstanding> {
        self.with(|inner| {
            let survey = Survey {
                epoch,
                answered_at: now,
            };
            let last = inner.surveys.entry(shard.clone()).or_insert(survey);
            if last.epoch <= epoch {
                *last = survey;
            }
            let from_earlier_epoch = |grant: &&Grant| grant.shard == *shard && grant.epoch < epoch;
            inner
                .in_use
                .values()
                .filter(from_earlier_epoch)
                .map(outstanding)
                .collect()
        })
    }
}

fn outstanding(grant: &Grant) -> Outstanding {
    Outstanding {
        key: grant.key.clone(),
        request: grant.request.clone(),
        idempotent: grant.idempotent,
        instance: grant.instance.name.clone(),
    }
}
