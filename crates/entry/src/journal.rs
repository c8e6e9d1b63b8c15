//! Journals of an owned shard: write its progress and its snapshots with group commit, fenced by the
//! owner's epoch.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_node::clock;
use tokio::sync::Notify;

use rosemaryworks_workflow::Record as Entry;

use crate::codec;
use crate::events;
use crate::metrics::Metrics;
use crate::port::{Append, Fault, Guard, Record, Store, Stream};

/// Producer name that all owners of a shard share; the epoch distinguishes them.
pub(crate) const PRODUCER: &str = "owner";

/// Pause after an append, so that records that arrive meanwhile share the next one.
const APPEND_SPACING: Duration = Duration::from_millis(15);

/// Pause before an append that was refused or got no answer is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Upper bound of the records of an append.
const BATCH_MAX: usize = 2_000;

/// Upper bound of the size of an append in bytes. The log accepts 2 MiB.
const BATCH_MAX_BYTES: usize = 1024 * 1024;

/// The journal of one owned shard in one stream.
pub(crate) struct Journal {
    store: Arc<dyn Store>,
    stream: Stream,
    shard: u32,
    epoch: u64,
    metrics: Metrics,
    queue: Mutex<Vec<Record>>,
    added: Notify,
    /// Number of records that were queued and are not durable.
    unwritten: AtomicU64,
}

impl Journal {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        stream: Stream,
        shard: u32,
        epoch: u64,
        metrics: Metrics,
    ) -> Self {
        Self {
            store,
            stream,
            shard,
            epoch,
            metrics,
            queue: Mutex::default(),
            added: Notify::new(),
            unwritten: AtomicU64::new(0),
        }
    }

    fn queue(&self) -> MutexGuard<'_, Vec<Record>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a record of the shard for the next append.
    pub(crate) fn push(&self, entry: &Entry) {
        let value = codec::encode(entry);
        self.extend([Record { key: None, value }]);
    }

    /// Queues records for the next append.
    pub(crate) fn extend(&self, records: impl IntoIterator<Item = Record>) {
        let mut queue = self.queue();
        let before = queue.len();
        queue.extend(records);
        let count = queue.len() - before;
        self.unwritten.fetch_add(count as u64, Ordering::Relaxed);
        self.added.notify_one();
    }

    /// Returns whether all queued records are durable.
    pub(crate) fn is_written(&self) -> bool {
        self.unwritten.load(Ordering::Relaxed) == 0
    }

    /// Writes the queued records. Calls `written` with the total number of durable records. Returns
    /// when another owner has fenced the journal, or an append fails for good.
    pub(crate) async fn run(&self, written: impl Fn(u64)) -> Fault {
        let mut total = 0;
        let mut sequence = 0;
        loop {
            self.added.notified().await;
            loop {
                let batch = self.next_batch();
                if batch.is_empty() {
                    break;
                }
                let began = clock::now();
                if let Err(fault) = self.append(&batch, sequence).await {
                    return fault;
                }
                let count = batch.len() as u64;
                self.unwritten.fetch_sub(count, Ordering::Relaxed);
                let took_ms = clock::now().since(began);
                self.metrics
                    .append_seconds
                    .observe(took_ms as f64 / 1_000.0);
                sequence += 1;
                total += count;
                events::RECORDED.log(format_args!(
                    "stream={:?} shard={} epoch={} records={count} took_ms={took_ms}",
                    self.stream, self.shard, self.epoch
                ));
                written(total);
                tokio::time::sleep(APPEND_SPACING).await;
            }
        }
    }

    fn next_batch(&self) -> Vec<Record> {
        let mut queue = self.queue();
        let mut bytes = 0;
        let fits = |record: &&Record| {
            bytes += record.value.len();
            bytes <= BATCH_MAX_BYTES
        };
        let count = queue.iter().take(BATCH_MAX).take_while(fits).count();
        // A record is smaller than an append.
        let count = count.max(queue.len().min(1));
        queue.drain(..count).collect()
    }

    async fn append(&self, batch: &[Record], sequence: u64) -> Result<(), Fault> {
        loop {
            let append = Append {
                stream: self.stream,
                partition: self.shard,
                records: batch.to_vec(),
                guard: Guard::Producer {
                    name: PRODUCER.into(),
                    epoch: self.epoch,
                    sequence,
                },
            };
            match self.store.append(append).await {
                Ok(_) => return Ok(()),
                Err(Fault::Refused(_) | Fault::Unknown(_)) => {}
                Err(fault) => return Err(fault),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
