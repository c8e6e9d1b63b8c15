//! Client side of a link: connects to a peer and reconnects whenever the connection is closed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_tungstenite::client_async_with_config;

use super::bounds::{Bounds, Counted, Held, Total};
use super::connection::{self, Handler, Peer};
use super::error::{Error, Fault};
use crate::message::{Hello, Message};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Outgoing link to one peer. Dropping it closes the link.
#[derive(Debug)]
pub struct Client {
    name: Arc<str>,
    peer: Arc<Mutex<Option<Peer>>>,
    task: JoinHandle<()>,
}

impl Client {
    /// Starts connecting to the process `name` at `address`. Must be called within a tokio runtime.
    #[must_use]
    pub fn start(
        name: Arc<str>,
        address: SocketAddr,
        own: Hello,
        handler: Arc<dyn Handler>,
    ) -> Self {
        let peer = Arc::new(Mutex::new(None));
        let task = tokio::spawn(reconnect(address, own, handler, peer.clone()));
        Self { name, peer, task }
    }

    /// Returns the name of the peer that the client connects to.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the peer if the link is open.
    #[must_use]
    pub fn peer(&self) -> Option<Peer> {
        let peer = self.peer.lock().unwrap_or_else(PoisonError::into_inner);
        peer.clone().filter(|peer| !peer.is_closed())
    }

    /// Calls the peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no link is open, the link closes before the reply, the message is too
    /// large or no reply arrives within `timeout`.
    pub async fn call(&self, message: Message, timeout: Duration) -> Result<Message, Error> {
        match self.peer() {
            Some(peer) => peer.call(message, timeout).await,
            None => Err(self.not_open("call")),
        }
    }

    /// Sends a notice.
    ///
    /// # Errors
    ///
    /// Returns an error if no link is open or the message is too large.
    pub fn notify(&self, message: Message) -> Result<(), Error> {
        self.peer()
            .ok_or_else(|| self.not_open("notify"))?
            .notify(message)
    }

    fn not_open(&self, operation: &'static str) -> Error {
        Error {
            operation,
            peer: self.name.clone(),
            fault: Fault::NotOpen,
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn reconnect(
    address: SocketAddr,
    own: Hello,
    handler: Arc<dyn Handler>,
    current: Arc<Mutex<Option<Peer>>>,
) {
    loop {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open_socket(address)).await;
        if let Ok(Some(socket)) = opened {
            let set_current = |peer: &Peer| {
                let mut current = current.lock().unwrap_or_else(PoisonError::into_inner);
                *current = Some(peer.clone());
            };
            let (socket, held) = socket;
            connection::run(socket, &held, &own, &handler, set_current).await;
            current
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take();
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn open_socket(address: SocketAddr) -> Option<(connection::Socket, Held)> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // The peer is one that this process chose itself.
    let held = Total::new(Bounds::NONE).link();
    let stream = Counted::new(stream, held.partial.clone());
    let url = format!("ws://{address}/");
    let (socket, _) = client_async_with_config(url, stream, Some(connection::websocket_config()))
        .await
        .ok()?;
    Some((socket, held))
}
