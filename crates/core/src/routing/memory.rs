//! Remembered identities of non-idempotent requests.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use crate::outcome::Request;
use crate::time::Instant;
use crate::timing::REQUEST_ID_RETENTION_MS;

/// Identities remembered at most; further non-idempotent requests are refused until some expire.
pub(crate) const REMEMBERED_MAX: usize = 1 << 20;

/// Identities expired per call at most.
const EXPIRE_PER_CALL: usize = 256;

/// A set of request identities that expire after [`REQUEST_ID_RETENTION_MS`].
///
/// An identity is kept as a keyed 64-bit hash. Two identities with the same hash only cause an
/// answer `unknown` for the second.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    seed: RandomState,
    since: HashMap<u64, Instant>,
    order: VecDeque<(Instant, u64)>,
}

impl Memory {
    /// Creates a memory of `requests`, each with its age in milliseconds.
    pub(crate) fn new(now: Instant, requests: &[(Request, u64)]) -> Self {
        let mut memory = Self::default();
        let mut young: Vec<_> = requests
            .iter()
            .filter(|(_, age)| *age < REQUEST_ID_RETENTION_MS)
            .collect();
        young.sort_by_key(|(_, age)| std::cmp::Reverse(*age));
        for (request, age) in young {
            memory.remember(now - *age, request);
        }
        memory
    }

    /// Tells whether `request` is remembered.
    pub(crate) fn contains(&self, request: &Request) -> bool {
        self.since.contains_key(&self.seed.hash_one(request))
    }

    /// Tells whether no further identity can be remembered.
    pub(crate) fn is_full(&self) -> bool {
        self.order.len() >= REMEMBERED_MAX
    }

    /// Remembers `request` from `now` on.
    pub(crate) fn remember(&mut self, now: Instant, request: &Request) {
        let hash = self.seed.hash_one(request);
        if self.since.insert(hash, now) != Some(now) {
            self.order.push_back((now, hash));
        }
    }

    /// Forgets `request`, whose intent was never stored.
    pub(crate) fn forget(&mut self, request: &Request) {
        self.since.remove(&self.seed.hash_one(request));
    }

    /// Returns when the next identity is old enough to be dropped.
    pub(crate) fn first_due(&self) -> Option<Instant> {
        self.order
            .front()
            .map(|(since, _)| *since + REQUEST_ID_RETENTION_MS)
    }

    /// Drops identities that are old enough.
    pub(crate) fn expire(&mut self, now: Instant) {
        for _ in 0..EXPIRE_PER_CALL {
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
        // A forgotten identity may have been remembered again later.
        if self.since.get(&hash) == Some(&since) {
            self.since.remove(&hash);
        }
    }
}
