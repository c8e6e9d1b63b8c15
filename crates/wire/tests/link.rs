//! Links under backpressure and with a paused peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rosemaryworks_wire::link::{Bounds, Client, Handler, Peer, Reply, serve, serve_within};
use rosemaryworks_wire::{FRAME_MAX_BYTES, Frame, Hello, Kind, Message, Role, Submission};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_tungstenite::tungstenite::Message as Packet;

const FRAMES: usize = 32;

const LARGE_BYTES: usize = FRAME_MAX_BYTES - 1024;

/// Much longer than the idle timeout of a link.
const AFTER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Counts notices and closed links.
#[derive(Default)]
struct Counters {
    notices: AtomicUsize,
    closed: AtomicUsize,
}

impl Handler for Counters {
    fn call(&self, _: &Peer, _: Message) -> Reply {
        Box::pin(async { Message::Done })
    }

    fn notice(&self, _: &Peer, _: Message) {
        self.notices.fetch_add(1, Ordering::SeqCst);
    }

    fn opened(&self, _: &Peer) {}

    fn closed(&self, _: &Peer) {
        self.closed.fetch_add(1, Ordering::SeqCst);
    }
}

/// Counts notices and closed links, and passes on the peer of the first link that opens.
struct FirstLink {
    counters: Counters,
    opened: std::sync::Mutex<Option<oneshot::Sender<Peer>>>,
}

impl Handler for FirstLink {
    fn call(&self, peer: &Peer, message: Message) -> Reply {
        self.counters.call(peer, message)
    }

    fn notice(&self, peer: &Peer, message: Message) {
        self.counters.notice(peer, message);
    }

    fn opened(&self, peer: &Peer) {
        if let Some(opened) = self.opened.lock().unwrap().take() {
            let _ = opened.send(peer.clone());
        }
    }

    fn closed(&self, peer: &Peer) {
        self.counters.closed(peer);
    }
}

fn hello(node: &str) -> Hello {
    Hello {
        node: node.into(),
        role: Role::Scheduler,
        zone: "milano".into(),
        incarnation: 1,
    }
}

/// Returns a message of nearly the largest size.
fn large() -> Message {
    Message::Submission(Submission::Rejected("x".repeat(LARGE_BYTES).into()))
}

async fn open(client: &Client) -> Peer {
    for _ in 0..200 {
        if let Some(peer) = client.peer() {
            return peer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no link was opened");
}

/// Guards against a deadlock: neither end read while it sent, so a link stalled forever once the
/// data sent in both directions exceeded the socket buffers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_ends_can_send_large_frames_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (opened, first_link) = oneshot::channel();
    let far = Arc::new(FirstLink {
        counters: Counters::default(),
        opened: std::sync::Mutex::new(Some(opened)),
    });
    tokio::spawn(serve(listener, hello("far"), far.clone()));
    let near = Arc::new(Counters::default());
    let client = Client::start("far".into(), address, hello("near"), near.clone());
    let ends = [open(&client).await, first_link.await.unwrap()];
    let message = large();
    for _ in 0..FRAMES {
        for end in &ends {
            end.notify(message.clone()).unwrap();
        }
    }
    let reply = ends[0].call(Message::Snapshot, Duration::from_secs(20));
    assert_eq!(reply.await.unwrap(), Message::Done);
    let reply = ends[1].call(Message::Snapshot, Duration::from_secs(20));
    assert_eq!(reply.await.unwrap(), Message::Done);
    assert_eq!(near.notices.load(Ordering::SeqCst), FRAMES);
    assert_eq!(far.counters.notices.load(Ordering::SeqCst), FRAMES);
    assert_eq!(near.closed.load(Ordering::SeqCst), 0);
}

/// Accepts a link, sends its hello and then neither reads nor writes, like a paused process.
async fn paused(listener: TcpListener) {
    let (stream, _) = listener.accept().await.unwrap();
    let mut socket = tokio_tungstenite::accept_async(stream).await.unwrap();
    let frame = Frame {
        id: 0,
        kind: Kind::Notice,
        message: Message::Hello(hello("paused")),
    };
    let bytes = frame.encode().unwrap();
    socket.send(Packet::Binary(bytes.into())).await.unwrap();
    let _ = socket.next().await;
    // Keeps the connection open.
    std::future::pending::<()>().await;
}

/// Guards against a link to a paused process that stays open while the process is paused: a send
/// blocked by the peer kept the idle check from running.
#[tokio::test]
async fn a_link_whose_peer_does_not_read_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(paused(listener));
    let near = Arc::new(Counters::default());
    let client = Client::start("paused".into(), address, hello("near"), near.clone());
    let peer = open(&client).await;
    let message = large();
    for _ in 0..FRAMES {
        peer.notify(message.clone()).unwrap();
    }
    let call = tokio::spawn({
        let peer = peer.clone();
        async move { peer.call(Message::Snapshot, 4 * AFTER_IDLE_TIMEOUT).await }
    });
    // Lets the writer fill the socket buffers before the test clock is advanced.
    tokio::time::sleep(Duration::from_millis(500)).await;
    tokio::time::pause();
    tokio::time::sleep(AFTER_IDLE_TIMEOUT).await;
    assert!(peer.is_closed());
    assert_eq!(near.closed.load(Ordering::SeqCst), 1);
    assert!(call.await.unwrap().is_err());
}

/// Guards against links that count as open forever: an aborted connection was not reported as closed.
#[tokio::test]
async fn a_dropped_client_reports_its_link_as_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, hello("far"), Arc::new(Counters::default())));
    let near = Arc::new(Counters::default());
    let client = Client::start("far".into(), address, hello("near"), near.clone());
    let peer = open(&client).await;
    drop(client);
    for _ in 0..200 {
        if near.closed.load(Ordering::SeqCst) == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(near.closed.load(Ordering::SeqCst), 1);
    assert!(peer.is_closed());
}

/// Guards against strangers that keep processes from opening links, or that displace open ones.
#[tokio::test]
async fn strangers_make_room_for_links() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bounds = Bounds {
        links: 2,
        ..Bounds::NONE
    };
    let far = Arc::new(Counters::default());
    tokio::spawn(serve_within(bounds, listener, hello("far"), far));
    let mut strangers = Vec::new();
    for _ in 0..2 {
        strangers.push(TcpStream::connect(address).await.unwrap());
    }
    let near = Arc::new(Counters::default());
    let client = Client::start("far".into(), address, hello("near"), near.clone());
    let peer = open(&client).await;
    // The link is known at the far end once a call over it is answered.
    let reply = peer.call(Message::Snapshot, Duration::from_secs(5)).await;
    assert_eq!(reply.unwrap(), Message::Done);
    for _ in 0..8 {
        strangers.push(TcpStream::connect(address).await.unwrap());
    }
    // All but the last stranger are closed.
    for stranger in &mut strangers[..9] {
        assert!(!matches!(stranger.read(&mut [0; 8]).await, Ok(1..)));
    }
    let reply = peer.call(Message::Snapshot, Duration::from_secs(5)).await;
    assert_eq!(reply.unwrap(), Message::Done);
    assert_eq!(near.closed.load(Ordering::SeqCst), 0);
}

/// Guards against messages that fill the memory before they are complete.
#[tokio::test]
async fn a_message_beyond_the_bounds_closes_its_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bounds = Bounds {
        links: 4,
        partial_bytes: FRAME_MAX_BYTES as u64 / 2,
        ..Bounds::NONE
    };
    let far = Arc::new(Counters::default());
    tokio::spawn(serve_within(bounds, listener, hello("far"), far.clone()));
    let near = Arc::new(Counters::default());
    let client = Client::start("far".into(), address, hello("near"), near.clone());
    let peer = open(&client).await;
    for _ in 0..FRAMES {
        peer.notify(Message::Submission(Submission::Rejected(
            "x".repeat(FRAME_MAX_BYTES / 8).into(),
        )))
        .unwrap();
    }
    let reply = peer.call(Message::Snapshot, Duration::from_secs(10)).await;
    assert_eq!(reply.unwrap(), Message::Done, "complete messages add up");
    peer.notify(large()).unwrap();
    peer.closed().await;
    assert_eq!(far.notices.load(Ordering::SeqCst), FRAMES);
}

/// Guards against a peer that reads nothing while the messages to it fill the memory.
#[tokio::test]
async fn messages_that_are_not_read_close_their_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bounds = Bounds {
        links: 4,
        queued_bytes: 4 * FRAME_MAX_BYTES as u64,
        ..Bounds::NONE
    };
    let (opened, first_link) = oneshot::channel();
    let far = Arc::new(FirstLink {
        counters: Counters::default(),
        opened: std::sync::Mutex::new(Some(opened)),
    });
    tokio::spawn(serve_within(bounds, listener, hello("far"), far.clone()));
    let stream = TcpStream::connect(address).await.unwrap();
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let frame = Frame {
        id: 0,
        kind: Kind::Notice,
        message: Message::Hello(hello("paused")),
    };
    let bytes = frame.encode().unwrap();
    socket.send(Packet::Binary(bytes.into())).await.unwrap();
    let peer = first_link.await.unwrap();
    let message = large();
    assert!(peer.has_room(FRAME_MAX_BYTES));
    for _ in 0..3 {
        peer.notify(message.clone()).unwrap();
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!peer.is_closed(), "closed within the bounds");
    assert!(!peer.has_room(FRAME_MAX_BYTES), "more than half is queued");
    for _ in 0..4 {
        let _ = peer.notify(message.clone());
    }
    peer.closed().await;
    assert_eq!(far.counters.closed.load(Ordering::SeqCst), 1);
}
