//! In-memory log with fault injection.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::record::Offset;
use rosemaryworks_platform::log::{Append, Entry, Page};
use rosemaryworks_platform::{Answer, Failure, Fault, Log};

#[derive(Default)]
struct Streams {
    records: HashMap<String, Vec<Arc<str>>>,
    appends: HashMap<String, Offset>,
    /// Offsets of the first record kept.
    first: HashMap<String, Offset>,
}

/// Clones share the same streams.
#[derive(Clone, Default)]
pub(crate) struct MemoryLog {
    inner: Arc<Inner>,
    /// Whether reads that wait for records are held back. Shared with the clones.
    reads_held: Arc<AtomicBool>,
}

#[derive(Default)]
struct Inner {
    streams: Mutex<Streams>,
    down: AtomicBool,
    lost_answers: AtomicUsize,
    delay_ms: AtomicUsize,
}

impl MemoryLog {
    /// Returns access to the same streams for one process, whose reads can be held back.
    pub(crate) fn for_process(&self) -> Self {
        Self {
            inner: self.inner.clone(),
            reads_held: Arc::default(),
        }
    }

    /// Holds back the reads that wait for records, or lets them go on.
    pub(crate) fn hold_reads(&self, held: bool) {
        self.reads_held.store(held, Ordering::SeqCst);
    }

    /// Makes every call fail, or succeed again.
    pub(crate) fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::SeqCst);
    }

    /// Delays every append.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as usize;
        self.inner.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Loses the replies to the next `count` appends, which take effect.
    pub(crate) fn lose_answers(&self, count: usize) {
        self.inner.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Expires all records before offset `before`.
    pub(crate) fn expire(&self, stream: &str, before: Offset) {
        let mut streams = self.inner.streams.lock().unwrap();
        streams.first.insert(stream.to_owned(), before);
    }

    /// Returns the offset of the next record.
    pub(crate) fn next(&self, stream: &str) -> Offset {
        self.page(stream, 1, 0).next
    }

    /// Appends a record, bypassing the injected faults.
    pub(crate) fn push(&self, stream: &str, record: &impl serde::Serialize) {
        let record = serde_json::to_string(record).unwrap();
        let mut streams = self.inner.streams.lock().unwrap();
        let records = streams.records.entry(stream.to_owned()).or_default();
        records.push(record.into());
    }

    /// Returns the records of a stream that contain `text`.
    pub(crate) fn find_text(&self, stream: &str, text: &str) -> Vec<Arc<str>> {
        let streams = self.inner.streams.lock().unwrap();
        let records = streams.records.get(stream).into_iter().flatten();
        records.filter(|r| r.contains(text)).cloned().collect()
    }

    fn is_down(&self) -> bool {
        self.inner.down.load(Ordering::SeqCst)
    }

    fn write(&self, append: &Append) -> Offset {
        let mut streams = self.inner.streams.lock().unwrap();
        let records = streams
            .records
            .entry(append.stream.to_string())
            .or_default();
        let offset = records.len() as Offset + 1;
        records.extend(append.records.iter().cloned());
        streams.appends.insert(append.id.to_string(), offset);
        offset
    }

    fn page(&self, stream: &str, from: Offset, limit: u32) -> Page {
        let streams = self.inner.streams.lock().unwrap();
        let records = streams.records.get(stream);
        let records = records.map(Vec::as_slice).unwrap_or_default();
        let entries = (1..).zip(records).skip_while(|(offset, _)| *offset < from);
        let entries = entries.map(|(offset, record)| Entry {
            offset,
            record: record.clone(),
        });
        let first = streams.first.get(stream).copied().unwrap_or(1);
        Page {
            entries: entries.take(limit as usize).collect(),
            first,
            next: records.len() as Offset + 1,
        }
    }
}

fn failed<T>(step: &str, fault: Fault) -> Result<T, Report<Failure>> {
    Err(Report::new(Failure::new(step, "log", fault)))
}

fn unreached<T>(step: &str) -> Result<T, Report<Failure>> {
    failed(step, Fault::Unreached("the log is down".to_owned()))
}

impl Log for MemoryLog {
    fn append(&self, append: Append) -> Answer<Offset> {
        let log = self.clone();
        Box::pin(async move {
            let delay_ms = log.inner.delay_ms.load(Ordering::SeqCst) as u64;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            if log.is_down() {
                return unreached("append");
            }
            let offset = log.write(&append);
            let decrement = |count: usize| count.checked_sub(1);
            let lost = &log.inner.lost_answers;
            match lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement) {
                Ok(_) => failed("append", Fault::Uncertain("answer lost".to_owned())),
                Err(_) => Ok(offset),
            }
        })
    }

    fn find(&self, _stream: &str, id: &str) -> Answer<Option<Offset>> {
        let log = self.clone();
        let id = id.to_owned();
        Box::pin(async move {
            if log.is_down() {
                return unreached("find");
            }
            Ok(log.inner.streams.lock().unwrap().appends.get(&id).copied())
        })
    }

    fn read(&self, stream: &str, from: Offset, limit: u32, wait_ms: u64) -> Answer<Page> {
        let log = self.clone();
        let stream = stream.to_owned();
        Box::pin(async move {
            while wait_ms > 0 && log.reads_held.load(Ordering::SeqCst) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let waits = wait_ms / 5 + 1;
            for _ in 0..waits {
                if log.is_down() {
                    return unreached("read");
                }
                let page = log.page(&stream, from, limit);
                if from < page.first {
                    let first = page.first;
                    return failed("read", Fault::Expired { first });
                }
                if !page.entries.is_empty() {
                    return Ok(page);
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            Ok(log.page(&stream, from, limit))
        })
    }
}
