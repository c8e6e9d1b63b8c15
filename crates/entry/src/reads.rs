//! Log lines and metrics about reads of the platform's log.

use std::fmt;
use std::sync::Arc;

use rosemaryworks_node::clock;

use crate::config::Config;
use crate::events;
use crate::metrics::Metrics;
use crate::port::{Answer, Append, Appended, Changes, Fault, Page, Store, Stream, WorkerChange};
use crate::revisions::Read;

/// Time beyond its wait from which a read counts as slow, in milliseconds. A slow log answers a short
/// read within a quarter of a second.
const SLOW_MS: u64 = 400;

/// A log whose reads are measured.
pub(crate) struct Observer {
    store: Arc<dyn Store>,
    metrics: Metrics,
}

/// What a read asks for.
#[derive(Clone, Copy, Debug)]
struct Question {
    list: &'static str,
    partition: u32,
    /// First offset; `None` if the read asks for the newest record of each key.
    from: Option<u64>,
    wait_ms: u64,
}

/// What a read returned.
#[derive(Clone, Copy, Debug)]
struct Extent {
    records: usize,
    next: u64,
    end: u64,
    bytes: u64,
}

impl fmt::Display for Extent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            records,
            next,
            end,
            bytes,
        } = self;
        write!(f, "records={records} next={next} end={end} bytes={bytes}")
    }
}

impl From<&Page> for Extent {
    fn from(page: &Page) -> Self {
        Self {
            records: page.records.len(),
            next: page.next,
            end: page.end,
            bytes: page.bytes,
        }
    }
}

impl<T> From<&Changes<T>> for Extent {
    fn from(changes: &Changes<T>) -> Self {
        Self {
            records: changes.items.len() + changes.skipped.len(),
            next: changes.next,
            end: changes.end,
            bytes: changes.bytes,
        }
    }
}

fn name(stream: Stream) -> &'static str {
    match stream {
        Stream::Claims => "claims",
        Stream::Jobs => "jobs",
        Stream::Progress => "progress",
        Stream::State => "state",
    }
}

impl Observer {
    /// Creates a log that passes calls on to `store`.
    pub(crate) fn new(store: Arc<dyn Store>, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self { store, metrics })
    }

    fn observe<T: 'static>(&self, question: Question, answer: Answer<T>) -> Answer<T>
    where
        for<'a> Extent: From<&'a T>,
    {
        let metrics = self.metrics.clone();
        let asked_ms = clock::now().0;
        Box::pin(async move {
            let answer = answer.await;
            let took_ms = clock::now().0.saturating_sub(asked_ms);
            let extent = answer.as_ref().map(Extent::from);
            record(&metrics, question, extent, took_ms);
            answer
        })
    }
}

/// Counts a read, and logs it if it was slow or brought a configuration.
fn record(metrics: &Metrics, question: Question, extent: Result<Extent, &Fault>, took_ms: u64) {
    let Question {
        list,
        partition,
        from,
        wait_ms,
    } = question;
    let is_slow = took_ms >= wait_ms + SLOW_MS;
    match extent {
        Ok(extent) => {
            metrics.read_bytes.inc_by(extent.bytes);
            let is_configuration = list == "configurations" && extent.records > 0;
            if is_slow || is_configuration {
                events::LOG_READ.log(format_args!(
                    "list={list} part={partition} from={from:?} {extent} took_ms={took_ms}"
                ));
            }
        }
        Err(fault) => {
            metrics.reads_failed.inc();
            if is_slow {
                events::LOG_READ_FAILED.log(format_args!(
                    "list={list} part={partition} from={from:?} wait_ms={wait_ms} \
                     took_ms={took_ms} {fault}"
                ));
            }
        }
    }
}

impl Store for Observer {
    fn append(&self, append: Append) -> Answer<Appended> {
        self.store.append(append)
    }

    fn read(&self, stream: Stream, partition: u32, from: u64, wait_ms: u64) -> Answer<Page> {
        let question = Question {
            list: name(stream),
            partition,
            from: Some(from),
            wait_ms,
        };
        self.observe(question, self.store.read(stream, partition, from, wait_ms))
    }

    fn newest(&self, stream: Stream, partition: u32) -> Answer<Page> {
        let question = Question {
            list: name(stream),
            partition,
            from: None,
            wait_ms: 0,
        };
        self.observe(question, self.store.newest(stream, partition))
    }

    fn configuration(&self, read: Read) -> Answer<Changes<Arc<Config>>> {
        let (from, wait_ms) = match read {
            Read::Newest => (None, 0),
            Read::After { offset, wait_ms } => (Some(offset), wait_ms),
            Read::Part { offset } => (Some(offset), 0),
        };
        let question = Question {
            list: "configurations",
            partition: 0,
            from,
            wait_ms,
        };
        self.observe(question, self.store.configuration(read))
    }

    fn workers(&self, since: Option<u64>) -> Answer<Changes<WorkerChange>> {
        let question = Question {
            list: "workers",
            partition: 0,
            from: since,
            wait_ms: 0,
        };
        self.observe(question, self.store.workers(since))
    }
}
