//! Access to the in-memory log that can be closed for one process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rosemaryworks_entry::Config;
use rosemaryworks_entry::port::{
    Answer, Append, Appended, Changes, Fault, Page, Store, Stream, WorkerChange,
};
use rosemaryworks_entry::revisions::Read;

use super::Log;

/// Access of one process to the log.
pub(crate) struct Door {
    pub(crate) log: Arc<Log>,
    /// Whether the log turns this process away.
    pub(crate) closed: AtomicBool,
    /// Whether the log turns away this process's reads of the claims only.
    pub(crate) claims_closed: AtomicBool,
    /// Whether the log turns away this process's reads of the configuration only.
    pub(crate) configuration_closed: AtomicBool,
    /// Whether the answer of the next read of the claims is lost.
    pub(crate) lose_claims_read: AtomicBool,
    /// Whether calls of this process get no answer.
    pub(crate) silent: AtomicBool,
}

/// Time-out of a call of the log.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

impl Door {
    fn pass<T: Send + 'static>(&self, call: impl FnOnce(&Log) -> Answer<T>) -> Answer<T> {
        if self.silent.load(Ordering::Relaxed) {
            return Box::pin(async {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(Fault::Unknown("no response in time".into()))
            });
        }
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
        if stream == Stream::Claims && self.claims_closed.load(Ordering::Relaxed) {
            return Box::pin(async { Err(Fault::Refused("turned away".into())) });
        }
        if stream == Stream::Claims && self.lose_claims_read.swap(false, Ordering::Relaxed) {
            return Box::pin(async {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(Fault::Unknown("no response in time".into()))
            });
        }
        self.pass(|log| log.read(stream, partition, from, wait_ms))
    }

    fn newest(&self, stream: Stream, partition: u32) -> Answer<Page> {
        self.pass(|log| log.newest(stream, partition))
    }

    fn configuration(&self, read: Read) -> Answer<Changes<Arc<Config>>> {
        if self.configuration_closed.load(Ordering::Relaxed) {
            return Box::pin(async { Err(Fault::Refused("turned away".into())) });
        }
        self.pass(|log| log.configuration(read))
    }

    fn workers(&self, since: Option<u64>) -> Answer<Changes<WorkerChange>> {
        self.pass(|log| log.workers(since))
    }
}
