//! Deduplication: ids of non-idempotent requests that were dispatched.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use crate::outcome::Request;
use crate::time::Instant;
use crate::timing::REQUEST_ID_RETENTION_MS;

/// Most ids kept; further non-idempotent requests are rejected until some expire.
pub(crate) const REQUEST_IDS_MAX: usize = 1 << 20;

/// Most ids expired per call.
const EXPIRIES_PER_CALL: usize = 256;

/// A set of request ids that expire after [`REQUEST_ID_RETENTION_MS`].
///
/// Only a keyed 64-bit hash of an id is kept. A collision makes the outcome of the second request
/// `unknown`.
#[derive(Debug, Default)]
pub(crate) struct RequestIds {
    seed: RandomState,
    added: HashMap<u64, Instant>,
    order: VecDeque<(Instant, u64)>,
}

impl RequestIds {
    /// Creates the set from `requests`, each with its age in milliseconds.
    pub(crate) fn new(now: Instant, requests: &[(Request, u64)]) -> Self {
        let mut request_ids = Self::default();
        let mut unexpired: Vec<_> = requests
            .iter()
            .filter(|(_, age)| *age < REQUEST_ID_RETENTION_MS)
            .collect();
        unexpired.sort_by_key(|(_, age)| std::cmp::Reverse(*age));
        for (request, age) in unexpired {
            request_ids.insert(now - *age, request);
        }
        request_ids
    }

    /// Returns whether `request` is in the set.
    pub(crate) fn contains(&self, request: &Request) -> bool {
        self.added.contains_key(&self.seed.hash_one(request))
    }

    /// Returns whether the set is full.
    pub(crate) fn is_full(&self) -> bool {
        self.order.len() >= REQUEST_IDS_MAX
    }

    /// Adds `request` at `now`.
    pub(crate) fn insert(&mut self, now: Instant, request: &Request) {
        let hash = self.seed.hash_one(request);
        if self.added.insert(hash, now) != Some(now) {
            self.order.push_back((now, hash));
        }
    }

    /// Removes `request`, whose intent was never stored.
    pub(crate) fn remove(&mut self, request: &Request) {
        self.added.remove(&self.seed.hash_one(request));
    }

    /// Returns when the next id expires.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.order
            .front()
            .map(|(since, _)| *since + REQUEST_ID_RETENTION_MS)
    }

    /// Drops expired ids.
    pub(crate) fn expire(&mut self, now: Instant) {
        for _ in 0..EXPIRIES_PER_CALL {
            match self.order.front() {
                Some((since, _)) if now.since(*since) >= REQUEST_ID_RETENTION_MS => {
                    self.drop_oldest()
                }
                _ => return,
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some((since, hash)) = self.order.pop_front() else {
            return;
        };
        // A removed id may have been added again later.
        if self.added.get(&hash) == Some(&since) {
            self.added.remove(&hash);
        }
    }
}
