//! Counters of work in progress, so that a graceful stop can wait for it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemaryworks_core::time::Instant;

/// Number of work items in progress.
#[derive(Debug, Default)]
pub(crate) struct Counter(Arc<AtomicUsize>);

impl Counter {
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    pub(crate) fn enter(&self) -> Guard {
        self.0.fetch_add(1, Ordering::SeqCst);
        Guard(self.0.clone())
    }
}

/// Counts one work item until it is dropped.
pub(crate) struct Guard(Arc<AtomicUsize>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Number of requests for each deadline.
type ByDeadline = BTreeMap<Instant, usize>;

/// Requests in flight by deadline.
#[derive(Debug, Default)]
pub(crate) struct InFlight(Arc<Mutex<ByDeadline>>);

impl InFlight {
    pub(crate) fn get(&self) -> usize {
        lock(&self.0).values().sum()
    }

    /// Returns the number of requests whose deadlines have not passed.
    pub(crate) fn before_deadline(&self, now: Instant) -> usize {
        lock(&self.0).range(now..).map(|(_, count)| count).sum()
    }

    pub(crate) fn enter(&self, deadline: Instant) -> RequestGuard {
        *lock(&self.0).entry(deadline).or_default() += 1;
        RequestGuard {
            requests: self.0.clone(),
            deadline,
        }
    }
}

/// Counts one request until it is dropped.
pub(crate) struct RequestGuard {
    requests: Arc<Mutex<ByDeadline>>,
    deadline: Instant,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut requests = lock(&self.requests);
        if let Some(count) = requests.get_mut(&self.deadline) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&self.deadline);
            }
        }
    }
}

fn lock(requests: &Mutex<ByDeadline>) -> MutexGuard<'_, ByDeadline> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}
