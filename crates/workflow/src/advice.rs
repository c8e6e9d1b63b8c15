//! Which workers may run a step, as far as the advice service was asked.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time before its end at which a permit is no longer used, in milliseconds. Covers the order's way
/// to the worker.
const EXPIRY_MARGIN_MS: u64 = 250;

/// Pause after a call that failed, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

/// Pause after the first answer that led to no place, in milliseconds. Doubles with each further one.
const FRUITLESS_PAUSE_MS: u64 = 60;

/// Most doublings of [`FRUITLESS_MS`]; the last pause is shorter than the validity of permits.
const DOUBLINGS_MAX: u32 = 4;

/// Answers of the advice service for one step. Which workers are good doesn't change; permits lapse.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    allowed: BTreeMap<Arc<str>, Permit>,
    denied: BTreeSet<Arc<str>>,
    requested: Option<Vec<Arc<str>>>,
    not_before_ms: u64,
    /// Answers since a task was last placed.
    answers_since_placement: u32,
}

/// Permit to run a step on a worker.
#[derive(Clone, Debug)]
struct Permit {
    text: Arc<str>,
    expires_ms: u64,
}

impl Advice {
    /// Returns the permit for a worker if it is valid.
    pub(crate) fn permit(&self, worker: &str, now_ms: u64) -> Option<&Arc<str>> {
        let permit = self.allowed.get(worker)?;
        (now_ms < permit.expires_ms).then_some(&permit.text)
    }

    /// Tells whether the step may not run on a worker.
    pub(crate) fn is_denied(&self, worker: &str) -> bool {
        self.denied.contains(worker)
    }

    /// Tells whether the step may run on a worker, with a permit or once it is renewed.
    pub(crate) fn is_allowed(&self, worker: &str) -> bool {
        self.allowed.contains_key(worker)
    }

    /// Tells whether any worker is known to be good.
    pub(crate) fn has_allowed_worker(&self) -> bool {
        !self.allowed.is_empty()
    }

    /// Tells whether a question may be asked now.
    pub(crate) fn may_request(&self, now_ms: u64) -> bool {
        self.requested.is_none() && now_ms >= self.not_before_ms
    }

    /// Tells whether a question is on its way.
    pub(crate) fn is_request_pending(&self) -> bool {
        self.requested.is_some()
    }

    /// Notes the workers of a question.
    pub(crate) fn request_sent(&mut self, workers: Vec<Arc<str>>) {
        self.requested = Some(workers);
    }

    /// Takes the answer. Returns how many workers were asked about and how many are good.
    pub(crate) fn answered(
        &mut self,
        allowed: Vec<(Arc<str>, Arc<str>)>,
        expires_ms: u64,
        now_ms: u64,
    ) -> (usize, usize) {
        self.not_before_ms =
            now_ms + (FRUITLESS_PAUSE_MS << self.answers_since_placement.min(DOUBLINGS_MAX));
        self.answers_since_placement += 1;
        let requested = self.requested.take().unwrap_or_default();
        let counts = (requested.len(), allowed.len());
        for (worker, text) in allowed {
            let expires_ms = expires_ms.saturating_sub(EXPIRY_MARGIN_MS);
            self.allowed.insert(worker, Permit { text, expires_ms });
        }
        for worker in requested {
            if !self.allowed.contains_key(&worker) {
                self.denied.insert(worker);
            }
        }
        counts
    }

    /// Notes that a task was placed.
    pub(crate) fn placed(&mut self) {
        self.answers_since_placement = 0;
        self.not_before_ms = 0;
    }

    /// Notes that a question got no answer.
    pub(crate) fn request_failed(&mut self, now_ms: u64) {
        self.requested = None;
        self.not_before_ms = now_ms + RETRY_PAUSE_MS;
    }

    /// Forgets a permit that a worker did not accept.
    pub(crate) fn expire_permit(&mut self, worker: &str) {
        if let Some(permit) = self.allowed.get_mut(worker) {
            permit.expires_ms = 0;
        }
    }

    /// Forgets what is known of a worker that started a new life.
    pub(crate) fn forget_worker(&mut self, worker: &str) {
        self.allowed.remove(worker);
        self.denied.remove(worker);
    }
}
