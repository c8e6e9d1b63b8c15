//! Recorded ids of one shard's non-idempotent requests, for deduplication.

use std::collections::HashMap;

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::REQUEST_ID_RETENTION_MS;

use super::is_due;

/// Most requests in one republished record.
const RECORD_MAX_REQUESTS: usize = 500;

#[derive(Debug)]
struct Entry {
    at_unix_ms: u64,
    /// Time at which its record was last written; `None` if it is unknown.
    last_recorded: Option<Instant>,
}

/// Requests by id, each kept for [`REQUEST_ID_RETENTION_MS`].
#[derive(Debug, Default)]
pub(crate) struct Requests(HashMap<Request, Entry>);

impl Requests {
    /// Returns every request that has not expired, with its age in milliseconds.
    pub(crate) fn unexpired(&self, unix_ms: u64) -> Vec<(Request, u64)> {
        let age = |entry: &Entry| unix_ms.saturating_sub(entry.at_unix_ms);
        let entries = self.0.iter();
        entries
            .map(|(request, entry)| (request.clone(), age(entry)))
            .filter(|(_, age)| *age <= REQUEST_ID_RETENTION_MS)
            .collect()
    }

    pub(super) fn contains(&self, request: &Request) -> bool {
        self.0.contains_key(request)
    }

    pub(super) fn insert(
        &mut self,
        written: Option<Instant>,
        requests: &[Request],
        at_unix_ms: u64,
    ) {
        for request in requests {
            let entry = self.0.entry(request.clone()).or_insert(Entry {
                at_unix_ms,
                last_recorded: written,
            });
            entry.last_recorded = written;
        }
    }

    pub(super) fn expire(&mut self, unix_ms: u64) {
        self.0
            .retain(|_, entry| unix_ms.saturating_sub(entry.at_unix_ms) <= REQUEST_ID_RETENTION_MS);
    }

    pub(super) fn republish(
        &mut self,
        now: Instant,
        shard: &Id,
        epoch: Epoch,
        age_ms: u64,
    ) -> Vec<Cell> {
        let mut due: Vec<(u64, Request)> = Vec::new();
        for (request, entry) in &mut self.0 {
            if is_due(entry.last_recorded, now, age_ms) {
                entry.last_recorded = Some(now);
                due.push((entry.at_unix_ms, request.clone()));
            }
        }
        due.sort_unstable_by_key(|(at, _)| *at);
        // A record has one time for all its requests. The latest one keeps each id long enough.
        let records = due.chunks(RECORD_MAX_REQUESTS).map(|chunk| Cell::Intent {
            shard: shard.clone(),
            epoch,
            requests: chunk.iter().map(|(_, request)| request.clone()).collect(),
            at_unix_ms: chunk.last().map_or(0, |(at, _)| *at),
        });
        records.collect()
    }
}
