//! Response cache for non-idempotent requests: a repeat of a completed request within the retry
//! window gets the cached response instead of a second execution.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::RETRY_WINDOW_MS;
use rosemaryworks_platform::instances::Response;

/// Service and identity of a request.
type Key = (Arc<str>, Request);

/// Cached responses, bounded in bytes and age.
#[derive(Debug)]
pub(crate) struct Cache {
    max_bytes: usize,
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    responses: HashMap<Key, Arc<Response>>,
    oldest_first: VecDeque<(Instant, Key)>,
    bytes: usize,
}

impl Cache {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            entries: Mutex::default(),
        }
    }

    /// Returns the cached response to a request.
    pub(crate) fn get(
        &self,
        now: Instant,
        service: &str,
        request: &Request,
    ) -> Option<Arc<Response>> {
        self.with(|entries| {
            entries.evict(now, self.max_bytes);
            entries
                .responses
                .get(&(service.into(), request.clone()))
                .cloned()
        })
    }

    /// Caches a response and evicts the oldest ones beyond the bound.
    pub(crate) fn insert(
        &self,
        now: Instant,
        service: &Arc<str>,
        request: &Request,
        response: &Arc<Response>,
    ) {
        let size = size_bytes(response);
        if size > self.max_bytes {
            return;
        }
        let key = (service.clone(), request.clone());
        self.with(|entries| {
            if entries
                .responses
                .insert(key.clone(), response.clone())
                .is_none()
            {
                entries.oldest_first.push_back((now, key));
                entries.bytes += size;
            }
            entries.evict(now, self.max_bytes);
        });
    }

    fn with<T>(&self, operation: impl FnOnce(&mut Entries) -> T) -> T {
        operation(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Entries {
    fn evict(&mut self, now: Instant, max_bytes: usize) {
        while let Some((inserted_at, _)) = self.oldest_first.front() {
            if self.bytes <= max_bytes && now.since(*inserted_at) < RETRY_WINDOW_MS {
                return;
            }
            let Some((_, key)) = self.oldest_first.pop_front() else {
                return;
            };
            if let Some(response) = self.responses.remove(&key) {
                self.bytes = self.bytes.saturating_sub(size_bytes(&response));
            }
        }
    }
}

/// Returns the bytes that a response counts for: its content and the overhead of its cache entry.
fn size_bytes(response: &Response) -> usize {
    const OVERHEAD_BYTES: usize = 512;
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len());
    response.body.len() + headers.sum::<usize>() + OVERHEAD_BYTES
}
