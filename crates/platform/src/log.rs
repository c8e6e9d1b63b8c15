//! The platform's append-only log, which consists of named streams.

use std::sync::Arc;

use rosemaryworks_core::record::Offset;
use serde::{Deserialize, Serialize};

use crate::failure::Answer;

/// Name of the stream of contracts.
pub const CONTRACTS: &str = "contracts";

/// Name of the stream of contract changes that were rejected before they reached the contracts
/// stream.
pub const AUDIT: &str = "audit";

/// Name of the stream of ownership, requests and jobs.
pub const CELL: &str = "cell";

/// Records to append atomically at consecutive offsets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// Stream.
    pub stream: Arc<str>,
    /// Identifier of the append, by which it can be looked up if the response is lost.
    pub id: Arc<str>,
    /// Records as JSON text.
    pub records: Vec<Arc<str>>,
}

/// A record with its offset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: Offset,
    /// Record as JSON text.
    pub record: Arc<str>,
}

/// Result of a read: consecutive records of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Records in offset order; empty if there are none yet.
    pub entries: Vec<Entry>,
    /// First retained offset.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
}

/// The log service.
pub trait Log: Send + Sync {
    /// Appends records and returns the offset of the first one.
    fn append(&self, append: Append) -> Answer<Offset>;

    /// Returns the offset of the first record of the append with this identifier, if it took
    /// effect.
    fn find(&self, stream: &str, id: &str) -> Answer<Option<Offset>>;

    /// Reads at most `limit` records from offset `from` on. If there are none yet, waits up to
    /// `wait_ms` for one. Fails with `Fault::Expired` if `from` is before the first retained
    /// offset.
    fn read(&self, stream: &str, from: Offset, limit: u32, wait_ms: u64) -> Answer<Page>;
}
