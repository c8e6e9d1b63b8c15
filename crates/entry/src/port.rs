//! Borders to the platform: its log, its lists, its workers and its advice service.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_workflow::{
    Order, Pace, Renewal, RenewalFault, Report, StartOutcome, StepKey, Stop, Worker,
};

use crate::config::Config;

/// Future of an answer.
pub type Answer<T, E = Fault> = Pin<Box<dyn Future<Output = Result<T, E>> + Send>>;

/// Why the platform did not do what was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The records from the wanted offset on are no longer kept.
    Expired {
        /// First offset that is kept.
        first: u64,
    },
    /// A producer with a higher epoch has written.
    Fenced,
    /// The partition doesn't end where the append asked for.
    OffsetMismatch {
        /// End of the partition.
        end: u64,
    },
    /// Nothing was done; the same call may succeed later.
    Refused(Arc<str>),
    /// Nothing was done, and the same call won't succeed.
    Rejected(Arc<str>),
    /// The sequence number doesn't follow the last one.
    OutOfSequence,
    /// No answer: the call may have been carried out, or may be later.
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

/// A stream of the system's own in the platform's log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stream {
    /// Claims of shards. The newest record of each key is kept.
    Claims,
    /// Jobs and cancellations, one partition for each shard.
    Jobs,
    /// Ends of runs and jobs, one partition for each shard.
    Progress,
}

/// Condition of an append.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Guard {
    /// The partition ends at this offset.
    EndOffset(u64),
    /// None.
    Unconditional,
    /// The append is the next one of a producer, and no higher epoch has written.
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

/// Records to append to one partition, all or none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Stream.
    pub stream: Stream,
    /// Partition.
    pub part: u32,
    /// Records; none to set the epoch of a producer only.
    pub records: Vec<Record>,
    /// Condition.
    pub guard: Guard,
}

/// Where records were appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// End of the partition after the append.
    pub end: u64,
}

/// Part of a partition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Records in their order.
    pub records: Vec<Record>,
    /// Offset to read from next.
    pub next: u64,
    /// End of the partition.
    pub end: u64,
}

/// Changes of a list that the platform keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Feed<T> {
    /// Changes in their order.
    pub items: Vec<T>,
    /// Offset to continue from.
    pub next: u64,
    /// Whether the items are the whole list.
    pub whole: bool,
}

/// A change of the list of workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Listing {
    /// A worker was added or changed.
    Listed(Worker),
    /// A worker was removed.
    Unlisted(Arc<str>),
}

/// The platform's log.
pub trait Store: Send + Sync {
    /// Appends records.
    fn append(&self, append: Append) -> Answer<Appended>;

    /// Reads from an offset on. Waits up to `wait_ms` for a record.
    fn read(&self, stream: Stream, part: u32, from: u64, wait_ms: u64) -> Answer<Page>;

    /// Reads the newest record of each key of a partition.
    fn newest(&self, stream: Stream, part: u32) -> Answer<Page>;

    /// Reads changes of the configuration. Without `since` the newest one.
    fn configuration(&self, since: Option<u64>, wait_ms: u64) -> Answer<Feed<Arc<Config>>>;

    /// Reads changes of the list of workers. Without `since` the whole list.
    fn workers(&self, since: Option<u64>) -> Answer<Feed<Listing>>;
}

/// Orders to workers.
pub trait Workers: Send + Sync {
    /// Starts a run. The answer is waited for until `timeout`.
    fn start(
        &self,
        order: &Order,
        timeout: Duration,
    ) -> Pin<Box<dyn Future<Output = StartOutcome> + Send>>;

    /// Stops a run. Returns whether the worker took the order.
    fn stop(&self, stop: &Stop) -> Pin<Box<dyn Future<Output = bool> + Send>>;

    /// Changes the speed of a run. Returns whether the worker took the order.
    fn pace(&self, pace: &Pace) -> Pin<Box<dyn Future<Output = bool> + Send>>;

    /// Renews the lease of a worker and takes its report. The worker waits up to `wait_ms` for an end,
    /// and its answer is waited for until `timeout` after that.
    fn look(
        &self,
        id: &Arc<str>,
        look: &Renewal,
        wait_ms: u64,
        timeout: Duration,
    ) -> Answer<Report, RenewalFault>;
}

/// Workers that may run a step, each with its permit.
pub type Permits = Vec<(Arc<str>, Arc<str>)>;

/// The service that tells which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Asks about `workers`. The call is expected to take `cost_ms`.
    fn advise(&self, step: StepKey, workers: &[Arc<str>], cost_ms: f64) -> Answer<Permits>;
}
