//! Interfaces to the platform: its log, its list of workers, the workers and the advice service.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_workflow::{
    Order, Pace, Renewal, RenewalFault, Report, StartOutcome, StepKey, Stop, Worker,
};

use crate::config::Config;
use crate::revisions::Read;

/// Future of a response.
pub type Answer<T, E = Fault> = Pin<Box<dyn Future<Output = Result<T, E>> + Send>>;

/// Why a call of the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The records from the requested offset on are no longer retained.
    Expired {
        /// First retained offset.
        first: u64,
    },
    /// A producer with a higher epoch has written.
    Fenced,
    /// The partition doesn't end at the offset that the append requires.
    OffsetMismatch {
        /// End of the partition.
        end: u64,
    },
    /// The call had no effect; it may succeed later.
    Refused(Arc<str>),
    /// The call had no effect and won't succeed later either.
    Rejected(Arc<str>),
    /// The sequence number doesn't follow the last one.
    OutOfSequence,
    /// No response: the call may have taken effect, or may do so later.
    Unknown(Arc<str>),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expired { first } => write!(f, "records before offset {first} have expired"),
            Self::Fenced => f.write_str("a producer with a higher epoch has written"),
            Self::OffsetMismatch { end } => write!(f, "the partition ends at offset {end}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Rejected(reason) => write!(f, "rejected: {reason}"),
            Self::OutOfSequence => f.write_str("the sequence number doesn't follow the last one"),
            Self::Unknown(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

impl std::error::Error for Fault {}

/// A stream in the platform's log that this system writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stream {
    /// Claims of shards. The log keeps the newest record of each key.
    Claims,
    /// Jobs and cancellations, one partition for each shard.
    Jobs,
    /// Ends of attempts and jobs, one partition for each shard.
    Progress,
    /// Snapshots, one partition for each shard. The log keeps the newest record of each key; a record
    /// without a value deletes its key.
    State,
}

/// Precondition of an append.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Guard {
    /// The partition ends at this offset.
    EndOffset(u64),
    /// No precondition.
    Unconditional,
    /// The append has the producer's next sequence number, and no higher epoch has written.
    Producer {
        /// Producer.
        name: Arc<str>,
        /// Epoch.
        epoch: u64,
        /// Number of the append within the epoch, from 0.
        sequence: u64,
    },
}

/// A record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key, in streams that keep the newest record of each key.
    pub key: Option<Arc<str>>,
    /// Content.
    pub value: Vec<u8>,
}

/// Atomic append of records to one partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Stream.
    pub stream: Stream,
    /// Partition.
    pub partition: u32,
    /// Records; empty to set only the epoch of a producer.
    pub records: Vec<Record>,
    /// Precondition.
    pub guard: Guard,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// End of the partition after the append.
    pub end: u64,
}

/// Records read from a partition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Records in their order.
    pub records: Vec<Record>,
    /// First retained offset of the partition; 0 if the read doesn't tell.
    pub first: u64,
    /// Offset for the next read.
    pub next: u64,
    /// End of the partition.
    pub end: u64,
    /// Length of the answer in bytes.
    pub bytes: u64,
}

impl Page {
    /// Returns the records with their offsets.
    pub(crate) fn with_offsets(&self) -> impl Iterator<Item = (u64, &Record)> {
        let from = self.next - self.records.len() as u64;
        (from..).zip(&self.records)
    }
}

/// Changes of the configuration or of the list of workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes<T> {
    /// Changes in their order.
    pub items: Vec<T>,
    /// Keys of entries that can't be used. What was known under these keys stays in force.
    pub skipped: Vec<Arc<str>>,
    /// Offset for the next read.
    pub next: u64,
    /// End of the list.
    pub end: u64,
    /// Whether later changes are left for the next read.
    pub has_more: bool,
    /// Whether the items are the complete state instead of changes since an offset.
    pub complete: bool,
    /// Length of the answer in bytes.
    pub bytes: u64,
}

/// A change of the list of workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerChange {
    /// A worker was added or changed.
    Updated(Worker),
    /// A worker was removed.
    Removed(Arc<str>),
}

/// The platform's log.
pub trait Store: Send + Sync {
    /// Appends records.
    fn append(&self, append: Append) -> Answer<Appended>;

    /// Reads records from an offset on. At the end of the partition, waits up to `wait_ms` for one.
    fn read(&self, stream: Stream, partition: u32, from: u64, wait_ms: u64) -> Answer<Page>;

    /// Reads the newest record of each key of a partition.
    fn newest(&self, stream: Stream, partition: u32) -> Answer<Page>;

    /// Reads versions of the configuration.
    fn configuration(&self, read: Read) -> Answer<Changes<Arc<Config>>>;

    /// Reads changes of the list of workers; without `since` the complete list.
    fn workers(&self, since: Option<u64>) -> Answer<Changes<WorkerChange>>;
}

/// Commands to workers.
pub trait Workers: Send + Sync {
    /// Starts an attempt. `timeout` limits the wait for the response.
    fn start(
        &self,
        order: &Order,
        timeout: Duration,
    ) -> Pin<Box<dyn Future<Output = StartOutcome> + Send>>;

    /// Stops an attempt. Returns whether the worker accepted the command.
    fn stop(&self, stop: &Stop) -> Pin<Box<dyn Future<Output = bool> + Send>>;

    /// Changes the speed of an attempt. Returns whether the worker accepted the command.
    fn pace(&self, pace: &Pace) -> Pin<Box<dyn Future<Output = bool> + Send>>;

    /// Renews the lease of a worker and returns its report. The worker waits up to `wait_ms` for an
    /// attempt to end; `timeout` limits the wait for the response after that.
    fn renew(
        &self,
        id: &Arc<str>,
        renewal: &Renewal,
        wait_ms: u64,
        timeout: Duration,
    ) -> Answer<Report, RenewalFault>;
}

/// Workers that are allowed to run a step, each with its permit.
pub type Permits = Vec<(Arc<str>, Arc<str>)>;

/// The advice service, which decides which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Requests permits for `workers`. The call is expected to take `cost_ms`.
    fn advise(&self, step: StepKey, workers: &[Arc<str>], cost_ms: f64) -> Answer<Permits>;
}
