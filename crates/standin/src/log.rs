//! Simulated append-only log of the platform.

mod limit;
mod stream;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemaryworks_core::record::Offset;
use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_node::clock;
use rosemaryworks_platform::http::{Find, Read, Refusal};
use rosemaryworks_platform::log::{Append, Page};
use tokio::sync::Notify;

use crate::settings;
use limit::Limit;
use stream::Stream;

/// Current behaviour of the log, changed by injected failures.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Behaviour {
    /// The log is unreachable: calls get no response and have no effect.
    pub down: bool,
    /// Delay of each call in milliseconds; half before the call takes effect and half after.
    pub delay_ms: u64,
    /// How many of the next appends take effect without a response.
    pub lose_answers: u32,
    /// How many of the next appends are rejected.
    pub reject: u32,
}

/// Result of an append as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The caller gets a response.
    Answered(Result<Offset, Refusal>),
    /// The caller gets no response. The append may have taken effect.
    Lost,
}

/// The log, a set of independent streams.
#[derive(Debug)]
pub struct Log {
    behaviour: Mutex<Behaviour>,
    history: Arc<Writer>,
    limit: Mutex<Limit>,
    retention_ms: u64,
    streams: Mutex<BTreeMap<Arc<str>, Arc<SharedStream>>>,
}

/// A stream with its own lock, and a wake-up for readers that wait for records.
#[derive(Debug, Default)]
struct SharedStream {
    appended: Notify,
    stream: Mutex<Stream>,
}

impl SharedStream {
    fn with<T>(&self, act: impl FnOnce(&mut Stream) -> T) -> T {
        act(&mut self.stream.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Log {
    /// Creates an empty log.
    #[must_use]
    pub fn new(settings: &settings::Log, history: Arc<Writer>) -> Self {
        Self {
            behaviour: Mutex::default(),
            history,
            limit: Mutex::new(Limit::new(settings.appends_per_second)),
            retention_ms: settings.retention_ms,
            streams: Mutex::default(),
        }
    }

    /// Reads or changes the behaviour.
    pub fn behaviour<T>(&self, act: impl FnOnce(&mut Behaviour) -> T) -> T {
        act(&mut self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    fn stream(&self, name: &Arc<str>) -> Arc<SharedStream> {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.entry(name.clone()).or_default().clone()
    }

    /// Appends records.
    pub async fn append(&self, append: Append) -> Outcome {
        if let Err(refusal) = self.admit().await {
            return Outcome::Answered(Err(refusal));
        }
        // The log may have become unreachable while the append waited for the rate limit.
        if self.behaviour(|behaviour| behaviour.down) {
            return Outcome::Lost;
        }
        let shared = self.stream(&append.stream);
        let now = clock::now();
        let offset = shared.with(|stream| {
            stream.expire(now, self.retention_ms);
            let (offset, is_new) = stream.append(now, &append);
            if is_new {
                self.record(offset, &append);
            }
            offset
        });
        shared.appended.notify_waiters();
        match self.behaviour(|behaviour| consume(&mut behaviour.lose_answers)) {
            true => Outcome::Lost,
            false => Outcome::Answered(Ok(offset)),
        }
    }

    /// Waits for the rate limit. Rejects the append if the wait would be too long.
    async fn admit(&self) -> Result<(), Refusal> {
        if self.behaviour(|behaviour| consume(&mut behaviour.reject)) {
            return Err(rejected("the log rejects this append"));
        }
        let wait_ms = {
            let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
            limit.reserve(clock::now())
        };
        let wait_ms = wait_ms.ok_or_else(|| rejected("too many appends"))?;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        Ok(())
    }

    fn record(&self, offset: Offset, append: &Append) {
        self.history.record(Event::Appended {
            stream: append.stream.clone(),
            id: append.id.clone(),
            offset,
            records: append.records.clone(),
        });
    }

    /// Returns the offset of the append with an identifier, if it took effect.
    #[must_use]
    pub fn find(&self, find: &Find) -> Option<Offset> {
        self.stream(&find.stream)
            .with(|stream| stream.find(&find.id))
    }

    /// Reads records. If there are none, waits for the next append up to the time in the request.
    ///
    /// # Errors
    ///
    /// Rejects an offset whose record has expired.
    pub async fn read(&self, read: &Read) -> Result<Page, Refusal> {
        let shared = self.stream(&read.stream);
        let deadline = clock::now() + read.wait_ms;
        loop {
            // Registered before the read, so that an append after the read wakes the reader.
            let appended = shared.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = shared.with(|stream| {
                stream.expire(clock::now(), self.retention_ms);
                stream.read(read.from, read.limit)
            })?;
            let left_ms = deadline.since(clock::now());
            if !page.entries.is_empty() || left_ms == 0 {
                return Ok(page);
            }
            let _ = tokio::time::timeout(Duration::from_millis(left_ms), appended).await;
        }
    }

    /// Returns the number of retained records of each stream.
    #[must_use]
    pub fn sizes(&self) -> BTreeMap<Arc<str>, usize> {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let size = |(name, shared): (&Arc<str>, &Arc<SharedStream>)| {
            (name.clone(), shared.with(|stream| stream.len()))
        };
        streams.iter().map(size).collect()
    }
}

/// Decrements a counter of injected failures. Returns whether it was above zero.
fn consume(count: &mut u32) -> bool {
    let remaining = *count > 0;
    *count = count.saturating_sub(1);
    remaining
}

fn rejected(reason: &str) -> Refusal {
    Refusal::Other {
        reason: reason.to_owned(),
    }
}
