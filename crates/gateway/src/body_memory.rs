//! Bound on the bytes of request bodies that are held at once.
//!
//! Requests wait at the gateway while a shard has no owner, or its owner's queue is long. Without the
//! bound, their bodies could fill the memory within a deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes held. Clones share the count.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    max_bytes: usize,
    reserved_bytes: Arc<AtomicUsize>,
}

impl Limiter {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reserved_bytes: Arc::default(),
        }
    }

    /// Reserves `bytes` until the returned guard is dropped, or returns `None` if the bound is
    /// reached.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let reservation = Reservation {
            bytes,
            reserved_bytes: self.reserved_bytes.clone(),
        };
        let reserved_bytes = self.reserved_bytes.fetch_add(bytes, Ordering::SeqCst) + bytes;
        (reserved_bytes <= self.max_bytes).then_some(reservation)
    }
}

/// Bytes reserved for a body.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    reserved_bytes: Arc<AtomicUsize>,
}

impl Reservation {
    /// Gives back what a body doesn't need.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.reserved_bytes.fetch_sub(excess, Ordering::SeqCst);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved_bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
