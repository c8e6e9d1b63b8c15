//! Workers that were in the list of VMs recently.

use std::collections::HashMap;
use std::sync::Arc;

use rosemaryworks_core::target::Worker;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::LEASE_LAPSED_MS;
use rosemaryworks_platform::directory::Listing;

/// Milliseconds for which a worker is kept after it was last listed: every lease that it may have
/// held then has lapsed by that time.
const RETENTION_MS: u64 = 4 * LEASE_LAPSED_MS;

/// Workers listed recently, with the time at which each was listed last.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    polling_since: Option<Instant>,
    workers: HashMap<Arc<str>, (Worker, Instant)>,
}

impl Roster {
    /// Updates the roster from a list.
    pub(crate) fn update(&mut self, now: Instant, listing: &Listing) {
        self.polling_since.get_or_insert(now);
        for (worker, _) in &listing.workers {
            self.workers
                .insert(worker.name.clone(), (worker.clone(), now));
        }
        self.workers
            .retain(|_, (_, at)| now.since(*at) < RETENTION_MS);
    }

    /// Returns every worker listed recently, or `None` if this process has not polled the list long
    /// enough to know all workers that may still hold a lease.
    pub(crate) fn recent(&self, now: Instant) -> Option<Vec<Worker>> {
        let is_complete = self
            .polling_since
            .is_some_and(|since| now.since(since) > RETENTION_MS);
        is_complete.then(|| {
            self.workers
                .values()
                .map(|(worker, _)| worker.clone())
                .collect()
        })
    }
}
