//! Stand-in for the platform's log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rosemaryworks_entry::port::{Appended, Fault, Guard, Page, Record};
use tokio::sync::Notify;

/// Number of append results kept per producer to answer retries.
const RESULTS_KEPT: usize = 5;

/// Multiplier coprime to 100, which spreads dropped responses evenly over the calls.
pub(crate) const DROP_STRIDE: u64 = 37;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last_sequence: Option<u64>,
    results: VecDeque<(u64, Appended)>,
}

#[derive(Default)]
struct Partition {
    /// Offset of the first retained record.
    first: u64,
    /// Retained records with the times of their appends.
    retained: VecDeque<(Instant, Record)>,
    /// Newest record of each key with its offset.
    newest: BTreeMap<Arc<str>, (u64, Record)>,
    producers: HashMap<Arc<str>, Producer>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.retained.len() as u64
    }

    fn append(&mut self, records: Vec<Record>) {
        for record in records {
            if let Some(key) = record.key.clone() {
                self.newest.insert(key, (self.end(), record.clone()));
            }
            self.retained.push_back((Instant::now(), record));
        }
    }

    fn expire(&mut self, retention: Duration) {
        let is_old = |(at, _): &(Instant, Record)| at.elapsed() >= retention;
        while self.retained.front().is_some_and(is_old) {
            self.retained.pop_front();
            self.first += 1;
        }
    }

    fn read(&self, from: u64) -> Result<Page, Fault> {
        let skipped = from.checked_sub(self.first);
        let skipped = skipped.ok_or(Fault::Expired { first: self.first })?;
        let records = self.retained.iter().skip(skipped as usize);
        Ok(Page {
            records: records.map(|(_, record)| record.clone()).collect(),
            first: self.first,
            next: self.end(),
            end: self.end(),
            bytes: 0,
        })
    }
}

impl Producer {
    /// Checks an append. Returns the previous result of a retry, or `None` if the records are to be
    /// appended.
    fn check(&mut self, epoch: u64, sequence: u64, empty: bool) -> Result<Option<Appended>, Fault> {
        if epoch < self.epoch {
            return Err(Fault::Fenced);
        }
        if epoch > self.epoch {
            *self = Self {
                epoch,
                ..Self::default()
            };
        }
        if empty {
            return Ok(None);
        }
        let known = self.results.iter().find(|(number, _)| *number == sequence);
        if let Some((_, appended)) = known {
            return Ok(Some(*appended));
        }
        match self.last_sequence.is_some_and(|last| sequence != last + 1) {
            true => Err(Fault::OutOfSequence),
            false => Ok(None),
        }
    }

    fn record(&mut self, sequence: u64, appended: Appended) {
        self.last_sequence = Some(sequence);
        self.results.push_back((sequence, appended));
        if self.results.len() > RESULTS_KEPT {
            self.results.pop_front();
        }
    }
}

/// The log with its injected faults.
#[derive(Default)]
pub struct Log {
    /// Time after which records expire. The newest record of each key is retained in any case.
    retention: Duration,
    partitions: Mutex<HashMap<(Arc<str>, u64), Partition>>,
    changed: Notify,
    /// Delay of each call in milliseconds.
    pub(crate) delay_ms: AtomicU64,
    /// Number of active faults that reject every call.
    pub(crate) rejecting_faults: AtomicU32,
    /// Percentage of appends whose responses are dropped.
    pub(crate) dropped_percent: AtomicU32,
    /// The process that took over a shard last.
    pub(crate) last_claimant: AtomicUsize,
    /// The process that wrote to the journal of a shard last.
    pub(crate) last_writer: AtomicUsize,
    appends: AtomicU64,
}

impl Log {
    /// Creates a log whose records expire after `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    fn partitions(&self) -> MutexGuard<'_, HashMap<(Arc<str>, u64), Partition>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected delay. Returns whether calls are served.
    pub async fn admits(&self) -> bool {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        self.rejecting_faults.load(Ordering::Relaxed) == 0
    }

    /// Returns whether the response to the next append is to be dropped.
    pub fn drops_response(&self) -> bool {
        let append = self.appends.fetch_add(1, Ordering::Relaxed);
        append * DROP_STRIDE % 100 < u64::from(self.dropped_percent.load(Ordering::Relaxed))
    }

    /// Appends records. Returns the offset of the first one and the end of the partition.
    ///
    /// # Errors
    ///
    /// Returns a fault if the guard's condition isn't met.
    pub fn append(
        &self,
        topic: &str,
        part: u64,
        records: Vec<Record>,
        guard: &Guard,
    ) -> Result<(u64, Appended), Fault> {
        let mut partitions = self.partitions();
        let partition = partitions.entry((topic.into(), part)).or_default();
        let offset = partition.end();
        let appended = Appended {
            end: offset + records.len() as u64,
        };
        match guard {
            Guard::EndOffset(at) if *at != offset => {
                return Err(Fault::OffsetMismatch { end: offset });
            }
            Guard::EndOffset(_) | Guard::Unconditional => {}
            Guard::Producer {
                name,
                epoch,
                sequence,
            } => {
                let producer = partition.producers.entry(name.clone()).or_default();
                if let Some(known) = producer.check(*epoch, *sequence, records.is_empty())? {
                    return Ok((known.end.saturating_sub(records.len() as u64), known));
                }
                if !records.is_empty() {
                    producer.record(*sequence, appended);
                }
            }
        }
        partition.append(records);
        self.changed.notify_waiters();
        Ok((offset, appended))
    }

    /// Returns the records from an offset on. Waits up to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns a fault if the records at the offset have expired.
    pub async fn read(
        &self,
        topic: &str,
        part: u64,
        from: u64,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let page = {
                let mut partitions = self.partitions();
                let partition = partitions.entry((topic.into(), part)).or_default();
                partition.expire(self.retention);
                partition.read(from)?
            };
            if !page.records.is_empty() || tokio::time::timeout_at(until, changed).await.is_err() {
                return Ok(page);
            }
        }
    }

    /// Returns the newest record of each key with its offset, and the end of the partition. A key
    /// whose newest value is empty is left out: it is deleted.
    #[must_use]
    pub fn newest(&self, topic: &str, part: u64) -> (Vec<(u64, Record)>, u64) {
        let mut partitions = self.partitions();
        let partition = partitions.entry((topic.into(), part)).or_default();
        let newest = partition.newest.values();
        let present = newest.filter(|(_, record)| !record.value.is_empty());
        (present.cloned().collect(), partition.end())
    }
}
