//! Leader lease: the time for which this process may act as the owner of a shard. It lasts while a
//! majority of the schedulers supports the owner in replies to its heartbeats.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;

/// One epoch of a shard that this process owns.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) shard: Id,
    pub(crate) epoch: Epoch,
    valid_until: AtomicU64,
    ended: AtomicBool,
}

impl Term {
    pub(crate) fn new(shard: Id, epoch: Epoch, valid_until: Instant) -> Self {
        Self {
            shard,
            epoch,
            valid_until: AtomicU64::new(valid_until.0),
            ended: AtomicBool::new(false),
        }
    }

    /// Returns whether this process may act as the owner at this moment.
    pub(crate) fn is_valid(&self) -> bool {
        self.valid_at().is_some()
    }

    /// Returns a time during this call at which this process could act as the owner, or `None`.
    ///
    /// The validity is read before the clock. In the other order, a heartbeat that extends it in
    /// between could validate a clock reading at which there was no support.
    pub(crate) fn valid_at(&self) -> Option<Instant> {
        let valid_until = Instant(self.valid_until.load(Ordering::SeqCst));
        let now = clock::now();
        (now < valid_until && !self.has_ended()).then_some(now)
    }

    /// Returns the milliseconds until the support of a majority expires.
    pub(crate) fn margin_ms(&self) -> u64 {
        Instant(self.valid_until.load(Ordering::SeqCst)).since(clock::now())
    }

    pub(crate) fn set_valid_until(&self, valid_until: Instant) {
        self.valid_until.store(valid_until.0, Ordering::SeqCst);
    }

    /// Returns whether the epoch has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}
