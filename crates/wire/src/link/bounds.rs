//! Bounds of what peers make a process hold through the links that it accepts.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bounds of the links that a process accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Links that are open at once.
    pub links: usize,
    /// Bytes of messages that all links have received in part.
    pub partial_bytes: u64,
    /// Bytes of messages that wait to be sent over all links.
    pub queued_bytes: u64,
}

impl Bounds {
    /// No bounds.
    pub const NONE: Self = Self {
        links: usize::MAX,
        partial_bytes: u64::MAX,
        queued_bytes: u64::MAX,
    };
}

/// Bytes that a link holds, as part of those of all links.
#[derive(Debug)]
pub(super) struct Share {
    own: AtomicU64,
    all: Arc<AtomicU64>,
    limit: u64,
    /// Even share of a link.
    even: u64,
}

impl Share {
    fn new(limit: u64, links: usize, all: Arc<AtomicU64>) -> Arc<Self> {
        Arc::new(Self {
            own: AtomicU64::new(0),
            all,
            limit,
            even: limit / (links as u64).max(1),
        })
    }

    /// Adds bytes. Returns whether the link stays within the bounds: one that holds less than an even
    /// share does so in any case.
    pub(super) fn add(&self, bytes: u64) -> bool {
        let own = self.own.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let all = self.all.fetch_add(bytes, Ordering::Relaxed) + bytes;
        all <= self.limit || own <= self.even
    }

    /// Returns whether so many bytes would leave half of the bounds to others, or fit into an even share.
    pub(super) fn has_room(&self, bytes: u64) -> bool {
        let own = self.own.load(Ordering::Relaxed).saturating_add(bytes);
        let all = self.all.load(Ordering::Relaxed).saturating_add(bytes);
        all <= self.limit / 2 || own <= self.even
    }

    /// Removes bytes that were added.
    pub(super) fn remove(&self, bytes: u64) {
        self.own.fetch_sub(bytes, Ordering::Relaxed);
        self.all.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Removes all bytes.
    pub(super) fn clear(&self) {
        let own = self.own.swap(0, Ordering::Relaxed);
        self.all.fetch_sub(own, Ordering::Relaxed);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.clear();
    }
}

/// What one link holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// Bytes received since the last complete message.
    pub(super) partial: Arc<Share>,
    /// Bytes that wait to be sent.
    pub(super) queued: Arc<Share>,
}

/// What all links of a process hold.
#[derive(Debug)]
pub(super) struct Total {
    bounds: Bounds,
    partial: Arc<AtomicU64>,
    queued: Arc<AtomicU64>,
}

impl Total {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            partial: Arc::default(),
            queued: Arc::default(),
        }
    }

    /// Returns the shares of a new link.
    pub(super) fn link(&self) -> Held {
        let Bounds {
            links,
            partial_bytes,
            queued_bytes,
        } = self.bounds;
        Held {
            partial: Share::new(partial_bytes, links, self.partial.clone()),
            queued: Share::new(queued_bytes, links, self.queued.clone()),
        }
    }
}

/// Stream whose received bytes are counted.
#[derive(Debug)]
pub(super) struct Counted<S> {
    stream: S,
    partial: Arc<Share>,
}

impl<S> Counted<S> {
    pub(super) fn new(stream: S, partial: Arc<Share>) -> Self {
        Self { stream, partial }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = (buffer.filled().len() - before) as u64;
        match self.partial.add(received) {
            true => read,
            false => Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
