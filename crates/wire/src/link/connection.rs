//! An open connection: matches replies to calls, and runs the tasks that read and write frames.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{MissedTickBehavior, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Packet;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::bounds::{Counted, Held, Share};
use super::error::{Error, Fault};
use super::traffic::traffic;
use crate::frame::{FRAME_MAX_BYTES, Frame, Kind};
use crate::message::{Hello, Message};

/// Time after which a connection is closed if nothing is received or a send does not complete.
/// Pings keep an idle connection open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which a peer must say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between pings.
const PING_PERIOD: Duration = Duration::from_secs(5);

/// WebSocket of a link.
pub(super) type Socket = WebSocketStream<Counted<TcpStream>>;

type Sink = SplitSink<Socket, Packet>;

/// Size of the read buffer. tungstenite zeroes the whole buffer before each read; its default of
/// 128 KiB took 7% of an idle scheduler's processor time, and most messages are shorter than 1 KiB.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Future that resolves to the reply to a call.
pub type Reply = Pin<Box<dyn Future<Output = Message> + Send>>;

/// Handles calls, notices and state changes of links.
pub trait Handler: Send + Sync {
    /// Returns the reply to a call.
    fn call(&self, peer: &Peer, message: Message) -> Reply;

    /// Handles a notice.
    fn notice(&self, peer: &Peer, message: Message);

    /// Called when a link to `peer` has opened.
    fn opened(&self, peer: &Peer);

    /// Called when a link to `peer` has closed.
    fn closed(&self, peer: &Peer);
}

/// Handle to the process at the other end of a connection. Clones share the connection.
#[derive(Clone)]
pub struct Peer {
    hello: Arc<Hello>,
    inner: Arc<Inner>,
}

struct Inner {
    next_id: AtomicU64,
    outgoing: mpsc::UnboundedSender<Packet>,
    /// Bytes in `outgoing`.
    queued: Arc<Share>,
    /// Notified when more is queued than the bounds allow, because the peer doesn't read.
    overflow: Notify,
    pending: Mutex<Pending>,
}

#[derive(Default)]
struct Pending {
    calls: HashMap<u64, oneshot::Sender<Message>>,
    closed: bool,
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peer")
            .field("hello", &self.hello)
            .finish_non_exhaustive()
    }
}

impl Peer {
    /// Returns the hello of the peer, which identifies it.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.inner.pending().closed
    }

    /// Returns whether both handles belong to the same connection.
    #[must_use]
    pub fn is_same_link(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.inner, &other.inner)
    }

    /// Returns whether a long message of so many bytes may be queued. One beyond the bounds of the
    /// links closes the connection.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        self.inner.queued.has_room(bytes as u64)
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.inner.outgoing.closed().await;
    }

    /// Calls the peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be sent, the link closes before the reply or no reply
    /// arrives within `timeout`.
    pub async fn call(&self, message: Message, timeout: Duration) -> Result<Message, Error> {
        let id = self.inner.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        {
            let mut pending = self.inner.pending();
            if pending.closed {
                return Err(self.error("call", Fault::NotOpen));
            }
            pending.calls.insert(id, sender);
        }
        let guard = CallGuard {
            inner: &self.inner,
            id,
        };
        self.send(Frame {
            id,
            kind: Kind::Call,
            message,
        })?;
        let reply = tokio::time::timeout(timeout, receiver).await;
        drop(guard);
        match reply {
            Ok(Ok(message)) => Ok(message),
            Ok(Err(_)) => Err(self.error("call", Fault::Closed)),
            Err(_) => Err(self.error("call", Fault::Timeout)),
        }
    }

    /// Sends a notice.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is closed or the message is too large.
    pub fn notify(&self, message: Message) -> Result<(), Error> {
        let id = self.inner.next_id.fetch_add(1, Ordering::Relaxed);
        self.send(Frame {
            id,
            kind: Kind::Notice,
            message,
        })
    }

    fn send(&self, frame: Frame) -> Result<(), Error> {
        let bytes = frame
            .encode()
            .map_err(|_| self.error("send", Fault::TooLarge))?;
        traffic().sent(bytes.len());
        let length = bytes.len() as u64;
        if !self.inner.queued.add(length) {
            self.inner.overflow.notify_one();
        }
        let sent = self.inner.outgoing.send(Packet::Binary(bytes.into()));
        sent.map_err(|_| {
            self.inner.queued.remove(length);
            self.error("send", Fault::NotOpen)
        })
    }

    fn error(&self, operation: &'static str, fault: Fault) -> Error {
        Error {
            operation,
            peer: self.hello.node.clone(),
            fault,
        }
    }
}

impl Inner {
    fn pending(&self) -> std::sync::MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a pending call on drop, so that a cancelled or timed-out call leaves no entry behind.
struct CallGuard<'a> {
    inner: &'a Inner,
    id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.inner.pending().calls.remove(&self.id);
    }
}

/// Returns the WebSocket settings of both sides of a link.
pub(super) fn websocket_config() -> WebSocketConfig {
    // Frames have at most as many bytes, and a link doesn't divide them.
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_frame_size(Some(FRAME_MAX_BYTES))
        .max_message_size(Some(FRAME_MAX_BYTES))
}

/// Runs a connection until it is closed. `opened` is called with the peer after its [`Hello`].
pub(super) async fn run(
    socket: Socket,
    held: &Held,
    own: &Hello,
    handler: &Arc<dyn Handler>,
    opened: impl FnOnce(&Peer),
) {
    let (mut sink, mut stream) = socket.split();
    let (outgoing, queue) = mpsc::unbounded_channel();
    let hello = Frame {
        id: 0,
        kind: Kind::Notice,
        message: Message::Hello(own.clone()),
    };
    let Ok(bytes) = hello.encode() else { return };
    if !send(&mut sink, Packet::Binary(bytes.into())).await {
        return;
    }
    let first = timeout(HELLO_TIMEOUT, stream.next()).await;
    held.partial.clear();
    let Some(hello) = parse_hello(first.ok().flatten()) else {
        return;
    };
    let inner = Inner {
        next_id: AtomicU64::new(1),
        outgoing,
        queued: held.queued.clone(),
        overflow: Notify::new(),
        pending: Mutex::default(),
    };
    let peer = Peer {
        hello: Arc::new(hello),
        inner: Arc::new(inner),
    };
    opened(&peer);
    handler.opened(&peer);
    // A client that is dropped aborts this task.
    let _closing = Closing {
        peer: &peer,
        handler: handler.as_ref(),
    };
    // Reads and writes run concurrently. If both ends read only between their sends, they deadlock
    // once the socket buffers in both directions are full.
    tokio::select! {
        () = read(stream, &held.partial, &peer, handler) => {}
        () = peer.inner.overflow.notified() => {}
        () = write(sink, &held.queued, queue) => {}
    }
}

/// Marks a connection as closed on drop.
struct Closing<'a> {
    peer: &'a Peer,
    handler: &'a dyn Handler,
}

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        {
            let mut pending = self.peer.inner.pending();
            pending.closed = true;
            pending.calls.clear();
        }
        self.handler.closed(self.peer);
    }
}

/// Reads and dispatches frames until the connection is closed or idle for [`IDLE_TIMEOUT`].
async fn read(
    mut stream: SplitStream<Socket>,
    partial: &Share,
    peer: &Peer,
    handler: &Arc<dyn Handler>,
) {
    while let Ok(Some(Ok(packet))) = timeout(IDLE_TIMEOUT, stream.next()).await {
        partial.clear();
        match packet {
            Packet::Binary(bytes) => dispatch(peer, handler, &bytes),
            Packet::Ping(_) | Packet::Pong(_) => {}
            _ => return,
        }
    }
}

/// Sends queued packets and pings until a send fails or times out.
async fn write(mut sink: Sink, queued: &Share, mut queue: mpsc::UnboundedReceiver<Packet>) {
    let mut pings = tokio::time::interval(PING_PERIOD);
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let packet = tokio::select! {
            packet = queue.recv() => packet,
            _ = pings.tick() => Some(Packet::Ping(Vec::new().into())),
        };
        let Some(packet) = packet else { return };
        let bytes = match &packet {
            Packet::Binary(bytes) => bytes.len() as u64,
            _ => 0,
        };
        if !send(&mut sink, packet).await {
            return;
        }
        queued.remove(bytes);
    }
}

/// Sends a packet. Returns whether the send completed within [`IDLE_TIMEOUT`].
async fn send(sink: &mut Sink, packet: Packet) -> bool {
    matches!(timeout(IDLE_TIMEOUT, sink.send(packet)).await, Ok(Ok(())))
}

fn parse_hello(
    packet: Option<Result<Packet, tokio_tungstenite::tungstenite::Error>>,
) -> Option<Hello> {
    let Some(Ok(Packet::Binary(bytes))) = packet else {
        return None;
    };
    match Frame::decode(&bytes).ok()?.message {
        Message::Hello(hello) => Some(hello),
        _ => None,
    }
}

fn dispatch(peer: &Peer, handler: &Arc<dyn Handler>, bytes: &[u8]) {
    traffic().received(bytes.len());
    let frame = match Frame::decode(bytes) {
        Ok(frame) => frame,
        Err(error) => {
            log::warn!("E201 frame dropped: peer={} error={error}", peer.hello.node);
            return;
        }
    };
    match frame.kind {
        Kind::Call => spawn_reply(peer.clone(), handler, frame),
        Kind::Notice => handler.notice(peer, frame.message),
        Kind::Reply => {
            let caller = peer.inner.pending().calls.remove(&frame.id);
            if let Some(caller) = caller {
                // The call may have been cancelled.
                let _ = caller.send(frame.message);
            }
        }
    }
}

fn spawn_reply(peer: Peer, handler: &Arc<dyn Handler>, frame: Frame) {
    let reply = handler.call(&peer, frame.message);
    tokio::spawn(async move {
        let message = reply.await;
        let sent = peer.send(Frame {
            id: frame.id,
            kind: Kind::Reply,
            message,
        });
        // A closed link fails the call at the caller. A reply that is too large can't be sent, and
        // the call times out.
        if let Err(error) = sent
            && matches!(error.fault, Fault::TooLarge)
        {
            log::warn!("E202 reply not sent: {error}");
        }
    });
}
