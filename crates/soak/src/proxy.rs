//! Loopback proxies that delay, hold and reset connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch::{self, Receiver, Sender};

use crate::server::bind;

const BUFFER_BYTES: usize = 16 * 1024;

/// What a proxy does with the bytes of one direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    /// Passes them on.
    Pass,
    /// Passes them on this many milliseconds later.
    Delay(u64),
    /// Keeps them; they are delivered afterwards, as TCP does after a partition.
    Hold,
    /// Closes connections with a reset, new ones as well.
    Reset,
}

/// Trouble of a link in both directions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// None.
    Pass,
    /// Bytes arrive later.
    Delay(u64),
    /// Nothing arrives; new connections hang.
    Silent,
    /// Nothing that the server sends arrives.
    OneWay,
    /// Connections are reset.
    Reset,
}

impl Mode {
    /// Returns the flow towards the server and that of its answers.
    fn flows(self) -> (Flow, Flow) {
        match self {
            Self::Pass => (Flow::Pass, Flow::Pass),
            Self::Delay(ms) => (Flow::Delay(ms), Flow::Delay(ms)),
            Self::Silent => (Flow::Hold, Flow::Hold),
            Self::OneWay => (Flow::Pass, Flow::Hold),
            Self::Reset => (Flow::Reset, Flow::Reset),
        }
    }
}

/// A proxy in front of one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    forward: Arc<Sender<Flow>>,
    backward: Arc<Sender<Flow>>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let (listener, address) = bind().await;
        let (forward, towards) = watch::channel(Flow::Pass);
        let (backward, answers) = watch::channel(Flow::Pass);
        tokio::spawn(serve(listener, target, towards, answers));
        Self {
            address,
            forward: Arc::new(forward),
            backward: Arc::new(backward),
        }
    }

    pub(crate) fn set(&self, mode: Mode) {
        let (forward, backward) = mode.flows();
        self.forward.send_replace(forward);
        self.backward.send_replace(backward);
    }
}

/// Joins each connection that arrives with a new one to `target`. `forward` tells what becomes of the
/// bytes that the dialling side sends, `backward` of the others. Connections end once the senders are
/// dropped.
pub async fn serve(
    listener: TcpListener,
    target: SocketAddr,
    forward: Receiver<Flow>,
    backward: Receiver<Flow>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(join(stream, target, forward.clone(), backward.clone()));
    }
}

/// Joins a connection with a new one to `target`. If that one can't be opened, the first is closed.
async fn join(
    inbound: TcpStream,
    target: SocketAddr,
    mut forward: Receiver<Flow>,
    backward: Receiver<Flow>,
) {
    if !admitted(&mut forward).await {
        // A connection that is closed already needs no reset.
        let _ = inbound.set_zero_linger();
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Without it the bytes only arrive later.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (from, back) = inbound.into_split();
    let (answers, to) = outbound.into_split();
    // The end of one direction closes both: neither HTTP nor WebSocket uses half-open connections.
    tokio::select! {
        () = copy(from, to, forward) => {}
        () = copy(answers, back, backward) => {}
    }
}

/// Waits while bytes are held. Returns whether they may pass, after their delay.
async fn admitted(flow: &mut Receiver<Flow>) -> bool {
    let current = flow.wait_for(|flow| *flow != Flow::Hold).await;
    match current.map(|flow| *flow) {
        Ok(Flow::Delay(ms)) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            true
        }
        Ok(Flow::Pass | Flow::Hold) => true,
        Ok(Flow::Reset) | Err(_) => false,
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut flow: Receiver<Flow>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let mut resets = flow.clone();
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = resets.wait_for(|flow| *flow == Flow::Reset) => return,
        };
        let count = match read {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if !admitted(&mut flow).await || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // A closed connection is noticed only once nothing is held any more.
    admitted(&mut flow).await;
}
