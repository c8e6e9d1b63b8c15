//! Bound on the bytes of request bodies that are held at once.
//!
//! Requests wait at the gateway while a shard has no owner, or its owner's queue is long. Without the
//! bound, their bodies could fill the memory within a deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes held. Clones share the count.
#[derive(Clone, Debug)]
pub(crate) struct Bodies {
    max_bytes: usize,
    held: Arc<AtomicUsize>,
}

impl Bodies {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held: Arc::default(),
        }
    }

    /// Reserves `bytes` until the returned guard is dropped, or returns `None` if the bound is
    /// reached.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reserved> {
        let reserved = Reserved {
            bytes,
            held: self.held.clone(),
        };
        let held = self.held.fetch_add(bytes, Ordering::SeqCst) + bytes;
        (held <= self.max_bytes).then_some(reserved)
    }
}

/// Bytes reserved for a body.
#[derive(Debug)]
pub(crate) struct Reserved {
    bytes: usize,
    held: Arc<AtomicUsize>,
}

impl Reserved {
    /// Gives back what a body doesn't need.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.held.fetch_sub(excess, Ordering::SeqCst);
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
