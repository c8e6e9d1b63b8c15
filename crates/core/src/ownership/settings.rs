//! Settings of the ownership kernel.

use std::sync::Arc;

use crate::shard::Id;

/// Static configuration of the ownership kernel.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this scheduler.
    pub name: Arc<str>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Names of all schedulers of the cell, this one included.
    pub schedulers: Vec<Arc<str>>,
    /// All shards of the cell.
    pub shards: Vec<Id>,
    /// Milliseconds for which the log keeps records.
    pub retention_ms: u64,
}

impl Settings {
    /// Returns the number of schedulers that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.schedulers.len() / 2 + 1
    }
}
