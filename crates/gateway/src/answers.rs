//! Completed answers of non-idempotent requests, kept for a short time to answer repeats.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::RETRY_WINDOW_MS;
use rosemaryworks_platform::instances::Response;

/// Service and identity of a request.
type Id = (Arc<str>, Request);

/// Kept answers, bounded in bytes and age.
#[derive(Debug)]
pub(crate) struct Answers {
    max_bytes: usize,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    answers: HashMap<Id, Arc<Response>>,
    order: VecDeque<(Instant, Id)>,
    bytes: usize,
}

impl Answers {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            kept: Mutex::default(),
        }
    }

    /// Returns the kept answer of a request.
    pub(crate) fn get(
        &self,
        now: Instant,
        service: &str,
        request: &Request,
    ) -> Option<Arc<Response>> {
        self.with(|kept| {
            kept.shrink(now, self.max_bytes);
            kept.answers
                .get(&(service.into(), request.clone()))
                .cloned()
        })
    }

    /// Keeps an answer, and drops the oldest ones beyond the bound.
    pub(crate) fn put(
        &self,
        now: Instant,
        service: &Arc<str>,
        request: &Request,
        answer: &Arc<Response>,
    ) {
        let size = size(answer);
        if size > self.max_bytes {
            return;
        }
        let id = (service.clone(), request.clone());
        self.with(|kept| {
            if kept.answers.insert(id.clone(), answer.clone()).is_none() {
                kept.order.push_back((now, id));
                kept.bytes += size;
            }
            kept.shrink(now, self.max_bytes);
        });
    }

    fn with<T>(&self, act: impl FnOnce(&mut Kept) -> T) -> T {
        act(&mut self.kept.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Kept {
    fn shrink(&mut self, now: Instant, max_bytes: usize) {
        while let Some((at, _)) = self.order.front() {
            if self.bytes <= max_bytes && now.since(*at) < RETRY_WINDOW_MS {
                return;
            }
            let Some((_, id)) = self.order.pop_front() else {
                return;
            };
            if let Some(answer) = self.answers.remove(&id) {
                self.bytes = self.bytes.saturating_sub(size(&answer));
            }
        }
    }
}

/// Bytes that an answer is counted with: its content and the bookkeeping around it.
fn size(answer: &Response) -> usize {
    const OVERHEAD_BYTES: usize = 512;
    let headers = answer
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len());
    answer.body.len() + headers.sum::<usize>() + OVERHEAD_BYTES
}
