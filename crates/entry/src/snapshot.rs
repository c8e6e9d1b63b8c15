//! Snapshot of an owned shard in the log: writes what has changed since the last one.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Entry, Record as Fact};

use crate::codec;
use crate::events;
use crate::node::Node;
use crate::owner::Owner;
use crate::port::Record;

/// Snapshots within the retention time of the log. If an outage delays one, there is time left for the
/// next.
const SNAPSHOTS_PER_RETENTION: u64 = 3;

/// Time between two checks of whether a snapshot is due.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Upper bound of the size of a value in bytes; larger ones are split. The log accepts records of
/// 256 KiB.
const VALUE_MAX_BYTES: usize = 128 * 1024;

/// Values of a snapshot in the log, by key.
#[derive(Debug, Default)]
pub(crate) struct Stored {
    hashes: HashMap<Arc<str>, u64>,
}

impl Stored {
    /// Creates the state from records that were read from the log.
    pub(crate) fn new(records: &[Record]) -> Self {
        let hash = |record: &Record| Some((record.key.clone()?, hash(&record.value)));
        Self {
            hashes: records.iter().filter_map(hash).collect(),
        }
    }

    /// Returns the records that turn the stored snapshot into another one. Keys that are no longer
    /// needed are deleted last: what replaces them is stored before. Lets other tasks run after every
    /// [`codec::CHUNK_BYTES`].
    pub(crate) async fn update(&mut self, entries: &[Entry]) -> Vec<Record> {
        let mut hashes = HashMap::with_capacity(entries.len());
        let mut records = Vec::new();
        let mut bytes = 0;
        for entry in entries {
            if bytes >= codec::CHUNK_BYTES {
                bytes = 0;
                tokio::task::yield_now().await;
            }
            for (part, value) in encode(&entry.records).into_iter().enumerate() {
                let key: Arc<str> = match part {
                    0 => entry.key.clone(),
                    part => format!("{}/{part}", entry.key).into(),
                };
                bytes += value.len();
                let hash = hash(&value);
                if self.hashes.remove(&key) != Some(hash) {
                    let key = Some(key.clone());
                    records.push(Record { key, value });
                }
                hashes.insert(key, hash);
            }
        }
        let unused = std::mem::replace(&mut self.hashes, hashes).into_keys();
        records.extend(unused.map(|key| Record {
            key: Some(key),
            value: Vec::new(),
        }));
        records
    }
}

fn hash(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value);
    hasher.finish()
}

/// Encodes records one after the other, in several values if they are too large for one.
fn encode(records: &[Fact]) -> Vec<Vec<u8>> {
    let mut values: Vec<Vec<u8>> = vec![Vec::new()];
    for record in records {
        let bytes = codec::encode(record);
        match values.last_mut() {
            Some(value) if value.is_empty() || value.len() + bytes.len() <= VALUE_MAX_BYTES => {
                value.extend(bytes);
            }
            _ => values.push(bytes),
        }
    }
    values
}

impl Owner {
    /// Writes snapshots until ownership ends, the first one at once. None is written in an outage of
    /// the log or before the previous one is durable.
    pub(crate) async fn keep_snapshot(self: Arc<Self>, node: Arc<Node>) {
        let period_ms = node.settings.retention_ms / SNAPSHOTS_PER_RETENTION;
        let mut due_ms = 0;
        while !self.is_ended() {
            let now_ms = clock::now().0;
            let is_possible = self.snapshot_journal().is_written() && !node.log_is_down();
            if now_ms >= due_ms && is_possible {
                due_ms = now_ms + period_ms;
                self.write_snapshot().await;
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    /// Queues what has changed since the last snapshot.
    pub(crate) async fn write_snapshot(&self) {
        let mut stored = self.stored.lock().await;
        let entries = self.state().snapshot(clock::now().0);
        let records = stored.update(&entries).await;
        events::SNAPSHOT.log(format_args!(
            "shard={} epoch={} entries={} records={}",
            self.shard(),
            self.epoch(),
            entries.len(),
            records.len()
        ));
        self.snapshot_journal().extend(records);
    }
}
