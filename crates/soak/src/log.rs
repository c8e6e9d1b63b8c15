//! Stand-in for the platform's log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_entry::port::{Appended, Fault, Guard, Record};
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
    records: Vec<Record>,
    producers: HashMap<Arc<str>, Producer>,
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
    appends: AtomicU64,
}

impl Log {
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
        let offset = partition.records.len() as u64;
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
        partition.records.extend(records);
        self.changed.notify_waiters();
        Ok((offset, appended))
    }

    /// Returns the records from an offset on and the end of the partition. Waits up to `wait` for a
    /// record.
    pub async fn read(
        &self,
        topic: &str,
        part: u64,
        from: u64,
        wait: Duration,
    ) -> (Vec<Record>, u64) {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let all = self.records(topic, part);
            let end = all.len() as u64;
            let records: Vec<Record> = all.into_iter().skip(from as usize).collect();
            if !records.is_empty() || tokio::time::timeout_at(until, changed).await.is_err() {
                return (records, end);
            }
        }
    }

    /// Returns the newest record of each key with its offset, and the end of the partition. A key
    /// whose newest value is empty is left out: it is deleted.
    #[must_use]
    pub fn newest(&self, topic: &str, part: u64) -> (Vec<(u64, Record)>, u64) {
        let all = self.records(topic, part);
        let end = all.len() as u64;
        let mut newest: BTreeMap<Option<Arc<str>>, (u64, Record)> = BTreeMap::new();
        for (offset, record) in (0..).zip(all) {
            newest.insert(record.key.clone(), (offset, record));
        }
        let records = newest.into_values();
        (
            records
                .filter(|(_, record)| !record.value.is_empty())
                .collect(),
            end,
        )
    }

    fn records(&self, topic: &str, part: u64) -> Vec<Record> {
        let partitions = self.partitions();
        let partition = partitions.get(&(Arc::from(topic), part));
        partition.map_or(Vec::new(), |partition| partition.records.clone())
    }
}
