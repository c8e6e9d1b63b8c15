//! A stream of the log with retention and idempotent appends.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use rosemaryworks_core::record::Offset;
use rosemaryworks_core::time::Instant;
use rosemaryworks_platform::http::Refusal;
use rosemaryworks_platform::log::{Append, Entry, Page};

/// Records at consecutive offsets, starting with offset 1.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// First offset of each append by its identifier.
    appends: HashMap<Arc<str>, Offset>,
    /// Offset of the last expired record.
    expired: Offset,
    /// Retained records with the time of their append.
    records: VecDeque<(Instant, Arc<str>)>,
}

impl Stream {
    fn next(&self) -> Offset {
        self.expired + self.records.len() as u64 + 1
    }

    /// Appends records, unless an append with the same identifier already took effect. Returns the
    /// offset of the first record and whether the append is new.
    pub(super) fn append(&mut self, now: Instant, append: &Append) -> (Offset, bool) {
        if let Some(offset) = self.find(&append.id) {
            return (offset, false);
        }
        let offset = self.next();
        let records = append.records.iter().map(|record| (now, record.clone()));
        self.records.extend(records);
        self.appends.insert(append.id.clone(), offset);
        (offset, true)
    }

    pub(super) fn find(&self, id: &str) -> Option<Offset> {
        self.appends.get(id).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Drops records older than the retention period, and the identifiers of their appends.
    pub(super) fn expire(&mut self, now: Instant, retention_ms: u64) {
        let before = self.expired;
        while self
            .records
            .front()
            .is_some_and(|(at, _)| now.since(*at) > retention_ms)
        {
            self.records.pop_front();
            self.expired += 1;
        }
        if self.expired > before {
            let expired = self.expired;
            self.appends.retain(|_, offset| *offset > expired);
        }
    }

    pub(super) fn read(&self, from: Offset, limit: u32) -> Result<Page, Refusal> {
        let first = self.expired + 1;
        // Offset 0 means offset 1, that of the first record ever appended.
        let from = from.max(1);
        if from < first {
            return Err(Refusal::Expired { first });
        }
        let skip = usize::try_from(from - first).unwrap_or(usize::MAX);
        let records = self.records.iter().enumerate().skip(skip);
        let entry = |(index, (_, record)): (usize, &(Instant, Arc<str>))| Entry {
            offset: first + index as u64,
            record: record.clone(),
        };
        Ok(Page {
            entries: records.take(limit as usize).map(entry).collect(),
            first,
            next: self.next(),
        })
    }
}
