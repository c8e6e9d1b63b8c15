//! Access to the in-memory log that can be closed for one process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rosemaryworks_entry::Config;
use rosemaryworks_entry::port::{
    Answer, Append, Appended, Changes, Fault, Page, Store, Stream, WorkerChange,
};

use super::Log;

/// Access of one process to the log.
pub(crate) struct Door {
    pub(crate) log: Arc<Log>,
    /// Whether the log turns this process away.
    pub(crate) closed: AtomicBool,
}

impl Door {
    fn pass<T: Send + 'static>(&self, call: impl FnOnce(&Log) -> Answer<T>) -> Answer<T> {
        match self.closed.load(Ordering::Relaxed) {
            true => Box::pin(async { Err(Fault::Refused("turned away".into())) }),
            false => call(&self.log),
        }
    }
}

impl Store for Door {
    fn append(&self, append: Append) -> Answer<Appended> {
        self.pass(|log| log.append(append))
    }

    fn read(&self, stream: Stream, partition: u32, from: u64, wait_ms: u64) -> Answer<Page> {
        self.pass(|log| log.read(stream, partition, from, wait_ms))
    }

    fn newest(&self, stream: Stream, partition: u32) -> Answer<Page> {
        self.pass(|log| log.newest(stream, partition))
    }

    fn configuration(&self, since: Option<u64>, wait_ms: u64) -> Answer<Changes<Arc<Config>>> {
        self.pass(|log| log.configuration(since, wait_ms))
    }

    fn workers(&self, since: Option<u64>) -> Answer<Changes<WorkerChange>> {
        self.pass(|log| log.workers(since))
    }
}
