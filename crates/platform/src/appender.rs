//! Group commit: batches records into appends to the log, one in flight at a time.
//!
//! An append whose response was lost is looked up by its id before it is retried. A delayed append
//! may still take effect after the retry, so applying a record twice must be harmless.

mod batch;
mod queue;

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::record::Offset;
use tokio::sync::{mpsc, oneshot};

use crate::failure::{Failure, Fault};
use crate::health::Health;
use crate::log::Log;
use queue::Item;

/// Maximum number of records in one append.
pub const BATCH_MAX_RECORDS: usize = 1_000;

/// Appends records to one stream. Clones share the same queue.
#[derive(Clone, Debug)]
pub struct Appender {
    items: mpsc::UnboundedSender<Item>,
    stream: Arc<str>,
}

impl Appender {
    /// Starts an appender for `stream`. The ids of its appends contain `node` and `incarnation`,
    /// which makes them unique. Must be called within a tokio runtime.
    #[must_use]
    pub fn start(
        log: Arc<dyn Log>,
        health: Health,
        stream: &str,
        node: &str,
        incarnation: u64,
    ) -> Self {
        let (items, receiver) = mpsc::unbounded_channel();
        let stream: Arc<str> = stream.into();
        let id_prefix = format!("{node}-{incarnation}-{stream}");
        let destination = batch::Destination {
            log,
            health,
            stream: stream.clone(),
            id_prefix,
        };
        tokio::spawn(batch::run(destination, receiver));
        Self { items, stream }
    }

    /// Appends one record of JSON text and returns its offset.
    ///
    /// # Errors
    ///
    /// If the record is not written within `timeout`, returns [`Fault::Unreached`] and never writes
    /// it, or [`Fault::Uncertain`] if it was sent to the log and may appear later.
    pub async fn append(
        &self,
        record: String,
        timeout: Duration,
    ) -> Result<Offset, Report<Failure>> {
        let (reply, receiver) = oneshot::channel();
        let deadline = tokio::time::Instant::now() + timeout;
        let item = Item {
            record: record.into(),
            deadline,
            reply: Some(reply),
            uncertain: false,
        };
        let stopped = || self.failure(Fault::Unreached("appender has ended".to_owned()));
        self.items.send(item).map_err(|_| stopped())?;
        match receiver.await {
            Ok(Ok(offset)) => Ok(offset),
            Ok(Err(fault)) => Err(self.failure(fault)),
            Err(_) => Err(self.failure(Fault::Uncertain("appender has ended".to_owned()))),
        }
    }

    fn failure(&self, fault: Fault) -> Report<Failure> {
        Report::new(Failure::new(
            &format!("append to {}", self.stream),
            "log",
            fault,
        ))
    }
}
