//! Counters of frames and bytes on the links of the process. The first frame in each direction of a
//! link, its hello, is not counted; pings and pongs are not frames.

use std::sync::atomic::{AtomicU64, Ordering};

/// Totals over all links since the start of the process.
#[derive(Debug, Default)]
pub struct Traffic {
    received_bytes: AtomicU64,
    received_frames: AtomicU64,
    sent_bytes: AtomicU64,
    sent_frames: AtomicU64,
}

static TRAFFIC: Traffic = Traffic {
    received_bytes: AtomicU64::new(0),
    received_frames: AtomicU64::new(0),
    sent_bytes: AtomicU64::new(0),
    sent_frames: AtomicU64::new(0),
};

/// Returns the counters of this process.
#[must_use]
pub fn traffic() -> &'static Traffic {
    &TRAFFIC
}

impl Traffic {
    pub(crate) fn received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        self.received_frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the bytes of all frames received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of frames received.
    pub fn received_frames(&self) -> u64 {
        self.received_frames.load(Ordering::Relaxed)
    }

    /// Returns the bytes of all frames sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of frames sent.
    pub fn sent_frames(&self) -> u64 {
        self.sent_frames.load(Ordering::Relaxed)
    }
}
