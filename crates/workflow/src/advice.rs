//! Answers of the advice service for one step: allowed and denied workers, and permits.

use std::sync::Arc;

use foldhash::{HashMap, HashSet};

/// Time before its expiry at which a permit is no longer used, in milliseconds. Covers the
/// transmission of the start request.
const EXPIRY_MARGIN_MS: u64 = 250;

/// Pause after a failed request, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

/// Pause after the first request that was refused because too many were queued, in milliseconds.
/// Doubles with each further one.
const BUSY_PAUSE_MS: u64 = 100;

/// Maximum number of doublings of [`BUSY_PAUSE_MS`].
const BUSY_DOUBLINGS_MAX: u32 = 2;

/// Pause after the first answer that led to no placement, in milliseconds. Doubles with each
/// further one.
const FRUITLESS_PAUSE_MS: u64 = 60;

/// Maximum number of doublings of [`FRUITLESS_PAUSE_MS`]; the longest pause stays below the
/// validity of permits.
const DOUBLINGS_MAX: u32 = 4;

/// Minimum time between two searches for workers to ask about, of which the first found none, in
/// milliseconds. A search visits every worker.
const SEARCH_PERIOD_MS: u64 = 20;

/// What is known about a worker for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Standing {
    /// The step may run on it, but its permit has expired.
    Allowed,
    /// The step must not run on it.
    Denied,
    /// The step may run on it, and its permit is valid.
    Permitted,
    /// The service has not been asked.
    Undecided,
}

/// Answers of the advice service for one step. A decision about an incarnation of a worker is
/// final, but its permit expires.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    allowed: HashMap<Arc<str>, Permit>,
    denied: HashSet<Arc<str>>,
    /// Workers of the request that waits for its answer.
    requested: Option<Vec<Arc<str>>>,
    /// Time on the owner's clock before which no request is sent.
    not_before_ms: u64,
    /// Answers received since a task of the step was last placed.
    answers_since_placement: u32,
    /// Requests refused since the last answer because too many were queued.
    refusals: u32,
}

/// Permit to run the step on one worker.
#[derive(Clone, Debug)]
struct Permit {
    text: Arc<str>,
    expires_ms: u64,
}

impl Advice {
    /// Returns the permit for a worker if it is still valid.
    pub(crate) fn permit(&self, worker: &str, now_ms: u64) -> Option<&Arc<str>> {
        let permit = self.allowed.get(worker)?;
        (now_ms < permit.expires_ms).then_some(&permit.text)
    }

    /// Returns the workers with a valid permit.
    pub(crate) fn permitted(&self, now_ms: u64) -> impl Iterator<Item = &Arc<str>> {
        let valid = self
            .allowed
            .iter()
            .filter(move |(_, permit)| now_ms < permit.expires_ms);
        valid.map(|(worker, _)| worker)
    }

    /// Returns what is known about a worker.
    pub(crate) fn standing(&self, worker: &str, now_ms: u64) -> Standing {
        match self.allowed.get(worker) {
            Some(permit) if now_ms < permit.expires_ms => Standing::Permitted,
            Some(_) => Standing::Allowed,
            None if self.denied.contains(worker) => Standing::Denied,
            None => Standing::Undecided,
        }
    }

    /// Returns whether the step must not run on a worker.
    pub(crate) fn is_denied(&self, worker: &str) -> bool {
        self.denied.contains(worker)
    }

    /// Returns whether the step may run on a worker, even if its permit has expired and must be
    /// renewed.
    pub(crate) fn is_allowed(&self, worker: &str) -> bool {
        self.allowed.contains_key(worker)
    }

    /// Returns whether at least one worker is allowed.
    pub(crate) fn has_allowed_worker(&self) -> bool {
        !self.allowed.is_empty()
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn may_request(&self, now_ms: u64) -> bool {
        self.requested.is_none() && now_ms >= self.not_before_ms
    }

    /// Returns whether a request is waiting for its answer.
    pub(crate) fn is_request_pending(&self) -> bool {
        self.requested.is_some()
    }

    /// Records the workers of a request that was sent.
    pub(crate) fn request_sent(&mut self, workers: Vec<Arc<str>>) {
        self.requested = Some(workers);
    }

    /// Applies an answer. Returns the number of requested and of allowed workers.
    pub(crate) fn answered(
        &mut self,
        allowed: Vec<(Arc<str>, Arc<str>)>,
        expires_ms: u64,
        now_ms: u64,
    ) -> (usize, usize) {
        self.not_before_ms =
            now_ms + (FRUITLESS_PAUSE_MS << self.answers_since_placement.min(DOUBLINGS_MAX));
        self.answers_since_placement += 1;
        self.refusals = 0;
        let requested = self.requested.take().unwrap_or_default();
        let counts = (requested.len(), allowed.len());
        self.decided(requested, allowed, expires_ms);
        counts
    }

    /// Applies an answer to a request about `requested` that arrives after the request counts as
    /// failed. Another request may be under way.
    pub(crate) fn answered_late(
        &mut self,
        requested: Vec<Arc<str>>,
        allowed: Vec<(Arc<str>, Arc<str>)>,
        expires_ms: u64,
    ) {
        self.decided(requested, allowed, expires_ms);
    }

    fn decided(
        &mut self,
        requested: Vec<Arc<str>>,
        allowed: Vec<(Arc<str>, Arc<str>)>,
        expires_ms: u64,
    ) {
        for (worker, text) in allowed {
            let expires_ms = expires_ms.saturating_sub(EXPIRY_MARGIN_MS);
            let known = self.allowed.get(&worker);
            if known.is_none_or(|permit| permit.expires_ms < expires_ms) {
                self.allowed.insert(worker, Permit { text, expires_ms });
            }
        }
        for worker in requested {
            if !self.allowed.contains_key(&worker) {
                self.denied.insert(worker);
            }
        }
    }

    /// Resets the pause after a task was placed.
    pub(crate) fn placed(&mut self) {
        self.answers_since_placement = 0;
        self.not_before_ms = 0;
    }

    /// Records that no worker was found to ask about.
    pub(crate) fn searched_in_vain(&mut self, now_ms: u64) {
        self.not_before_ms = now_ms + SEARCH_PERIOD_MS;
    }

    /// Records a request that got no answer.
    pub(crate) fn request_failed(&mut self, now_ms: u64) {
        self.requested = None;
        self.not_before_ms = now_ms + RETRY_PAUSE_MS;
    }

    /// Records a request that was refused because too many were queued. What is known stays.
    pub(crate) fn request_refused(&mut self, now_ms: u64) {
        self.requested = None;
        let doublings = self.refusals.min(BUSY_DOUBLINGS_MAX);
        self.not_before_ms = now_ms + (BUSY_PAUSE_MS << doublings);
        self.refusals += 1;
    }

    /// Marks a permit as expired after a worker rejected it.
    pub(crate) fn expire_permit(&mut self, worker: &str) {
        if let Some(permit) = self.allowed.get_mut(worker) {
            permit.expires_ms = 0;
        }
    }

    /// Removes all answers about a worker that began a new incarnation.
    pub(crate) fn forget_worker(&mut self, worker: &str) {
        self.allowed.remove(worker);
        self.denied.remove(worker);
    }
}
