//! Which workers may run a step, as far as the advice service was asked.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time before its end at which a permit is no longer used, in milliseconds. Covers the order's way
/// to the worker.
const MARGIN_MS: u64 = 250;

/// Pause after a call that failed, in milliseconds.
const RETRY_MS: u64 = 100;

/// Pause after the first answer that led to no place, in milliseconds. Doubles with each further one.
const FRUITLESS_MS: u64 = 60;

/// Most doublings of [`FRUITLESS_MS`]; the last pause is shorter than the validity of permits.
const DOUBLINGS_MAX: u32 = 4;

/// Answers of the advice service for one step. Which workers are good doesn't change; permits lapse.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    good: BTreeMap<Arc<str>, Permit>,
    bad: BTreeSet<Arc<str>>,
    asked: Option<Vec<Arc<str>>>,
    not_before_ms: u64,
    /// Answers since a task was last placed.
    answers: u32,
}

/// Permit to run a step on a worker.
#[derive(Clone, Debug)]
struct Permit {
    text: Arc<str>,
    until_ms: u64,
}

impl Advice {
    /// Returns the permit for a worker if it is valid.
    pub(crate) fn permit(&self, worker: &str, now_ms: u64) -> Option<&Arc<str>> {
        let permit = self.good.get(worker)?;
        (now_ms < permit.until_ms).then_some(&permit.text)
    }

    /// Tells whether the step may not run on a worker.
    pub(crate) fn is_bad(&self, worker: &str) -> bool {
        self.bad.contains(worker)
    }

    /// Tells whether the step may run on a worker, with a permit or once it is renewed.
    pub(crate) fn is_good(&self, worker: &str) -> bool {
        self.good.contains_key(worker)
    }

    /// Tells whether any worker is known to be good.
    pub(crate) fn knows_good(&self) -> bool {
        !self.good.is_empty()
    }

    /// Tells whether a question may be asked now.
    pub(crate) fn may_ask(&self, now_ms: u64) -> bool {
        self.asked.is_none() && now_ms >= self.not_before_ms
    }

    /// Tells whether a question is on its way.
    pub(crate) fn is_asking(&self) -> bool {
        self.asked.is_some()
    }

    /// Notes the workers of a question.
    pub(crate) fn ask(&mut self, workers: Vec<Arc<str>>) {
        self.asked = Some(workers);
    }

    /// Takes the answer. Returns how many workers were asked about and how many are good.
    pub(crate) fn answered(
        &mut self,
        good: Vec<(Arc<str>, Arc<str>)>,
        until_ms: u64,
        now_ms: u64,
    ) -> (usize, usize) {
        self.not_before_ms = now_ms + (FRUITLESS_MS << self.answers.min(DOUBLINGS_MAX));
        self.answers += 1;
        let asked = self.asked.take().unwrap_or_default();
        let counts = (asked.len(), good.len());
        for (worker, text) in good {
            let until_ms = until_ms.saturating_sub(MARGIN_MS);
            self.good.insert(worker, Permit { text, until_ms });
        }
        for worker in asked {
            if !self.good.contains_key(&worker) {
                self.bad.insert(worker);
            }
        }
        counts
    }

    /// Notes that a task was placed.
    pub(crate) fn placed(&mut self) {
        self.answers = 0;
        self.not_before_ms = 0;
    }

    /// Notes that a question got no answer.
    pub(crate) fn unanswered(&mut self, now_ms: u64) {
        self.asked = None;
        self.not_before_ms = now_ms + RETRY_MS;
    }

    /// Forgets a permit that a worker did not accept.
    pub(crate) fn forget(&mut self, worker: &str) {
        if let Some(permit) = self.good.get_mut(worker) {
            permit.until_ms = 0;
        }
    }

    /// Forgets what is known of a worker that started a new life.
    pub(crate) fn reborn(&mut self, worker: &str) {
        self.good.remove(worker);
        self.bad.remove(worker);
    }
}
