//! Memory limit for request bodies.
//!
//! Requests wait at the gateway while a shard has no owner, or while its owner's queue is long.
//! Without the limit, their bodies could fill the memory before their deadlines pass.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the bytes that are reserved at once. Clones share the count.
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

    /// Reserves `bytes` until the returned guard is dropped, or returns `None` if that would exceed
    /// the limit.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let reservation = Reservation {
            bytes,
            reserved_bytes: self.reserved_bytes.clone(),
        };
        let reserved_bytes = self.reserved_bytes.fetch_add(bytes, Ordering::SeqCst) + bytes;
        (reserved_bytes <= self.max_bytes).then_some(reservation)
    }
}

/// Bytes reserved for a body, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    reserved_bytes: Arc<AtomicUsize>,
}

impl Reservation {
    /// Reduces the reservation to `bytes`.
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
