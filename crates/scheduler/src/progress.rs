//! Start-up and shutdown progress, which decides whether the process is ready.

use std::sync::atomic::{AtomicBool, Ordering};

use rosemaryworks_node::status::Ready;

use crate::events;

/// Whether each stream was read to its end, or its state restored from a peer, and whether a stop
/// has begun.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    cell: AtomicBool,
    contracts: AtomicBool,
    stopping: AtomicBool,
}

impl Progress {
    pub(crate) fn set_cell_loaded(&self, ready: &Ready) {
        self.cell.store(true, Ordering::SeqCst);
        self.update(ready);
    }

    pub(crate) fn set_contracts_loaded(&self, ready: &Ready) {
        self.contracts.store(true, Ordering::SeqCst);
        self.update(ready);
    }

    pub(crate) fn stop(&self, ready: &Ready) {
        self.stopping.store(true, Ordering::SeqCst);
        ready.clear("stopping");
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether the contracts are loaded, so that shards may be claimed.
    pub(crate) fn are_contracts_loaded(&self) -> bool {
        self.contracts.load(Ordering::SeqCst)
    }

    /// Returns whether both streams are loaded.
    pub(crate) fn is_complete(&self) -> bool {
        self.cell.load(Ordering::SeqCst) && self.are_contracts_loaded()
    }

    fn update(&self, ready: &Ready) {
        if self.is_complete() && !self.is_stopping() && !ready.get() {
            ready.set();
            events::READY.log(format_args!("streams=followed"));
        }
    }
}
