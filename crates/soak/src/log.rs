//! A stand-in for the platform's log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_entry::port::{Appended, Fault, Guard, Record};
use tokio::sync::Notify;

/// Answers of a producer that are repeated.
const REMEMBERED: usize = 5;

/// Factor without a common divisor with 100, which spreads lost answers over the calls.
pub(crate) const SPREAD: u64 = 37;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, Appended)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Record>,
    producers: HashMap<Arc<str>, Producer>,
}

impl Producer {
    /// Tells what becomes of an append: it is the next one, it is repeated, or it fails.
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
        let known = self.answers.iter().find(|(number, _)| *number == sequence);
        if let Some((_, appended)) = known {
            return Ok(Some(*appended));
        }
        match self.last.is_some_and(|last| sequence != last + 1) {
            true => Err(Fault::OutOfSequence),
            false => Ok(None),
        }
    }

    fn note(&mut self, sequence: u64, appended: Appended) {
        self.last = Some(sequence);
        self.answers.push_back((sequence, appended));
        if self.answers.len() > REMEMBERED {
            self.answers.pop_front();
        }
    }
}

/// The log and its troubles.
#[derive(Default)]
pub struct Log {
    partitions: Mutex<HashMap<(Arc<str>, u64), Partition>>,
    changed: Notify,
    /// Time that each answer takes longer, in milliseconds.
    pub(crate) slow_ms: AtomicU64,
    /// Faults under way in which every call is refused.
    pub(crate) refuses: AtomicU32,
    /// Share of the appends whose answers get lost, in percent.
    pub(crate) loses_percent: AtomicU32,
    appends: AtomicU64,
}

impl Log {
    fn partitions(&self) -> MutexGuard<'_, HashMap<(Arc<str>, u64), Partition>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as long as answers take now. Returns whether calls are served.
    pub async fn admits(&self) -> bool {
        let slow_ms = self.slow_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        self.refuses.load(Ordering::Relaxed) == 0
    }

    /// Tells whether the answer to the next append gets lost.
    pub fn drops_response(&self) -> bool {
        let append = self.appends.fetch_add(1, Ordering::Relaxed);
        append * SPREAD % 100 < u64::from(self.loses_percent.load(Ordering::Relaxed))
    }

    /// Appends records. Returns the offset of the first one as well.
    ///
    /// # Errors
    ///
    /// Returns the fault of a guard that doesn't hold.
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
                    producer.note(*sequence, appended);
                }
            }
        }
        partition.records.extend(records);
        self.changed.notify_waiters();
        Ok((offset, appended))
    }

    /// Reads records from an offset on, and the end of the partition. Waits for a record.
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
            let all = self.all(topic, part);
            let end = all.len() as u64;
            let records: Vec<Record> = all.into_iter().skip(from as usize).collect();
            if !records.is_empty() || tokio::time::timeout_at(until, changed).await.is_err() {
                return (records, end);
            }
        }
    }

    /// Returns the newest record of each key with its offset, and the end of the partition.
    #[must_use]
    pub fn newest(&self, topic: &str, part: u64) -> (Vec<(u64, Record)>, u64) {
        let all = self.all(topic, part);
        let end = all.len() as u64;
        let mut newest: BTreeMap<Option<Arc<str>>, (u64, Record)> = BTreeMap::new();
        for (offset, record) in (0..).zip(all) {
            newest.insert(record.key.clone(), (offset, record));
        }
        let kept = newest.into_values();
        (kept.filter(|(_, r)| !r.value.is_empty()).collect(), end)
    }

    fn all(&self, topic: &str, part: u64) -> Vec<Record> {
        let partitions = self.partitions();
        let partition = partitions.get(&(Arc::from(topic), part));
        partition.map_or(Vec::new(), |partition| partition.records.clone())
    }
}
