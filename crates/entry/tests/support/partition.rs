//! A partition of the in-memory log, whose records expire.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemaryworks_entry::port::{Append, Fault, Guard, Page, Record};

/// Upper bound of the records of an append in bytes.
const APPEND_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Upper bound of a record in bytes.
const RECORD_MAX_BYTES: usize = 256 * 1024;

/// A partition of the log.
#[derive(Default)]
pub(crate) struct Partition {
    /// Offset of the first retained record.
    first: u64,
    /// Retained records with the times of their appends.
    retained: Vec<(Instant, Record)>,
    /// Newest record of each key, in the order of the appends.
    newest: BTreeMap<Option<Arc<str>>, (u64, Record)>,
    /// Highest epoch of each producer.
    epochs: BTreeMap<Arc<str>, u64>,
}

impl Partition {
    /// Checks the size of an append and the epoch of its producer. The tests need no other conditions.
    pub(crate) fn check(&mut self, append: &Append) -> Result<(), Fault> {
        let sizes = append.records.iter().map(|record| record.value.len());
        if sizes.clone().sum::<usize>() > APPEND_MAX_BYTES || sizes.max() > Some(RECORD_MAX_BYTES) {
            return Err(Fault::Rejected("too large".into()));
        }
        if let Guard::Producer { name, epoch, .. } = &append.guard {
            let highest = self.epochs.entry(name.clone()).or_default();
            if epoch < highest {
                return Err(Fault::Fenced);
            }
            *highest = *epoch;
        }
        Ok(())
    }

    pub(crate) fn append(&mut self, records: Vec<Record>) {
        for record in records {
            let entry = (self.end(), record.clone());
            self.newest.insert(record.key.clone(), entry);
            self.retained.push((Instant::now(), record));
        }
    }

    /// Drops the records that are older than `retention`.
    pub(crate) fn expire(&mut self, retention: Option<Duration>) {
        let Some(retention) = retention else { return };
        let is_old = |(at, _): &&(Instant, Record)| at.elapsed() >= retention;
        let expired = self.retained.iter().take_while(is_old).count();
        self.retained.drain(..expired);
        self.first += expired as u64;
    }

    /// Returns the records from an offset on.
    pub(crate) fn read(&self, from: u64) -> Result<Page, Fault> {
        let Some(skipped) = from.checked_sub(self.first) else {
            return Err(Fault::Expired { first: self.first });
        };
        let records = self.retained.iter().skip(skipped as usize);
        Ok(Page {
            records: records.map(|(_, record)| record.clone()).collect(),
            first: self.first,
            next: self.end(),
            end: self.end(),
            bytes: 0,
        })
    }

    /// Returns the newest record of each key. A key whose newest value is empty is deleted.
    pub(crate) fn newest(&self) -> Page {
        let mut newest: Vec<&(u64, Record)> = self.newest.values().collect();
        newest.sort_by_key(|(offset, _)| std::cmp::Reverse(*offset));
        let records = newest.into_iter().map(|(_, record)| record);
        Page {
            records: records
                .filter(|record| !record.value.is_empty())
                .cloned()
                .collect(),
            first: self.first,
            next: self.end(),
            end: self.end(),
            bytes: 0,
        }
    }

    /// Returns the offset of the next record.
    pub(crate) fn end(&self) -> u64 {
        self.first + self.retained.len() as u64
    }
}
