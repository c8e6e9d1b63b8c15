//! Loopback TCP proxies that inject network faults: delayed, withheld and reset connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch::{self, Receiver, Sender};

use crate::network;
use crate::server::bind;

const BUFFER_BYTES: usize = 16 * 1024;

/// Pause before an address that can't be bound is tried again.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// Handling of the bytes of one direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    /// Forwards them.
    Pass,
    /// Forwards them after this many milliseconds.
    Delay(u64),
    /// Withholds them; they are delivered afterwards, as TCP does after a network partition.
    Hold,
    /// Refuses new connections and resets open ones.
    Refuse,
    /// Resets open and new connections.
    Reset,
}

/// Network fault of a link, for both directions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// No fault.
    Pass,
    /// Bytes are delayed by this many milliseconds.
    Delay(u64),
    /// No bytes arrive in either direction; new connections hang.
    Silent,
    /// Bytes from the server don't arrive.
    OneWay,
    /// Open connections are reset and new ones are refused, as if no process listened.
    Refuse,
    /// Connections are reset.
    Reset,
}

impl Mode {
    /// Returns the flow towards the server and the flow of its responses.
    fn flows(self) -> (Flow, Flow) {
        match self {
            Self::Pass => (Flow::Pass, Flow::Pass),
            Self::Delay(ms) => (Flow::Delay(ms), Flow::Delay(ms)),
            Self::Silent => (Flow::Hold, Flow::Hold),
            Self::OneWay => (Flow::Pass, Flow::Hold),
            Self::Refuse => (Flow::Refuse, Flow::Refuse),
            Self::Reset => (Flow::Reset, Flow::Reset),
        }
    }
}

/// Modes that faults impose on a proxy, in the order in which they began.
type Imposed = Arc<Mutex<Vec<(u64, Mode)>>>;

/// A proxy in front of one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    forward: Arc<Sender<Flow>>,
    backward: Arc<Sender<Flow>>,
    imposed: Imposed,
    next_number: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy at a free address.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let (listener, address) = bind().await;
        Self::serve(listener, address, target)
    }

    /// Starts a proxy at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound within five seconds.
    pub(crate) async fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        Self::serve(network::bind(address).await, address, target)
    }

    fn serve(listener: TcpListener, address: SocketAddr, target: SocketAddr) -> Self {
        let (forward, forward_flow) = watch::channel(Flow::Pass);
        let (backward, backward_flow) = watch::channel(Flow::Pass);
        tokio::spawn(serve(listener, target, forward_flow, backward_flow));
        Self {
            address,
            forward: Arc::new(forward),
            backward: Arc::new(backward),
            imposed: Imposed::default(),
            next_number: Arc::default(),
        }
    }

    /// Imposes a fault until the returned value is dropped. Of several faults the last one takes
    /// effect.
    pub(crate) fn impose(&self, mode: Mode) -> Imposition {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.change(|imposed| imposed.push((number, mode)));
        Imposition {
            proxy: self.clone(),
            number,
        }
    }

    fn change(&self, change: impl FnOnce(&mut Vec<(u64, Mode)>)) {
        let mut imposed = self.imposed.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut imposed);
        let mode = imposed.last().map_or(Mode::Pass, |(_, mode)| *mode);
        let (forward, backward) = mode.flows();
        self.forward.send_replace(forward);
        self.backward.send_replace(backward);
    }
}

/// A fault that a proxy has until this value is dropped.
#[must_use]
pub(crate) struct Imposition {
    proxy: Proxy,
    number: u64,
}

impl Drop for Imposition {
    fn drop(&mut self) {
        let number = self.number;
        self.proxy
            .change(|imposed| imposed.retain(|(other, _)| *other != number));
    }
}

/// Relays each accepted connection to `target`. `forward` controls the bytes that the client sends,
/// `backward` those of the server. Connections end once the senders are dropped.
pub async fn serve(
    mut listener: TcpListener,
    target: SocketAddr,
    mut forward: Receiver<Flow>,
    backward: Receiver<Flow>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(relay(stream, target, forward.clone(), backward.clone()));
                }
                continue;
            }
            () = until_refusing(&mut forward) => {}
        }
        match pause_listening(listener, &mut forward).await {
            Some(reopened) => listener = reopened,
            None => return,
        }
    }
}

/// Waits until connections are to be refused, or the proxy has ended.
async fn until_refusing(flow: &mut Receiver<Flow>) {
    // An error means that the proxy has ended.
    let _ = flow.wait_for(|flow| *flow == Flow::Refuse).await;
}

/// Closes the listener while connections are refused, and opens it again on the same address.
/// Returns `None` if the proxy has ended.
async fn pause_listening(listener: TcpListener, flow: &mut Receiver<Flow>) -> Option<TcpListener> {
    let address = listener.local_addr().ok()?;
    drop(listener);
    flow.wait_for(|flow| *flow != Flow::Refuse).await.ok()?;
    loop {
        // Sets SO_REUSEADDR, so connections that are still closing don't block the address.
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

/// Relays a connection to `target`. Closes it if `target` can't be reached.
async fn relay(
    inbound: TcpStream,
    target: SocketAddr,
    mut forward: Receiver<Flow>,
    backward: Receiver<Flow>,
) {
    if !may_forward(&mut forward).await {
        // Fails if the connection is already closed, which then needs no reset.
        let _ = inbound.set_zero_linger();
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // If this fails, bytes arrive later but none is lost.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (client_read, client_write) = inbound.into_split();
    let (server_read, server_write) = outbound.into_split();
    // The end of one direction closes both: neither HTTP nor WebSocket uses half-closed connections.
    tokio::select! {
        () = copy(client_read, server_write, forward) => {}
        () = copy(server_read, client_write, backward) => {}
    }
}

/// Waits while bytes are withheld, then for their delay. Returns whether they may be forwarded.
async fn may_forward(flow: &mut Receiver<Flow>) -> bool {
    let current = flow.wait_for(|flow| *flow != Flow::Hold).await;
    match current.map(|flow| *flow) {
        Ok(Flow::Delay(ms)) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            true
        }
        Ok(Flow::Pass | Flow::Hold) => true,
        Ok(Flow::Refuse | Flow::Reset) | Err(_) => false,
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut flow: Receiver<Flow>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let mut reset = flow.clone();
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = reset.wait_for(|flow| matches!(flow, Flow::Refuse | Flow::Reset)) => return,
        };
        let count = match read {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if !may_forward(&mut flow).await || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // The close reaches the other side only once bytes are no longer withheld.
    may_forward(&mut flow).await;
}
