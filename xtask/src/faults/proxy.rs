//! TCP proxies between the processes, through which connections can be cut in each direction.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// The two switches of one proxy. While a direction is cut, its bytes wait; they are delivered
/// afterwards, as TCP does after a partition.
#[derive(Debug)]
struct Link {
    backward: watch::Sender<bool>,
    forward: watch::Sender<bool>,
}

/// Proxies by the dialing and the dialed party.
#[derive(Debug, Default)]
pub(crate) struct Proxies(HashMap<(String, String), Link>);

impl Proxies {
    /// Starts a proxy that `from` dials at `listen` to reach `to` at `address`.
    pub(crate) async fn add(
        &mut self,
        from: &str,
        to: &str,
        listen: SocketAddr,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let (forward, backward) = (watch::Sender::new(false), watch::Sender::new(false));
        let cuts = (forward.subscribe(), backward.subscribe());
        tokio::spawn(serve(listener, address, cuts.0, cuts.1));
        let link = Link { backward, forward };
        self.0.insert((from.to_owned(), to.to_owned()), link);
        Ok(())
    }

    /// Cuts or joins the bytes that `from` sends to `to`, on connections that either one dialed.
    pub(crate) fn set(&self, from: &str, to: &str, cut: bool) {
        if let Some(link) = self.0.get(&(from.to_owned(), to.to_owned())) {
            link.forward.send_replace(cut);
        }
        if let Some(link) = self.0.get(&(to.to_owned(), from.to_owned())) {
            link.backward.send_replace(cut);
        }
    }

    /// Cuts or joins both directions.
    pub(crate) fn set_both(&self, one: &str, other: &str, cut: bool) {
        self.set(one, other, cut);
        self.set(other, one, cut);
    }

    /// Joins everything.
    pub(crate) fn join_all(&self) {
        for link in self.0.values() {
            link.forward.send_replace(false);
            link.backward.send_replace(false);
        }
    }
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    forward: watch::Receiver<bool>,
    backward: watch::Receiver<bool>,
) {
    while let Ok((inbound, _)) = listener.accept().await {
        let (forward, backward) = (forward.clone(), backward.clone());
        tokio::spawn(join(inbound, address, forward, backward));
    }
}

/// Joins a connection with a new one to `address`. If that one can't be opened, the first is closed.
async fn join(
    inbound: TcpStream,
    address: SocketAddr,
    mut forward: watch::Receiver<bool>,
    backward: watch::Receiver<bool>,
) {
    if forward.wait_for(|cut| !*cut).await.is_err() {
        return;
    }
    let Ok(outbound) = TcpStream::connect(address).await else {
        return;
    };
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

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if cut.wait_for(|cut| !*cut).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // A closed connection is noticed only once the cut is over.
    let _ = cut.wait_for(|cut| !*cut).await;
}
