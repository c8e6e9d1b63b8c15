//! The platform's append-only log.

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

/// How the log behaves at the moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Behaviour {
    /// Calls are not answered and have no effect.
    pub down: bool,
    /// Milliseconds by which each call is delayed; half before it takes effect and half after.
    pub delay_ms: u64,
    /// Appends that take effect without an answer from now on.
    pub lose_answers: u32,
    /// Appends that are refused from now on.
    pub reject: u32,
}

/// What becomes of the answer to an append.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The append is answered.
    Answered(Result<Offset, Refusal>),
    /// The append took effect, and its answer is lost.
    Lost,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    behaviour: Mutex<Behaviour>,
    history: Arc<Writer>,
    limit: Mutex<Limit>,
    retention_ms: u64,
    streams: Mutex<BTreeMap<Arc<str>, Arc<Shard>>>,
}

/// A stream behind its own lock.
#[derive(Debug, Default)]
struct Shard {
    appended: Notify,
    stream: Mutex<Stream>,
}

impl Shard {
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

    fn shard(&self, name: &Arc<str>) -> Arc<Shard> {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.entry(name.clone()).or_default().clone()
    }

    /// Appends records.
    pub async fn append(&self, append: Append) -> Outcome {
        if let Err(refusal) = self.admit().await {
            return Outcome::Answered(Err(refusal));
        }
        // A log that went down meanwhile takes nothing.
        if self.behaviour(|behaviour| behaviour.down) {
            return Outcome::Lost;
        }
        let shard = self.shard(&append.stream);
        let now = clock::now();
        let offset = shard.with(|stream| {
            stream.expire(now, self.retention_ms);
            let (offset, fresh) = stream.append(now, &append);
            if fresh {
                self.note(offset, &append);
            }
            offset
        });
        shard.appended.notify_waiters();
        match self.behaviour(|behaviour| take(&mut behaviour.lose_answers)) {
            true => Outcome::Lost,
            false => Outcome::Answered(Ok(offset)),
        }
    }

    /// Waits for the limit of appends.
    async fn admit(&self) -> Result<(), Refusal> {
        if self.behaviour(|behaviour| take(&mut behaviour.reject)) {
            return Err(other("the log rejects this append"));
        }
        let wait_ms = {
            let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
            limit.reserve(clock::now())
        };
        let wait_ms = wait_ms.ok_or_else(|| other("too many appends"))?;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        Ok(())
    }

    fn note(&self, offset: Offset, append: &Append) {
        self.history.record(Event::Appended {
            stream: append.stream.clone(),
            id: append.id.clone(),
            offset,
            records: append.records.clone(),
        });
    }

    /// Returns the offset of an append.
    #[must_use]
    pub fn find(&self, find: &Find) -> Option<Offset> {
        self.shard(&find.stream)
            .with(|stream| stream.find(&find.id))
    }

    /// Reads records; waits for one if there are none.
    ///
    /// # Errors
    ///
    /// Refuses offsets that are no longer kept.
    pub async fn read(&self, read: &Read) -> Result<Page, Refusal> {
        let shard = self.shard(&read.stream);
        let deadline = clock::now() + read.wait_ms;
        loop {
            let appended = shard.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = shard.with(|stream| {
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

    /// Returns the number of records kept, by stream.
    #[must_use]
    pub fn sizes(&self) -> BTreeMap<Arc<str>, usize> {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let size = |(name, shard): (&Arc<str>, &Arc<Shard>)| {
            (name.clone(), shard.with(|stream| stream.len()))
        };
        streams.iter().map(size).collect()
    }
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn other(reason: &str) -> Refusal {
    Refusal::Other {
        reason: reason.to_owned(),
    }
}
