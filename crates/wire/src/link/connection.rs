//! One open connection: calls, replies and the pumps that carry them.

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
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Packet;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::error::{Error, Fault};
use super::traffic::traffic;
use crate::frame::{Frame, Kind};
use crate::message::{Hello, Message};

/// Time after which a connection is closed if nothing arrives or the peer doesn't take what is sent.
/// Pings keep an idle one alive.
const SILENCE_MAX: Duration = Duration::from_secs(15);

/// Period of pings on an idle connection.
const PING_PERIOD: Duration = Duration::from_secs(5);

type Sink = SplitSink<WebSocketStream<TcpStream>, Packet>;

/// Bytes read from the socket at once. The library clears its whole read buffer before each read,
/// and most messages are shorter than 1 KiB; its default of 128 KiB took 7% of an idle scheduler.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Future of a reply.
pub type Reply = Pin<Box<dyn Future<Output = Message> + Send>>;

/// Takes what arrives on links.
pub trait Handler: Send + Sync {
    /// Answers a call.
    fn call(&self, peer: &Peer, message: Message) -> Reply;

    /// Takes a notice.
    fn notice(&self, peer: &Peer, message: Message);

    /// Learns that a link to `peer` is open.
    fn opened(&self, peer: &Peer);

    /// Learns that a link to `peer` is closed.
    fn closed(&self, peer: &Peer);
}

/// The other end of an open connection. Clones share the connection.
#[derive(Clone)]
pub struct Peer {
    hello: Arc<Hello>,
    inner: Arc<Inner>,
}

struct Inner {
    next: AtomicU64,
    outgoing: mpsc::UnboundedSender<Packet>,
    waiting: Mutex<Waiting>,
}

#[derive(Default)]
struct Waiting {
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
    /// Returns how the peer introduced itself.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Tells whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.inner.waiting().closed
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.inner.outgoing.closed().await;
    }

    /// Calls the peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the message couldn't be sent or no reply arrived within `timeout`.
    pub async fn call(&self, message: Message, timeout: Duration) -> Result<Message, Error> {
        let id = self.inner.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.inner.waiting();
            if waiting.closed {
                return Err(self.error("call", Fault::NotOpen));
            }
            waiting.calls.insert(id, sender);
        }
        let guard = Forget {
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
    /// Returns an error if the link is closed or the message too large.
    pub fn notify(&self, message: Message) -> Result<(), Error> {
        let id = self.inner.next.fetch_add(1, Ordering::Relaxed);
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
        let sent = self.inner.outgoing.send(Packet::Binary(bytes.into()));
        sent.map_err(|_| self.error("send", Fault::NotOpen))
    }

    fn error(&self, step: &'static str, fault: Fault) -> Error {
        Error {
            step,
            peer: self.hello.node.clone(),
            fault,
        }
    }
}

impl Inner {
    fn waiting(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets a call whose caller stopped waiting.
struct Forget<'a> {
    inner: &'a Inner,
    id: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.inner.waiting().calls.remove(&self.id);
    }
}

/// Returns how connections buffer what they read.
pub(super) fn limits() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// Runs a connection until it is closed. `opened` receives the peer once it has introduced itself.
pub(super) async fn run(
    socket: WebSocketStream<TcpStream>,
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
    let first = timeout(SILENCE_MAX, stream.next()).await;
    let Some(hello) = introduction(first.ok().flatten()) else {
        return;
    };
    let inner = Inner {
        next: AtomicU64::new(1),
        outgoing,
        waiting: Mutex::default(),
    };
    let peer = Peer {
        hello: Arc::new(hello),
        inner: Arc::new(inner),
    };
    opened(&peer);
    handler.opened(&peer);
    // Reading goes on while a send waits for the peer. Two ends that read only between their sends
    // would wait for each other for ever once the socket buffers in both directions are full.
    tokio::select! {
        () = read(stream, &peer, handler) => {}
        () = write(sink, queue) => {}
    }
    {
        let mut waiting = peer.inner.waiting();
        waiting.closed = true;
        waiting.calls.clear();
    }
    handler.closed(&peer);
}

/// Takes what arrives until the connection is closed or silent.
async fn read(
    mut stream: SplitStream<WebSocketStream<TcpStream>>,
    peer: &Peer,
    handler: &Arc<dyn Handler>,
) {
    while let Ok(Some(Ok(packet))) = timeout(SILENCE_MAX, stream.next()).await {
        match packet {
            Packet::Binary(bytes) => take(peer, handler, &bytes),
            Packet::Ping(_) | Packet::Pong(_) => {}
            _ => return,
        }
    }
}

/// Sends what is queued, and pings, until the peer doesn't take it.
async fn write(mut sink: Sink, mut queue: mpsc::UnboundedReceiver<Packet>) {
    let mut pings = tokio::time::interval(PING_PERIOD);
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let packet = tokio::select! {
            packet = queue.recv() => packet,
            _ = pings.tick() => Some(Packet::Ping(Vec::new().into())),
        };
        let Some(packet) = packet else { return };
        if !send(&mut sink, packet).await {
            return;
        }
    }
}

/// Sends a packet. Returns whether the peer took it in time.
async fn send(sink: &mut Sink, packet: Packet) -> bool {
    matches!(timeout(SILENCE_MAX, sink.send(packet)).await, Ok(Ok(())))
}

fn introduction(
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

fn take(peer: &Peer, handler: &Arc<dyn Handler>, bytes: &[u8]) {
    traffic().received(bytes.len());
    let frame = match Frame::decode(bytes) {
        Ok(frame) => frame,
        Err(error) => {
            log::warn!("E201 frame dropped: peer={} error={error}", peer.hello.node);
            return;
        }
    };
    match frame.kind {
        Kind::Call => answer(peer.clone(), handler, frame),
        Kind::Notice => handler.notice(peer, frame.message),
        Kind::Reply => {
            let waiting = peer.inner.waiting().calls.remove(&frame.id);
            if let Some(waiting) = waiting {
                // The caller may have stopped waiting.
                let _ = waiting.send(frame.message);
            }
        }
    }
}

fn answer(peer: Peer, handler: &Arc<dyn Handler>, frame: Frame) {
    let reply = handler.call(&peer, frame.message);
    tokio::spawn(async move {
        let message = reply.await;
        let sent = peer.send(Frame {
            id: frame.id,
            kind: Kind::Reply,
            message,
        });
        // A closed link needs no reply. A caller whose reply is too large waits in vain.
        if let Err(error) = sent
            && matches!(error.fault, Fault::TooLarge)
        {
            log::warn!("E202 reply not sent: {error}");
        }
    });
}
